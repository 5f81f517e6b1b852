#include "MemberTable.h"

#include <algorithm>
#include <array>
#include <borageslip_core/errors/Invariant.h>
#include <borageslip_core/identity/Hash.h>
#include <cmath>

namespace borageslip {

using namespace std::chrono_literals;

namespace {

    // Space reserved for the fixed fields of a message, the HMAC and the CBOR headers of its lists.
    constexpr size_t envelopeBytes = 140;
    // Space reserved for this member's own profile, which is added to the ack for an unknown member.
    constexpr size_t ownProfileBytes = 300;
    // Space for updates in a datagram even when the budget is low.
    constexpr size_t minUpdateBytes = 120;
    // Limits one synchronisation response; remaining records follow in the next one.
    constexpr int maxSyncDatagrams = 5;
    constexpr int maxHealthPenalty = 4;
    // One in this many random probes goes to another region.
    constexpr uint64_t crossRegionProbeInterval = 4;
    // A region with fewer other members than this is probed by the whole fleet, because its own members are too few to
    // detect failures reliably.
    constexpr size_t smallRegionSize = 3;

    struct StateName {
        std::string_view name;
        MemberState state;
    };
    constexpr std::array<StateName, 4> stateNames { { { "alive", MemberState::Alive }, { "suspect", MemberState::Suspect },
        { "leaving", MemberState::Leaving }, { "dead", MemberState::Dead } } };

    MemberState stateOf(const StateChartInstance& chart)
    {
        return std::ranges::find(stateNames, chart.current(), &StateName::name)->state;
    }

