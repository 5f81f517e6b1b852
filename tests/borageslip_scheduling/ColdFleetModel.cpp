#include "ColdFleetModel.h"

#include <algorithm>

namespace borageslip::test {

namespace {

    constexpr Duration stepInterval = 200ms;
    constexpr Duration callTimeout = 1200ms;
    constexpr Duration retryInterval = 300ms;
    constexpr Duration replyTimeout = 40ms;
    constexpr int groups = 3;
    const std::string s_service = "models";

}

struct ColdFleetModel::Instance {
    Instance(size_t number, uint64_t seed, double rate)
        : index(number)
        , clockRate(rate)
        , keeper(rights, seed)
    {
    }

    size_t index;
    double clockRate; ///< Of its clock.
    uint64_t incarnation = 0;
    int group = 0;
    TimePoint frozenUntil {};
    ColdShareRights rights;
    ColdShareKeeper keeper;
    std::map<ColdShareId, size_t> holders;
    std::map<ColdShareId, TimePoint> askAgainAt; ///< Local time.
    TimePoint deniedUntil {}; ///< Local time.
};

ColdFleetModel::ColdFleetModel(const ModelSettings& settings)
    : m_settings(settings)
    , m_rate(coldShareRate(settings.bound))
    , m_random(settings.seed)
    , m_startedAt(m_queue.now())
{
    m_instances.resize(settings.instances);
    for (size_t i = 0; i < settings.instances; ++i)
        start(i);
    m_queue.at(m_startedAt + 8s, [this] { breakSomething(); });
    checkHolders();
}

ColdFleetModel::~ColdFleetModel() = default;

double ColdFleetModel::chance()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

Duration ColdFleetModel::between(Duration least, Duration most)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(m_random));
}

TimePoint ColdFleetModel::localTime(const Instance& instance) const
{
    return m_startedAt + std::chrono::duration_cast<Duration>((m_queue.now() - m_startedAt) * instance.clockRate) + 1min * instance.index;
}

bool ColdFleetModel::isCut(const Instance& first, const Instance& second) const
{
    return m_isPartitioned && first.group != second.group;
}

void ColdFleetModel::atInstance(size_t index, uint64_t incarnation, TimePoint time, std::function<void(Instance&)> run)
{
    m_queue.at(time, [this, index, incarnation, run = std::move(run)] {
        auto& instance = *m_instances[index];
        if (instance.incarnation != incarnation)
            return;
        if (m_queue.now() < instance.frozenUntil)
            return atInstance(index, incarnation, instance.frozenUntil, run);
        run(instance);
    });
}

void ColdFleetModel::start(size_t index)
{
    const auto incarnation = m_instances[index] ? m_instances[index]->incarnation + 1 : 1;
    // Clocks run up to one in a thousand fast or slow.
    auto instance = std::make_unique<Instance>(index, m_random(), 0.999 + 0.002 * chance());
    instance->incarnation = incarnation;
    instance->group = static_cast<int>(index % groups);
    std::set<ColdShareId> wanted;
    for (int share = 0; share < m_rate.shareCount; ++share)
        wanted.insert({ s_service, share });
    instance->keeper.setWanted(std::move(wanted));
    instance->keeper.setInstanceCount(m_settings.instances);
    m_instances[index] = std::move(instance);
    const auto begin = m_queue.now() + between(0ms, 100ms);
    atInstance(index, incarnation, begin, [=, this](Instance&) { step(index, incarnation); });
    atInstance(index, incarnation, begin, [=, this](Instance&) { followStore(index, incarnation); });
    atInstance(index, incarnation, begin, [=, this](Instance&) { request(index, incarnation); });
}

