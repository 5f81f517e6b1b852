#include "ConfigurationWatcher.h"

#include <algorithm>

namespace borageslip {

namespace {

    // Longest time between two calls of a step that has nothing to do; changes wake it earlier.
    constexpr std::chrono::milliseconds idleInterval { 1000 };

}

ConfigurationWatcher::ConfigurationWatcher(Settings settings, const Clock& clock, KeyValueStore& store, Peers& peers, ConfigurationHolder& holder)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_store(store)
    , m_peers(peers)
    , m_holder(holder)
    , m_nextPollAt(clock.now())
    , m_watchBackoff(m_settings.initialBackoff)
    , m_pullBackoff(m_settings.initialBackoff)
    , m_random(m_settings.seed)
{
}

ConfigurationWatcher::~ConfigurationWatcher()
{
    stop();
}

std::vector<MemberId> ConfigurationWatcher::selectWatchers(const Region& region, std::span<const MemberId> members, size_t count)
{
    const uint64_t key = hashBytes(region.text());
    std::vector<std::pair<double, MemberId>> ranked;
    ranked.reserve(members.size());
    for (const auto& member : members)
        ranked.emplace_back(rendezvousScore(key, hashBytes(member.text())), member);
    std::ranges::sort(ranked, std::greater {});
    std::vector<MemberId> watchers;
    for (size_t i = 0; i < std::min(count, ranked.size()); ++i)
        watchers.push_back(ranked[i].second);
    return watchers;
}

void ConfigurationWatcher::setRegionMembers(std::span<const MemberId> members)
{
    std::vector<MemberId> all(members.begin(), members.end());
    if (std::ranges::find(all, m_settings.self) == all.end())
        all.push_back(m_settings.self);
    const auto watchers = selectWatchers(m_settings.region, all, m_settings.watchersPerRegion);
    const std::lock_guard lock(m_mutex);
    m_isWatching = std::ranges::find(watchers, m_settings.self) != watchers.end();
    ++m_wakeUpCount;
    m_wake.notify_all();
}

void ConfigurationWatcher::setPeerRevision(const MemberId& member, uint64_t revision)
{
    const uint64_t held = m_holder.revision();
    const std::lock_guard lock(m_mutex);
    if (member == m_settings.self)
        return;
    m_peerRevisions[member] = revision;
    if (revision <= held || m_nextPullAt)
        return;
    // A member without a configuration rejects requests, so it fetches one without delay.
    m_nextPullAt = m_clock.now() + (held == 0 ? std::chrono::milliseconds(0) : jitter(m_settings.maxPullJitter));
    ++m_wakeUpCount;
    m_wake.notify_all();
}

void ConfigurationWatcher::removePeer(const MemberId& member)
{
    const std::lock_guard lock(m_mutex);
    m_peerRevisions.erase(member);
}

bool ConfigurationWatcher::isWatching() const
{
    const std::lock_guard lock(m_mutex);
    return m_isWatching;
}

bool ConfigurationWatcher::applyDocument(uint64_t revision, std::string_view document, std::string_view source)
{
    {
        const std::lock_guard lock(m_mutex);
        if (revision == m_invalidRevision)
            return false;
    }
    const auto outcome = m_holder.apply(revision, document);
    if (!isOk(outcome)) {
        logEvent(Severity::Error, "configuration-invalid", { { "revision", revision }, { "source", source }, { "detail", error(outcome).detail } });
        const std::lock_guard lock(m_mutex);
        m_invalidRevision = revision;
        return false;
    }
    if (value(outcome) == ApplyOutcome::Applied)
        logEvent(Severity::Info, "configuration-applied", { { "revision", revision }, { "source", source } });
    return true;
}

bool ConfigurationWatcher::applyReading(const Result<StoreReading>& reading)
{
    if (!isOk(reading))
        return false;
    const auto& stored = value(reading).value;
    if (stored && stored->modifyIndex > m_holder.revision())
        applyDocument(stored->modifyIndex, stored->bytes, "store");
    return true;
}

std::chrono::milliseconds ConfigurationWatcher::jitter(std::chrono::milliseconds longest)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int64_t>(0, longest.count())(m_random));
}