    std::chrono::milliseconds scaled(std::chrono::milliseconds duration, int healthPenalty)
    {
        return duration + duration * healthPenalty / 4;
    }

}

MemberTable::MemberTable(Member self, Settings settings, SwimCodec codec, ControlBudget& budget, uint64_t seed, TimePoint now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_codec(std::move(codec))
    , m_budget(budget)
    , m_random(seed)
    , m_gossip(m_self.id, m_self.startIncarnation)
    , m_nextSequence(m_random() >> 32)
    , m_lastCall(now)
    , m_nextUrgent(now)
    , m_nextSync(now)
    , m_nextSeed(now)
    , m_nextReconnect(now + settings.reconnectPeriod)
{
    m_self.state = MemberState::Alive;
    m_self.incarnation = std::max(m_self.incarnation, m_self.startIncarnation);
    // A random phase prevents members that start simultaneously from probing in lockstep.
    m_nextProbe = now + settings.probePeriod * (m_random() % 16) / 16;
    enqueue(m_self.id, true);
}

void MemberTable::setPlaceable(bool isPlaceable)
{
    if (m_self.isPlaceable == isPlaceable)
        return;
    m_self.isPlaceable = isPlaceable;
    ++m_self.incarnation;
    enqueue(m_self.id, false);
}

std::vector<OutgoingDatagram> MemberTable::tick(TimePoint now)
{
    Datagrams out;
    detectPause(now);
    expireSuspicions(now);
    advanceProbes(now, out);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_settings.probePeriod;
        startProbe(now, out);
        dropOldRecords(now);
    }
    contactSeed(now, out);
    contactRemovedMember(now, out);
    sendUrgent(now, out);
    return out;
}

std::vector<OutgoingDatagram> MemberTable::receive(std::span<const uint8_t> datagram, std::string_view from, TimePoint now)
{
    Datagrams out;
    detectPause(now);
    const auto message = m_codec.decode(datagram);
    if (!message) {
        ++m_malformed;
        return out;
    }
    if (message->sender == m_self.id)
        return out;
    m_isSynchronising = message->kind == SwimKind::SyncResponse;
    for (const auto& update : message->updates)
        apply(update, message->sender, now);
    if (const auto sender = m_records.find(message->sender); sender != m_records.end() && isListed(sender->second)) {
        if (message->configuration)
            m_gossip.mergeConfiguration(message->sender, message->configurationVersion, *message->configuration);
    }
    for (const auto& entry : message->gossipEntries) {
        const auto owner = m_records.find(entry.member);
        if (entry.member == m_self.id || (owner != m_records.end() && isListed(owner->second)))
            m_gossip.merge(entry);
    }
    switch (message->kind) {
    case SwimKind::Ping:
        handlePing(*message, from, now, out);
        break;
    case SwimKind::PingRequest:
        handlePingRequest(*message, from, now, out);
        break;
    case SwimKind::Ack:
        handleAck(*message, now, out);
        break;
    case SwimKind::SyncRequest:
        handleSyncRequest(*message, from, now, out);
        break;
    case SwimKind::SyncResponse:
    case SwimKind::Update:
        break;
    }
    requestSyncOnDifference(*message, from, now, out);
    sendUrgent(now, out);
    return out;
}

std::vector<OutgoingDatagram> MemberTable::leave(TimePoint now)
{
    Datagrams out;
    if (m_self.state == MemberState::Leaving)
        return out;
    m_self.state = MemberState::Leaving;
    m_self.isPlaceable = false;
    ++m_self.incarnation;
    enqueue(m_self.id, false);
    m_urgent.insert(m_self.id);
    m_leaveRepeats = m_settings.leaveRepeats;
    m_nextUrgent = now;
    sendUrgent(now, out);
    return out;
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> members { m_self };
    for (const auto& [id, record] : m_records) {
        if (isListed(record))
            members.push_back(record.member);
    }
    std::ranges::sort(members, {}, &Member::id);
    return members;
}

std::optional<Member> MemberTable::member(const MemberId& id) const
{
    if (id == m_self.id)
        return m_self;
    const auto found = m_records.find(id);
    return found == m_records.end() ? std::nullopt : std::optional(found->second.member);
}

std::optional<double> MemberTable::meanLoad(const ModelId& model, const std::optional<Region>& region) const
{
    return m_gossip.meanLoad(model, [&](const MemberId& id) {
        const auto found = member(id);
        return found && (!region || found->region == *region);
    });
}

void MemberTable::detectPause(TimePoint now)
{
    const auto gap = now - m_lastCall;
    m_lastCall = std::max(m_lastCall, now);
    if (gap < m_settings.pauseThreshold)
        return;
    // This process was paused. Replies may have arrived that it has not read yet, so probes and suspicions must not expire
    // because of the time that passed during the pause.
    m_probes.clear();
    m_nextProbe = now;
    m_healthPenalty = std::min(maxHealthPenalty, m_healthPenalty + 1);
    for (auto& [id, record] : m_records) {
        if (record.suspectedAt)
            record.suspectedAt = now;
    }
}

int MemberTable::retransmitLimit() const
{
    return 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(m_liveCount + 2))));
}

void MemberTable::apply(const MemberUpdate& update, const MemberId& sender, TimePoint now)
{
    const auto& claimed = update.member;
    if (claimed.id == m_self.id) {
        applySelfUpdate(claimed);
        return;
    }
    const auto found = m_records.find(claimed.id);
    if (found == m_records.end()) {
        if (update.hasProfile && claimed.state != MemberState::Dead)
            insert(update, now);
        return;
    }
    auto& record = found->second;
    if (claimed.incarnation < record.member.incarnation)
        return;
    const bool isNewer = claimed.incarnation > record.member.incarnation;
    if (isNewer && claimed.startIncarnation != record.member.startIncarnation && !update.hasProfile)
        return;
    if (isNewer)
        applyNewIncarnation(record, update, now);
    if (!isListed(record))
        return;
    if (claimed.state == MemberState::Leaving)
        markLeaving(record, now);
    if (claimed.state == MemberState::Suspect || claimed.state == MemberState::Dead)
        suspect(record, update.reporter.isEmpty() ? sender : update.reporter, now);
}