void ColdFleetModel::followStore(size_t index, uint64_t incarnation)
{
    auto& instance = *m_instances[index];
    // The view of the watch, which may be some seconds old, is read now and applied later.
    std::map<ColdShareId, std::string> seen;
    m_store.expire(m_queue.now());
    for (const auto& [id, key] : m_store.keys)
        seen[id] = key.claim;
    const bool isReached = !m_store.isDown && m_cutGroup != instance.group;
    atInstance(index, incarnation, m_queue.now() + between(100ms, 900ms), [=, this](Instance& reader) {
        if (isReached) {
            for (int share = 0; share < m_rate.shareCount; ++share) {
                const ColdShareId id { s_service, share };
                if (const auto found = seen.find(id); found != seen.end()) {
                    reader.keeper.keyWritten({ id, found->second });
                    reader.holders[id] = m_instanceByClaim[found->second];
                } else {
                    reader.keeper.keyRemoved(id);
                    reader.holders.erase(id);
                }
            }
        }
        atInstance(index, incarnation, m_queue.now() + between(300ms, 600ms), [=, this](Instance&) { followStore(index, incarnation); });
    });
}

void ColdFleetModel::step(size_t index, uint64_t incarnation)
{
    auto& instance = *m_instances[index];
    const auto next = instance.keeper.next(localTime(instance));
    if (next.call == ColdShareKeeper::Call::None)
        return atInstance(index, incarnation, m_queue.now() + stepInterval, [=, this](Instance&) { step(index, incarnation); });
    carryOut(index, incarnation, next);
}

std::function<void(ColdFleetModel::Instance&)> ColdFleetModel::effectOf(const ColdShareKeeper::Step& step, const std::string& claim, TimePoint sentAt)
{
    using Call = ColdShareKeeper::Call;
    const auto now = m_queue.now();
    const auto era = m_store.era;
    const auto share = step.share;
    switch (step.call) {
    case Call::GrantLease: {
        const auto lease = m_store.grant(ColdShareTimes().timeToLive, now);
        return [=](Instance& instance) { instance.keeper.leaseGranted(lease, era, sentAt); };
    }
    case Call::RenewLease:
        if (m_store.renew(step.lease, now))
            return [=](Instance& instance) { instance.keeper.leaseRenewed(era, sentAt); };
        return [=](Instance& instance) { instance.keeper.leaseLost(era); };
    case Call::EndLease:
        m_store.end(step.lease);
        return [](Instance& instance) { instance.keeper.leaseEnded(); };
    case Call::RemoveKey:
        m_store.remove(share, step.revision);
        return [](Instance&) {};
    case Call::CreateKey: {
        const auto created = m_store.create(share, claim, step.lease, step.revision, now);
        if (created == ModelStore::Created::Yes)
            return [=, this](Instance& instance) { instance.keeper.keyCreated(share, era, localTime(instance)); };
        if (created == ModelStore::Created::Exists)
            return [=](Instance& instance) { instance.keeper.keyExists(share, era); };
        return [=](Instance& instance) { instance.keeper.leaseLost(era); };
    }
    case Call::ReadKeys: {
        m_store.expire(now);
        ColdShareKeys listed { {}, m_store.markers };
        for (const auto& [id, key] : m_store.keys)
            listed.shares.push_back({ id, key.claim, key.revision });
        return [=, this](Instance& instance) { instance.keeper.keysRead(listed, era, localTime(instance)); };
    }
    case Call::None:
        break;
    }
    return [](Instance&) {};
}

void ColdFleetModel::carryOut(size_t index, uint64_t incarnation, const ColdShareKeeper::Step& next)
{
    auto& instance = *m_instances[index];
    const auto sentAt = localTime(instance);
    const auto claim = instance.keeper.claim();
    if (next.call == ColdShareKeeper::Call::CreateKey)
        m_instanceByClaim[claim] = index;
    const bool isLate = chance() < m_settings.faults.lateWrites;
    const bool isLost = isLate || chance() < m_settings.faults.lostReplies;
    const bool isReached = !m_store.isDown && m_cutGroup != instance.group;
    if (isReached) {
        const auto carriedOutAt = m_queue.now() + (isLate ? between(500ms, 6s) : between(2ms, 12ms));
        m_queue.at(carriedOutAt, [=, this] {
            const auto result = effectOf(next, claim, sentAt);
            if (isLost)
                return;
            atInstance(index, incarnation, m_queue.now() + between(2ms, 12ms), [=, this](Instance& caller) {
                result(caller);
                step(index, incarnation);
            });
        });
    }
    if (isReached && !isLost)
        return;
    atInstance(index, incarnation, m_queue.now() + callTimeout, [=, this](Instance& caller) {
        caller.keeper.callFailed(next, localTime(caller));
        atInstance(index, incarnation, m_queue.now() + retryInterval, [=, this](Instance&) { step(index, incarnation); });
    });
}