std::chrono::milliseconds ConfigurationWatcher::nextBackoff(std::chrono::milliseconds& backoff)
{
    const std::lock_guard lock(m_mutex);
    const auto wait = backoff / 2 + jitter(backoff / 2);
    backoff = std::min(backoff * 2, m_settings.maxBackoff);
    return wait;
}

std::chrono::milliseconds ConfigurationWatcher::watchStep()
{
    if (!isWatching())
        return idleInterval;
    const uint64_t index = m_lastIndex;
    // Starts with a read, because a watch on an absent key blocks.
    const auto reading = index == 0 ? m_store.read(configurationKey) : m_store.watch(configurationKey, index, m_settings.watchTimeout);
    if (!applyReading(reading))
        return std::max(nextBackoff(m_watchBackoff), error(reading).retryAfter.value_or(std::chrono::milliseconds(0)));
    m_watchBackoff = m_settings.initialBackoff;
    // The index decreases when the store is restored from a backup; the next step then starts over with a read.
    const uint64_t seen = value(reading).index;
    m_lastIndex = seen >= index ? seen : 0;
    if (m_lastIndex == 0)
        return idleInterval;
    return m_settings.coalesceDelay;
}

std::vector<MemberId> ConfigurationWatcher::peersWithNewest() const
{
    const uint64_t held = m_holder.revision();
    uint64_t newest = 0;
    std::vector<MemberId> peers;
    for (const auto& [member, revision] : m_peerRevisions) {
        if (revision <= held || revision < newest || revision == m_invalidRevision)
            continue;
        if (revision > newest)
            peers.clear();
        newest = revision;
        peers.push_back(member);
    }
    return peers;
}

std::chrono::milliseconds ConfigurationWatcher::pullStep()
{
    const auto now = m_clock.now();
    std::optional<MemberId> peer;
    uint64_t offeredRevision = 0;
    bool isPollDue = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto peers = peersWithNewest();
        if (peers.empty())
            m_nextPullAt.reset();
        else if (!m_nextPullAt)
            m_nextPullAt = now;
        if (m_nextPullAt && now < *m_nextPullAt)
            return std::chrono::ceil<std::chrono::milliseconds>(*m_nextPullAt - now);
        if (!peers.empty()) {
            peer = peers[std::uniform_int_distribution<size_t>(0, peers.size() - 1)(m_random)];
            offeredRevision = m_peerRevisions[*peer];
        }
        isPollDue = !peer && !m_isWatching && now >= m_nextPollAt;
        if (isPollDue)
            m_nextPollAt = now + m_settings.storePollInterval / 2 + jitter(m_settings.storePollInterval);
    }
    if (peer) {
        const auto held = m_holder.current();
        const auto copy = m_peers.fetchFromPeer(*peer, held.get());
        const bool isApplied = isOk(copy) && applyDocument(value(copy).revision, value(copy).document, peer->text()) && m_holder.revision() >= offeredRevision;
        const auto wait = isApplied ? std::chrono::milliseconds(0) : nextBackoff(m_pullBackoff);
        const std::lock_guard lock(m_mutex);
        if (isApplied) {
            m_pullBackoff = m_settings.initialBackoff;
            m_nextPullAt.reset();
        } else {
            // The peer may have left the fleet; otherwise gossip reports it again.
            m_peerRevisions.erase(*peer);
            m_nextPullAt = m_clock.now() + wait;
        }
        return wait;
    }
    if (isPollDue && !applyReading(m_store.read(configurationKey)) && m_holder.revision() == 0) {
        // A member without a configuration rejects requests, so it retries soon.
        const auto wait = nextBackoff(m_pullBackoff);
        const std::lock_guard lock(m_mutex);
        m_nextPollAt = m_clock.now() + wait;
        return wait;
    }
    return idleInterval;
}

void ConfigurationWatcher::run(Step step)
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopped) {
        const uint64_t wakeUpCount = m_wakeUpCount;
        lock.unlock();
        const auto wait = (this->*step)();
        lock.lock();
        m_wake.wait_for(lock, wait, [&] { return m_isStopped || (wakeUpCount != m_wakeUpCount && wait == idleInterval); });
    }
}

void ConfigurationWatcher::start()
{
    m_threads.emplace_back([this] { run(&ConfigurationWatcher::watchStep); });
    m_threads.emplace_back([this] { run(&ConfigurationWatcher::pullStep); });
}

void ConfigurationWatcher::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        m_wake.notify_all();
    }
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

}