void MemberTable::applySelfUpdate(const Member& claimed)
{
    const bool isOfThisProcess = claimed.startIncarnation == m_self.startIncarnation;
    const bool isAgreed = isOfThisProcess && (claimed.state == MemberState::Alive || claimed.state == m_self.state);
    if (claimed.incarnation < m_self.incarnation || (isAgreed && claimed.incarnation == m_self.incarnation))
        return;
    m_self.incarnation = claimed.incarnation + 1;
    if (isOfThisProcess && m_self.state == MemberState::Alive)
        m_healthPenalty = std::min(maxHealthPenalty, m_healthPenalty + 1);
    enqueue(m_self.id, !isOfThisProcess);
    m_urgent.insert(m_self.id);
    ++m_revision;
}

void MemberTable::applyNewIncarnation(Record& record, const MemberUpdate& update, TimePoint now)
{
    const auto& claimed = update.member;
    const bool isRestarted = claimed.startIncarnation != record.member.startIncarnation;
    const bool wasSuspected = record.suspectedAt.has_value();
    if (isRestarted && isListed(record))
        remove(record, now);
    const auto before = record.member.state;
    if (update.hasProfile)
        record.member = claimed;
    record.member.incarnation = claimed.incarnation;
    record.member.isPlaceable = claimed.isPlaceable;
    record.member.state = before;
    record.suspectedAt.reset();
    record.reporters.clear();
    record.isSuspectedLocally = false;
    m_digest.reset();
    ++m_revision;
    enqueue(claimed.id, isRestarted || before == MemberState::Dead);
    if (wasSuspected)
        m_urgent.insert(claimed.id);
    if (record.chart.isIn("suspect"))
        fire(record, "refute", now);
    const bool wasLeaving = record.chart.isIn("leaving") && claimed.state == MemberState::Alive;
    if (record.chart.isIn("dead") || wasLeaving) {
        const bool wasDead = record.chart.isIn("dead");
        // A removed member may rejoin while it is already leaving; apply() then marks it as leaving.
        fire(record, "rejoin", now);
        m_liveCount += wasDead ? 1 : 0;
        if (wasDead && m_listener)
            m_listener->memberJoined(record.member);
    }
}

void MemberTable::insert(const MemberUpdate& update, TimePoint now)
{
    if (m_records.size() >= m_settings.maxMembers)
        return;
    const auto& claimed = update.member;
    auto& record = m_records.emplace(claimed.id, Record { claimed, StateChartInstance(StateChart::named("member")), {}, {}, false, now }).first->second;
    record.member.state = MemberState::Alive;
    ++m_liveCount;
    ++m_revision;
    m_digest.reset();
    // Records from a synchronisation are new only to this table. Forwarding them would exhaust the budget when many members
    // join. The next request is brought forward instead, because one response holds only part of a large fleet.
    if (m_isSynchronising)
        m_nextSync = std::min(m_nextSync, now + m_settings.syncPeriod / 8);
    else
        enqueue(claimed.id, true);
    if (m_listener)
        m_listener->memberJoined(record.member);
    if (claimed.state == MemberState::Leaving)
        markLeaving(record, now);
    if (claimed.state == MemberState::Suspect)
        suspect(record, update.reporter, now);
}

void MemberTable::suspect(Record& record, const MemberId& reporter, TimePoint now)
{
    const bool isFirst = !record.suspectedAt;
    if (isFirst)
        record.suspectedAt = now;
    if (!reporter.isEmpty() && static_cast<int>(record.reporters.size()) <= m_settings.confirmations && record.reporters.insert(reporter).second)
        enqueue(record.member.id, false);
    if (reporter == m_self.id)
        record.isSuspectedLocally = true;
    if (!isFirst)
        return;
    m_urgent.insert(record.member.id);
    // A leaving member remains in that state while it is suspected.
    if (!record.chart.canFire("suspect"))
        return;
    fire(record, "suspect", now);
    if (m_listener)
        m_listener->memberSuspected(record.member);
}

void MemberTable::markLeaving(Record& record, TimePoint now)
{
    if (!record.chart.canFire("leave"))
        return;
    fire(record, "leave", now);
    record.member.isPlaceable = false;
    m_digest.reset();
    enqueue(record.member.id, false);
    m_urgent.insert(record.member.id);
    m_nextUrgent = now;
    if (m_listener)
        m_listener->memberLeaving(record.member);
}

