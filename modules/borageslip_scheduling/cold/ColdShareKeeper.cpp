#include "ColdShareKeeper.h"

#include <algorithm>
#include <charconv>

namespace borageslip {

namespace {

    constexpr double candidatesPerDraw = 3; ///< Instances of the fleet that begin to observe missing shares in each interval.
    constexpr Duration drawInterval = std::chrono::milliseconds(500);
    constexpr Duration spreadTime = std::chrono::milliseconds(2500); ///< For which an instance with its part of the shares leaves missing ones to others.
    constexpr size_t maxFormerClaims = 64;

    std::string claimText(uint64_t number)
    {
        constexpr int hexadecimal = 16;
        std::string text(hexadecimal, '\0');
        const auto [end, status] = std::to_chars(text.data(), text.data() + text.size(), number, hexadecimal);
        text.resize(static_cast<size_t>(end - text.data()));
        return text;
    }

}

ColdShareKeeper::ColdShareKeeper(ColdShareRights& rights, uint64_t seed, ColdShareTimes times)
    : m_rights(rights)
    , m_times(times)
    , m_random(seed)
{
}

bool ColdShareKeeper::draws(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void ColdShareKeeper::beginStop()
{
    m_isStopping = true;
    m_rights.endAll();
}

void ColdShareKeeper::keyWritten(const ColdShareKey& key)
{
    m_present.insert(key.id);
    if (key.claim != m_claim)
        m_missing.erase(key.id);
}

void ColdShareKeeper::keyRemoved(const ColdShareId& id)
{
    m_present.erase(id);
    if (m_held.contains(id))
        m_mustRead = true;
}

void ColdShareKeeper::drop(const ColdShareId& id)
{
    m_held.erase(id);
    m_rights.end(id);
}

void ColdShareKeeper::abandonLease()
{
    for (const auto& id : std::set(m_held))
        drop(id);
    m_unsure.clear();
    m_lease = 0;
    if (m_formerClaims.size() >= maxFormerClaims)
        m_formerClaims.clear();
    if (!m_claim.empty())
        m_formerClaims.insert(m_claim);
    m_claim.clear();
}

bool ColdShareKeeper::recordEra(uint64_t era)
{
    if (m_era && era < *m_era)
        return false;
    if (m_era && era > *m_era) {
        // Rights of the earlier era may last for a whole time to live from now.
        m_missing.clear();
        m_unsure.clear();
        m_mustRead = m_lease != 0;
    }
    m_era = era;
    return true;
}

std::vector<ColdShareId> ColdShareKeeper::missing() const
{
    std::vector<ColdShareId> ids;
    std::copy_if(m_wanted.begin(), m_wanted.end(), std::back_inserter(ids), [this](const auto& id) { return !m_present.contains(id) && !m_held.contains(id) && !m_unsure.contains(id); });
    return ids;
}

bool ColdShareKeeper::isWellSupplied(const ColdShareId& id) const
{
    const auto ofService = [&](const auto& other) { return other.service == id.service; };
    const auto wanted = static_cast<size_t>(std::count_if(m_wanted.begin(), m_wanted.end(), ofService));
    const auto held = static_cast<size_t>(std::count_if(m_held.begin(), m_held.end(), ofService));
    return held >= (wanted + m_instanceCount - 1) / m_instanceCount;
}

std::optional<ColdShareKeeper::Step> ColdShareKeeper::acquisition(TimePoint now)
{
    const auto ids = missing();
    if (ids.empty() || now < m_nextDrawAt)
        return std::nullopt;
    m_nextDrawAt = now + drawInterval;
    const bool isUnobserved = std::any_of(ids.begin(), ids.end(), [this](const auto& id) { return !m_missing.contains(id); });
    if (isUnobserved && draws(candidatesPerDraw / static_cast<double>(m_instanceCount)))
        return Step { Call::ReadKeys };
    std::vector<ColdShareId> due;
    std::copy_if(ids.begin(), ids.end(), std::back_inserter(due), [&](const auto& id) {
        const auto absence = m_missing.find(id);
        const auto wait = m_times.timeToLive + (isWellSupplied(id) ? spreadTime : Duration::zero());
        return absence != m_missing.end() && now - absence->second.since >= wait;
    });
    if (due.empty())
        return std::nullopt;
    if (m_lease == 0)
        return Step { Call::GrantLease };
    const auto& chosen = due.at(std::uniform_int_distribution<size_t>(0, due.size() - 1)(m_random));
    return Step { Call::CreateKey, chosen, m_lease, m_missing.at(chosen).markerRevision };
}

ColdShareKeeper::Step ColdShareKeeper::next(TimePoint now)
{
    if (m_isStopping) {
        // In another era the number may be the lease of another instance.
        const bool isOwn = m_lease != 0 && m_era == m_leaseEra;
        return isOwn ? Step { Call::EndLease, {}, m_lease } : Step {};
    }
    std::erase_if(m_unsure, [now](const auto& row) { return now >= row.second; });
    for (const auto& id : std::set(m_held)) {
        // The configuration no longer has the share.
        if (!m_wanted.contains(id))
            drop(id);
    }
    if (m_mustRead)
        return { Call::ReadKeys };
    if (!m_leftovers.empty()) {
        const auto leftover = m_leftovers.extract(m_leftovers.begin());
        return { Call::RemoveKey, leftover.key(), 0, leftover.mapped() };
    }
    if (m_lease != 0 && now >= m_nextRenewalAt) {
        const bool isUnused = m_held.empty() && m_unsure.empty();
        return { isUnused ? Call::EndLease : Call::RenewLease, {}, m_lease };
    }
    return acquisition(now).value_or(Step {});
}

void ColdShareKeeper::leaseGranted(uint64_t lease, uint64_t era, TimePoint sentAt)
{
    if (!recordEra(era))
        return;
    m_lease = lease;
    m_leaseEra = era;
    m_claim = claimText(m_random());
    m_renewedAt = sentAt;
    m_nextRenewalAt = sentAt + m_times.renewal;
    m_nextDrawAt = {};
}

void ColdShareKeeper::leaseRenewed(uint64_t era, TimePoint sentAt)
{
    m_nextRenewalAt = sentAt + m_times.renewal;
    m_mustRead = true;
    // In another era the number may be the lease of another instance.
    if (recordEra(era) && era == m_leaseEra)
        m_renewedAt = sentAt;
}

void ColdShareKeeper::leaseLost(uint64_t era)
{
    if (!recordEra(era))
        return;
    abandonLease();
    m_mustRead = false;
}

void ColdShareKeeper::leaseEnded()
{
    abandonLease();
    m_mustRead = false;
}

void ColdShareKeeper::keyCreated(const ColdShareId& id, uint64_t era, TimePoint now)
{
    m_nextDrawAt = {};
    const bool isSameEra = recordEra(era) && era == m_leaseEra;
    // Without an observation in this era, an earlier holder may still have its right.
    if (!isSameEra || !m_missing.contains(id)) {
        m_mustRead = true;
        return;
    }
    m_missing.erase(id);
    m_present.insert(id);
    m_held.insert(id);
    m_rights.hold(id, now, rightEnd());
}

void ColdShareKeeper::keyExists(const ColdShareId& id, uint64_t era)
{
    if (!recordEra(era))
        return;
    // The key may be missing while its marker has another revision.
    m_missing.erase(id);
    m_mustRead = true;
}

void ColdShareKeeper::recordAbsences(const ColdShareKeys& keys, const std::set<ColdShareId>& listed, TimePoint now)
{
    for (const auto& id : m_wanted) {
        if (listed.contains(id))
            continue;
        const auto marker = keys.markerRevisions.find(id);
        const auto revision = marker == keys.markerRevisions.end() ? 0 : marker->second;
        const auto known = m_missing.find(id);
        if (known == m_missing.end() || known->second.markerRevision != revision)
            m_missing[id] = { now, revision };
    }
}

void ColdShareKeeper::keysRead(const ColdShareKeys& keys, uint64_t era, TimePoint now)
{
    if (!recordEra(era))
        return;
    m_mustRead = false;
    m_leftovers.clear();
    std::set<ColdShareId> listed;
    std::map<ColdShareId, uint64_t> own;
    for (const auto& key : keys.shares) {
        listed.insert(key.id);
        if (m_lease != 0 && key.claim == m_claim)
            own[key.id] = key.revision;
        else if (m_formerClaims.contains(key.claim))
            m_leftovers[key.id] = key.revision;
    }
    std::erase_if(m_missing, [&](const auto& row) { return listed.contains(row.first) && !own.contains(row.first); });
    recordAbsences(keys, listed, now);
    m_present = listed;
    for (const auto& id : std::set(m_held)) {
        if (!own.contains(id))
            drop(id);
    }
    if (m_lease == 0)
        return;
    if (era != m_leaseEra) {
        // The copy has the keys with this claim, so it has their lease, too; the next renewal extends the rights.
        m_leaseEra = era;
        m_nextRenewalAt = now;
        if (own.empty())
            abandonLease();
        return;
    }
    for (const auto& [id, revision] : own) {
        const auto absence = m_missing.find(id);
        const bool wasMissing = absence != m_missing.end() && now - absence->second.since >= m_times.timeToLive;
        if (m_unsure.erase(id) > 0 && wasMissing)
            m_held.insert(id);
        m_missing.erase(id);
        if (m_held.contains(id))
            m_rights.hold(id, now, rightEnd());
        else
            m_leftovers[id] = revision;
    }
}

void ColdShareKeeper::callFailed(const Step& step, TimePoint now)
{
    if (step.call == Call::CreateKey) {
        m_unsure[step.share] = now + 2 * m_times.timeToLive;
        m_mustRead = true;
    }
    // Instances without a share leave a store that does not answer alone for some time.
    if (m_held.empty())
        m_nextDrawAt = now + std::chrono::milliseconds(std::uniform_int_distribution<int>(1000, 5000)(m_random));
    if (step.call == Call::EndLease)
        leaseEnded();
    if (step.call == Call::RemoveKey)
        m_mustRead = true;
}

}