std::vector<uint64_t> ColdFleetModel::preferredServers()
{
    std::vector<uint64_t> servers;
    for (int i = 1; i <= m_settings.servers; ++i)
        servers.push_back(static_cast<uint64_t>(i));
    std::shuffle(servers.begin(), servers.end(), m_random);
    return servers;
}

void ColdFleetModel::request(size_t index, uint64_t incarnation)
{
    std::exponential_distribution<double> seconds(m_settings.requestsPerSecond / static_cast<double>(m_settings.instances));
    const auto next = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(m_random)));
    atInstance(index, incarnation, m_queue.now() + next, [=, this](Instance&) { request(index, incarnation); });
    auto& instance = *m_instances[index];
    const auto now = localTime(instance);
    auto servers = preferredServers();
    if (const auto issued = instance.rights.issue(s_service, m_rate.shareCount, m_rate.interval, servers, now))
        return send(index, incarnation, { *issued, now + coldPermitLifetime });
    if (now < instance.deniedUntil)
        return;
    std::vector<ColdShareId> askable;
    for (const auto& [id, holder] : instance.holders) {
        if (holder != index && now >= instance.askAgainAt[id])
            askable.push_back(id);
    }
    if (askable.empty())
        return;
    const auto id = askable[static_cast<size_t>(chance() * static_cast<double>(askable.size()))];
    askHolder(index, incarnation, id, servers);
}

void ColdFleetModel::askHolder(size_t index, uint64_t incarnation, const ColdShareId& id, const std::vector<uint64_t>& servers)
{
    auto& instance = *m_instances[index];
    const auto askedAt = localTime(instance);
    instance.askAgainAt[id] = askedAt + replyTimeout;
    const auto holder = instance.holders[id];
    const auto holderIncarnation = m_instances[holder]->incarnation;
    if (isCut(instance, *m_instances[holder]) || chance() < m_settings.faults.lostReplies)
        return;
    atInstance(holder, holderIncarnation, m_queue.now() + between(1ms, 6ms), [=, this](Instance& keeper) {
        const auto now = localTime(keeper);
        const auto issued = keeper.rights.issue(s_service, m_rate.shareCount, m_rate.interval, servers, now);
        const auto due = keeper.rights.nextIssue(s_service, m_rate.shareCount, m_rate.interval, servers, now);
        const auto nextIn = due ? std::max(Duration::zero(), *due - now) : Duration(1s);
        if (isCut(keeper, *m_instances[index]) || chance() < m_settings.faults.lostReplies)
            return;
        // Some replies take long; a permit counts from when it was requested.
        const auto delay = chance() < 0.02 ? between(30ms, 300ms) : between(1ms, 6ms);
        atInstance(index, incarnation, m_queue.now() + delay, [=, this](Instance& asker) {
            if (issued)
                send(index, incarnation, { *issued, askedAt + coldPermitLifetime });
            else
                asker.askAgainAt[id] = localTime(asker) + nextIn + between(0ms, 40ms);
        });
    });
}