void MemberTable::fire(Record& record, std::string_view event, TimePoint now)
{
    const auto status = record.chart.fire(event);
    BORAGESLIP_INVARIANT(isOk(status), "member-chart", error(status).detail);
    record.member.state = stateOf(record.chart);
    record.changedAt = now;
    ++m_revision;
}

void MemberTable::remove(Record& record, TimePoint now)
{
    if (record.chart.isIn("alive"))
        fire(record, "suspect", now);
    fire(record, "expire", now);
    record.suspectedAt.reset();
    record.reporters.clear();
    --m_liveCount;
    m_digest.reset();
    m_queue.erase(record.member.id);
    m_urgent.erase(record.member.id);
    m_gossip.removeMember(record.member.id);
    if (m_listener)
        m_listener->memberRemoved(record.member);
}

void MemberTable::enqueue(const MemberId& id, bool needsProfile)
{
    auto& queued = m_queue[id];
    const auto found = m_records.find(id);
    const bool isLeaving = id == m_self.id ? m_self.state == MemberState::Leaving : found != m_records.end() && found->second.chart.isIn("leaving");
    queued.needsProfile |= needsProfile;
    // Profiles are large and joins are not urgent, so they are sent only a few times. Members that miss them receive them by
    // synchronisation.
    constexpr int profileSends = 3;
    queued.sendsLeft = queued.needsProfile && !isLeaving ? profileSends : retransmitLimit() * (isLeaving ? 2 : 1);
    if (id == m_self.id) {
        m_digest.reset();
        ++m_revision;
    }
}

std::chrono::milliseconds MemberTable::suspicionTimeout(const Record& record) const
{
    const auto confirmed = std::clamp(static_cast<int>(record.reporters.size()) - 1, 0, m_settings.confirmations);
    const auto range = m_settings.suspicionMaximum - m_settings.suspicionMinimum;
    return m_settings.suspicionMaximum - range * confirmed / std::max(1, m_settings.confirmations);
}

void MemberTable::expireSuspicions(TimePoint now)
{
    for (auto& [id, record] : m_records) {
        if (record.suspectedAt && now - *record.suspectedAt >= suspicionTimeout(record))
            remove(record, now);
    }
}

void MemberTable::dropOldRecords(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& item) { return !isListed(item.second) && now - item.second.changedAt > m_settings.deadRetention; });
    std::erase_if(m_relayedProbes, [&](const auto& item) { return item.second.expiry <= now; });
}

void MemberTable::startProbe(TimePoint now, Datagrams& out)
{
    // Members that this process suspects are probed in every period. Each probe carries the suspicion, so that a member that
    // was only paused can refute it soon after the pause.
    for (const auto& [id, record] : m_records) {
        if (record.isSuspectedLocally && record.suspectedAt)
            send(makeMessage(SwimKind::Ping, ++m_nextSequence), record.member.gossipAddress, id, record.member.incarnation, ControlKind::Probe, now, out);
    }
    // Every second probe goes to the successor in the hash ring, which bounds the time until a member is first probed to two
    // periods. With random selection alone, a member remains unprobed for 5 periods with probability 1/150.
    const auto target = ++m_probeCount % 2 ? ringSuccessor() : nextRandomTarget();
    if (!target)
        return;
    const auto sequence = ++m_nextSequence;
    auto& probe = m_probes[sequence];
    probe = { *target, m_records.at(*target).member.incarnation, now, 0 };
    sendProbe(sequence, probe, now, out);
}

void MemberTable::advanceProbes(TimePoint now, Datagrams& out)
{
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        auto& [sequence, probe] = *it;
        const auto found = m_records.find(probe.target);
        if (found == m_records.end() || !isListed(found->second)) {
            it = m_probes.erase(it);
            continue;
        }
        if (now < probe.nextAttempt) {
            ++it;
            continue;
        }
        if (probe.attempts < m_settings.probeAttempts) {
            sendProbe(sequence, probe, now, out);
            ++it;
            continue;
        }
        if (probe.incarnation == found->second.member.incarnation)
            suspect(found->second, m_self.id, now);
        it = m_probes.erase(it);
    }
}

void MemberTable::sendProbe(uint64_t sequence, Probe& probe, TimePoint now, Datagrams& out)
{
    const auto& target = m_records.at(probe.target).member;
    probe.nextAttempt = now + scaled(m_settings.probeAttemptInterval, m_healthPenalty);
    ++probe.attempts;
    send(makeMessage(SwimKind::Ping, sequence), target.gossipAddress, target.id, target.incarnation, ControlKind::Probe, now, out);
    if (probe.attempts == 1)
        return;
    for (const auto* relay : randomMembers(static_cast<size_t>(m_settings.relays), target.id)) {
        auto request = makeMessage(SwimKind::PingRequest, sequence);
        request.target = target.id;
        transmit(request, relay->member.gossipAddress, ControlKind::Probe, now, out);
    }
}

void MemberTable::refillRound(std::vector<MemberId>& round, ProbeScope scope)
{
    std::map<Region, size_t> sizes;
    for (const auto& [id, record] : m_records) {
        if (isListed(record))
            ++sizes[record.member.region];
    }
    for (const auto& [id, record] : m_records) {
        if (!isListed(record))
            continue;
        const bool isNear = record.member.region == m_self.region || sizes[record.member.region] < smallRegionSize;
        if (isNear == (scope == ProbeScope::Near))
            round.push_back(id);
    }
    std::ranges::shuffle(round, m_random);
}

std::optional<MemberId> MemberTable::nextFromRound(std::vector<MemberId>& round, ProbeScope scope)
{
    for (int pass = 0; pass < 2; ++pass) {
        while (!round.empty()) {
            const auto id = round.back();
            round.pop_back();
            if (const auto found = m_records.find(id); found != m_records.end() && isListed(found->second))
                return id;
        }
        if (!pass)
            refillRound(round, scope);
    }
    return std::nullopt;
}

std::optional<MemberId> MemberTable::nextRandomTarget()
{
    const bool isCrossRegionTurn = (m_probeCount / 2) % crossRegionProbeInterval == 0;
    auto preferred = isCrossRegionTurn ? nextFromRound(m_crossRegionRound, ProbeScope::CrossRegion) : nextFromRound(m_nearRound, ProbeScope::Near);
    if (preferred)
        return preferred;
    return isCrossRegionTurn ? nextFromRound(m_nearRound, ProbeScope::Near) : nextFromRound(m_crossRegionRound, ProbeScope::CrossRegion);
}

std::optional<MemberId> MemberTable::ringSuccessor() const
{
    const auto own = hashBytes(m_self.id.text());
    std::optional<MemberId> successor;
    uint64_t closest = UINT64_MAX;
    for (const auto& [id, record] : m_records) {
        if (!isListed(record) || record.suspectedAt || record.member.region != m_self.region)
            continue;
        if (const auto distance = hashBytes(id.text()) - own; distance < closest) {
            closest = distance;
            successor = id;
        }
    }
    return successor;
}

std::vector<const MemberTable::Record*> MemberTable::randomMembers(size_t count, const MemberId& except)
{
    std::vector<const Record*> candidates;
    for (const auto& [id, record] : m_records) {
        if (id != except && isListed(record) && !record.suspectedAt)
            candidates.push_back(&record);
    }
    std::vector<const Record*> chosen;
    std::ranges::sample(candidates, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), m_random);
    return chosen;
}