void ColdFleetModel::send(size_t index, uint64_t incarnation, ColdPermit permit)
{
    // Most servers are connected at once, and some connections take long.
    const auto connecting = chance() < 0.05 ? between(20ms, 250ms) : between(1ms, 12ms);
    atInstance(index, incarnation, m_queue.now() + connecting, [=, this](Instance& instance) {
        if (!permit.allows(permit.server, localTime(instance)))
            return;
        // A lost segment is sent again after 200 ms or more.
        const auto delivery = chance() < 0.03 ? between(200ms, 340ms) : between(1ms, 10ms);
        m_queue.at(m_queue.now() + delivery, [=, this] { m_arrivals[permit.server].push_back(m_queue.now()); });
    });
}

void ColdFleetModel::breakSomething()
{
    const auto& faults = m_settings.faults;
    const auto now = m_queue.now();
    const auto any = [this] { return static_cast<size_t>(chance() * static_cast<double>(m_instances.size())); };
    if (faults.hasPartitions)
        m_isPartitioned = chance() < 0.5;
    if (faults.hasStorePartitions)
        m_cutGroup = chance() < 0.4 ? static_cast<int>(chance() * groups) : -1;
    for (size_t i = 0; faults.hasRestarts && i < m_instances.size() / 20; ++i)
        start(any());
    // All machines of a host stop at once and go on together.
    const bool isHostFrozen = faults.hasFreezes && chance() < 0.3;
    const auto hostUntil = now + between(100ms, 2s);
    // The holders matter most.
    for (size_t i = 0; i < m_instances.size(); ++i) {
        auto& instance = *m_instances[i];
        const bool isHolder = instance.rights.heldCount(localTime(instance)) > 0;
        if (faults.hasFreezes && chance() < (isHolder ? 0.15 : 0.03))
            instance.frozenUntil = now + between(100ms, 9s);
        if (isHostFrozen && chance() < 0.7)
            instance.frozenUntil = hostUntil;
        if (faults.hasRestarts && isHolder && chance() < 0.1)
            start(i);
    }
    if (faults.hasRestores) {
        if (chance() < 0.5)
            m_store.copy();
        if (chance() < 0.3) {
            m_store.isDown = true;
            m_queue.at(now + between(50ms, 2500ms), [this] {
                m_store.isDown = false;
                m_store.restore(m_queue.now());
                // The first leases after the restore take numbers that were issued before, and are kept.
                for (int i = 0; i < 6; ++i)
                    m_store.grant(1h, m_queue.now());
            });
        }
    }
    if (faults.hasKeyRemovals && !m_store.keys.empty() && chance() < 0.5)
        m_store.keys.erase(m_store.keys.begin());
    m_queue.at(now + between(500ms, 6s), [this] { breakSomething(); });
}

void ColdFleetModel::run(Duration time)
{
    m_queue.runUntil(m_queue.now() + time);
}

int ColdFleetModel::mostWithinSecond() const
{
    int most = 0;
    for (auto [server, times] : m_arrivals) {
        std::sort(times.begin(), times.end());
        size_t first = 0;
        for (size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > 1s)
                ++first;
            most = std::max(most, static_cast<int>(last - first + 1));
        }
    }
    return most;
}

double ColdFleetModel::usedRate(Duration after) const
{
    size_t count = 0;
    for (const auto& [server, times] : m_arrivals)
        count += static_cast<size_t>(std::count_if(times.begin(), times.end(), [&](TimePoint time) { return time >= m_startedAt + after; }));
    const auto seconds = std::chrono::duration<double>(m_queue.now() - m_startedAt - after).count();
    return static_cast<double>(count) / (seconds * m_settings.bound.perSecond * m_settings.servers);
}

void ColdFleetModel::checkHolders()
{
    for (int share = 0; share < m_rate.shareCount; ++share) {
        const auto holders = std::count_if(m_instances.begin(), m_instances.end(), [&](const auto& instance) { return instance->rights.isHeld({ s_service, share }, localTime(*instance)); });
        m_doubleHolds += holders > 1 ? 1 : 0;
    }
    m_queue.at(m_queue.now() + 20ms, [this] { checkHolders(); });
}

}