void MemberTable::sendUrgent(TimePoint now, Datagrams& out)
{
    if (m_urgent.empty() || now < m_nextUrgent)
        return;
    m_nextUrgent = now + m_settings.urgentPeriod;
    bool hasLeaving = false;
    auto broadcast = makeMessage(SwimKind::Update, 0);
    size_t remainingBytes = SwimCodec::maxDatagram - envelopeBytes;
    for (const auto& id : std::exchange(m_urgent, {})) {
        const auto queued = m_queue.find(id);
        auto update = makeUpdate(id, queued != m_queue.end() && queued->second.needsProfile);
        const auto size = SwimCodec::sizeOf(update);
        if (size > remainingBytes)
            continue;
        remainingBytes -= size;
        hasLeaving |= update.member.state == MemberState::Leaving;
        broadcast.updates.push_back(std::move(update));
    }
    if (m_self.state == MemberState::Leaving && m_leaveRepeats > 0) {
        --m_leaveRepeats;
        m_urgent.insert(m_self.id);
    }
    for (const auto* member : randomMembers(static_cast<size_t>(m_settings.urgentFanOut), m_self.id))
        transmit(broadcast, member->member.gossipAddress, hasLeaving ? ControlKind::Leaving : ControlKind::Suspicion, now, out);
}

void MemberTable::contactSeed(TimePoint now, Datagrams& out)
{
    if (m_seeds.empty() || now < m_nextSeed)
        return;
    // Daemons that start simultaneously may form separate groups that each reach smallFleetSize, so unknown seeds are still
    // contacted afterwards, at a lower rate.
    m_nextSeed = now + (m_liveCount < m_settings.smallFleetSize ? m_settings.seedPeriod : 10 * m_settings.seedPeriod);
    const auto& address = m_seeds[m_random() % m_seeds.size()];
    const auto hasAddress = [&](const auto& item) { return isListed(item.second) && item.second.member.gossipAddress == address; };
    if (address == m_self.gossipAddress || std::any_of(m_records.begin(), m_records.end(), hasAddress))
        return;
    auto ping = makeMessage(SwimKind::Ping, ++m_nextSequence);
    ping.updates.push_back(makeUpdate(m_self.id, true));
    transmit(ping, address, ControlKind::Probe, now, out);
}

void MemberTable::contactRemovedMember(TimePoint now, Datagrams& out)
{
    if (now < m_nextReconnect)
        return;
    m_nextReconnect = now + m_settings.reconnectPeriod;
    std::vector<const Record*> removed;
    for (const auto& [id, record] : m_records) {
        if (!isListed(record))
            removed.push_back(&record);
    }
    if (removed.empty())
        return;
    const auto& member = removed[m_random() % removed.size()]->member;
    send(makeMessage(SwimKind::Ping, ++m_nextSequence), member.gossipAddress, member.id, member.incarnation, ControlKind::Synchronisation, now, out);
}

void MemberTable::handlePing(const SwimMessage& ping, std::string_view from, TimePoint now, Datagrams& out)
{
    auto ack = makeMessage(SwimKind::Ack, ping.sequence);
    const auto sender = m_records.find(ping.sender);
    if (sender == m_records.end())
        ack.updates.push_back(makeUpdate(m_self.id, true));
    send(std::move(ack), std::string(from), ping.sender, ping.senderIncarnation, ControlKind::Probe, now, out);
}

void MemberTable::handlePingRequest(const SwimMessage& request, std::string_view from, TimePoint now, Datagrams& out)
{
    constexpr size_t maxRelayedProbes = 256;
    const auto target = m_records.find(request.target);
    if (target == m_records.end() || m_relayedProbes.size() >= maxRelayedProbes)
        return;
    const auto sequence = ++m_nextSequence;
    m_relayedProbes[sequence] = { std::string(from), request.sequence, now + 2s };
    const auto& member = target->second.member;
    send(makeMessage(SwimKind::Ping, sequence), member.gossipAddress, member.id, member.incarnation, ControlKind::Probe, now, out);
}

void MemberTable::handleAck(const SwimMessage& ack, TimePoint now, Datagrams& out)
{
    if (const auto relayed = m_relayedProbes.find(ack.sequence); relayed != m_relayedProbes.end()) {
        auto forwarded = makeMessage(SwimKind::Ack, relayed->second.sequence);
        forwarded.target = ack.sender;
        transmit(forwarded, relayed->second.requester, ControlKind::Probe, now, out);
        m_relayedProbes.erase(relayed);
        return;
    }
    const auto probe = m_probes.find(ack.sequence);
    const auto& answering = ack.target.isEmpty() ? ack.sender : ack.target;
    if (probe == m_probes.end() || probe->second.target != answering)
        return;
    m_probes.erase(probe);
    m_healthPenalty = std::max(0, m_healthPenalty - 1);
}

void MemberTable::handleSyncRequest(const SwimMessage& request, std::string_view from, TimePoint now, Datagrams& out)
{
    if (!request.buckets)
        return;
    const auto own = bucketDigests();
    std::vector<MemberUpdate> updates;
    const auto add = [&](const MemberId& id) {
        const auto bucket = hashBytes(id.text()) % own.size();
        if (own[bucket] != (*request.buckets)[bucket])
            updates.push_back(makeUpdate(id, true));
    };
    add(m_self.id);
    for (const auto& [id, record] : m_records)
        add(id);
    // Buckets are sent whole and in random order, so that each response completes some buckets, which then no longer differ
    // in the next request.
    const auto salt = m_random();
    std::ranges::sort(updates, {}, [&](const MemberUpdate& update) {
        const auto hash = hashBytes(update.member.id.text());
        return std::pair(hashPair(hash % own.size(), salt), hash);
    });
    auto part = makeMessage(SwimKind::SyncResponse, request.sequence);
    size_t remainingBytes = SwimCodec::maxDatagram - envelopeBytes;
    int parts = 0;
    for (auto& update : updates) {
        const auto size = SwimCodec::sizeOf(update);
        if (size > remainingBytes) {
            if (!transmit(part, std::string(from), ControlKind::Synchronisation, now, out) || ++parts >= maxSyncDatagrams)
                return;
            part.updates.clear();
            remainingBytes = SwimCodec::maxDatagram - envelopeBytes;
        }
        remainingBytes -= size;
        part.updates.push_back(std::move(update));
    }
    if (!part.updates.empty())
        transmit(part, std::string(from), ControlKind::Synchronisation, now, out);
}

void MemberTable::requestSyncOnDifference(const SwimMessage& received, std::string_view from, TimePoint now, Datagrams& out)
{
    const bool isProbe = received.kind == SwimKind::Ping || (received.kind == SwimKind::Ack && received.target.isEmpty());
    if (!isProbe || now < m_nextSync || received.digest == tableDigest())
        return;
    // Digests also differ while updates are still spreading, so a table that already has enough members waits longer.
    const auto period = m_liveCount < m_settings.smallFleetSize ? m_settings.syncPeriod / 8 : m_settings.syncPeriod;
    m_nextSync = now + period / 2 + period * (m_random() % 16) / 16;
    auto request = makeMessage(SwimKind::SyncRequest, ++m_nextSequence);
    request.buckets = bucketDigests();
    transmit(request, std::string(from), ControlKind::Synchronisation, now, out);
}

SwimMessage MemberTable::makeMessage(SwimKind kind, uint64_t sequence) const
{
    SwimMessage message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = m_self.id;
    message.senderIncarnation = m_self.incarnation;
    message.digest = tableDigest();
    message.configuration = m_gossip.ownConfiguration();
    message.configurationVersion = m_gossip.ownConfigurationVersion();
    return message;
}

MemberUpdate MemberTable::makeUpdate(const MemberId& id, bool hasProfile) const
{
    MemberUpdate update;
    update.hasProfile = hasProfile;
    if (id == m_self.id) {
        update.member = m_self;
        return update;
    }
    const auto& record = m_records.at(id);
    update.member = record.member;
    // A leaving member that fails probes is reported as dead, which starts a suspicion at the receiver.
    if (record.chart.isIn("leaving") && record.suspectedAt)
        update.member.state = MemberState::Dead;
    if (record.suspectedAt) {
        if (record.isSuspectedLocally)
            update.reporter = m_self.id;
        else if (!record.reporters.empty())
            update.reporter = *record.reporters.begin();
    }
    return update;
}

void MemberTable::addUpdates(SwimMessage& message, size_t& remainingBytes, const MemberId& recipient, uint64_t recipientIncarnation)
{
    const auto add = [&](const MemberId& id, bool hasProfile) {
        auto update = makeUpdate(id, hasProfile);
        const auto size = SwimCodec::sizeOf(update);
        if (size > remainingBytes)
            return false;
        remainingBytes -= size;
        message.updates.push_back(std::move(update));
        return true;
    };
    // A recipient that is suspected, or that restarted with a lower incarnation, is sent its own record so that it can refute
    // it.
    if (const auto found = m_records.find(recipient); found != m_records.end()) {
        const auto& record = found->second;
        if (!record.chart.isIn("alive") || record.suspectedAt || record.member.incarnation > recipientIncarnation)
            add(recipient, false);
    }
    std::vector<std::pair<int, MemberId>> order;
    for (const auto& [id, queued] : m_queue) {
        const auto found = m_records.find(id);
        const bool isLeaving = id == m_self.id ? m_self.state == MemberState::Leaving : found != m_records.end() && found->second.chart.isIn("leaving");
        order.emplace_back(-queued.sendsLeft - (isLeaving ? 1000 : 0), id);
    }
    std::ranges::sort(order);
    for (const auto& [rank, id] : order) {
        auto& queued = m_queue[id];
        if (id != recipient && add(id, queued.needsProfile))
            --queued.sendsLeft;
        if (queued.sendsLeft <= 0)
            m_queue.erase(id);
    }
}

void MemberTable::send(SwimMessage message, const std::string& to, const MemberId& recipient, uint64_t recipientIncarnation, ControlKind kind, TimePoint now, Datagrams& out)
{
    // The space for updates is limited while the budget is low. When many members join simultaneously, their profiles would
    // otherwise use up the budget that probes need.
    size_t remainingBytes = std::min(SwimCodec::maxDatagram - envelopeBytes - ownProfileBytes, minUpdateBytes + m_budget.available(ControlKind::Synchronisation, now) / 8);
    addUpdates(message, remainingBytes, recipient, recipientIncarnation);
    const auto maxGossipBytes = std::min({ m_settings.gossipBytes, remainingBytes, m_budget.available(ControlKind::BulkGossip, now) });
    message.gossipEntries = m_gossip.select(maxGossipBytes, retransmitLimit(), [](const GossipEntry& entry) { return SwimCodec::sizeOf(entry); });
    transmit(message, to, kind, now, out);
}

bool MemberTable::transmit(const SwimMessage& message, const std::string& to, ControlKind kind, TimePoint now, Datagrams& out)
{
    auto bytes = m_codec.encode(message);
    BORAGESLIP_INVARIANT(bytes.size() <= SwimCodec::maxDatagram, "datagram-size", std::to_string(bytes.size()));
    if (!m_budget.spend(kind, bytes.size(), now))
        return false;
    out.push_back({ to, std::move(bytes), kind });
    return true;
}

uint64_t MemberTable::recordDigest(const Member& member) const
{
    const auto flags = (member.state == MemberState::Leaving ? 2U : 0U) | (member.isPlaceable ? 1U : 0U);
    return hashPair(hashBytes(member.id.text(), member.incarnation), flags);
}

BucketDigests MemberTable::bucketDigests() const
{
    BucketDigests buckets {};
    const auto add = [&](const Member& member) { buckets[hashBytes(member.id.text()) % buckets.size()] ^= static_cast<uint32_t>(recordDigest(member)); };
    add(m_self);
    for (const auto& [id, record] : m_records) {
        if (isListed(record))
            add(record.member);
    }
    return buckets;
}

uint64_t MemberTable::tableDigest() const
{
    if (m_digest)
        return *m_digest;
    uint64_t digest = recordDigest(m_self);
    for (const auto& [id, record] : m_records) {
        if (isListed(record))
            digest ^= recordDigest(record.member);
    }
    m_digest = digest;
    return digest;
}

}
