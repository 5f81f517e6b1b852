#include "StoreRefresh.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <sstream>

namespace borageslip {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration minReadTime = milliseconds(500); ///< Kept of the allowed delay for hedged reads.
    constexpr int readTimeDivisor = 4; ///< Of the allowed delay; the part kept for hedged reads.
    constexpr Duration hedgeDelay = milliseconds(100); ///< Longer than nearly all answers take; a processor share may pause for as long.
    constexpr int readTimeFactor = 3; ///< Other transfers share the link.
    constexpr Duration pollGrace = milliseconds(750); ///< For the regular poll to bring an announced version.
    constexpr Duration spreadPerInstance = milliseconds(1);
    constexpr size_t maxOutstanding = 6;
    constexpr size_t maxReadsPerRound = 6;
    constexpr Duration minRoundPause = milliseconds(200);
    constexpr int maxRoundPauseDoublings = 4;
    constexpr size_t maxAnnouncers = 1024;

    uint64_t hashOf(const boost::asio::ip::tcp::endpoint& endpoint)
    {
        std::ostringstream text;
        text << endpoint;
        return hashBytes(text.str());
    }

    bool contains(std::span<const StoreSource> sources, const StoreSource& source)
    {
        return std::find(sources.begin(), sources.end(), source) != sources.end();
    }

}

std::string storeSourceName(const StoreSource& source)
{
    if (!source)
        return "store";
    std::ostringstream name;
    name << *source;
    return name.str();
}

StoreRefresh::StoreRefresh(std::string_view ownName, Duration maxDelay, Duration maxServerDelay)
    : m_ownHash(hashBytes(ownName))
    , m_maxAge(maxAge(maxDelay))
    , m_maxServersAge(maxAge(maxServerDelay))
{
}

Duration StoreRefresh::maxAge(Duration maxDelay)
{
    return maxDelay - std::max(minReadTime, maxDelay / readTimeDivisor);
}

void StoreRefresh::recordAnnouncement(const boost::asio::ip::tcp::endpoint& instance, uint64_t version, uint64_t versionInForce, TimePoint now)
{
    announcedBy(instance).version = version;
    if (version <= m_newestAnnounced)
        return;
    m_newestAnnounced = version;
    m_failedRounds = 0;
    trackAwaited({ versionInForce, {}, {}, m_newestEvacuation }, now);
}

StoreRefresh::Announced& StoreRefresh::announcedBy(const boost::asio::ip::tcp::endpoint& instance)
{
    if (m_announcers.size() >= maxAnnouncers && !m_announcers.contains(instance))
        m_announcers.clear();
    return m_announcers[instance];
}

void StoreRefresh::recordEvacuation(const boost::asio::ip::tcp::endpoint& instance, uint64_t revision)
{
    announcedBy(instance).evacuation = revision;
    if (revision <= m_newestEvacuation)
        return;
    m_newestEvacuation = revision;
    m_failedRounds = 0;
}

void StoreRefresh::forgetEvacuations()
{
    m_newestEvacuation = 0;
    m_awaited.evacuation = 0;
    for (auto& [instance, announced] : m_announcers)
        announced.evacuation = 0;
}

void StoreRefresh::forgetAnnouncements()
{
    m_announcers.clear();
    m_newestAnnounced = 0;
    m_newestEvacuation = 0;
    m_awaited = {};
    m_failedRounds = 0;
}

void StoreRefresh::trackAwaited(const StoreKnowledge& knowledge, TimePoint now)
{
    // While versions come in quick succession, the polls that bring some of them suffice.
    if (m_awaited.isAheadOf(knowledge) || !isBehind(knowledge))
        return;
    m_awaited = { m_newestAnnounced, m_newestEvacuation };
    m_awaitedSince = now;
}

std::vector<StoreSource> StoreRefresh::candidates(const StoreKnowledge& knowledge, std::span<const StoreSource> ranked, const StoreSource& polled, TimePoint now) const
{
    std::vector<std::pair<uint64_t, StoreSource>> announcers;
    for (const auto& [instance, announced] : m_announcers) {
        if (announced.isAheadOf(knowledge) && StoreSource(instance) != polled)
            announcers.emplace_back(hashPair(m_ownHash, hashOf(instance)), instance);
    }
    std::sort(announcers.begin(), announcers.end());
    std::vector<StoreSource> sources;
    sources.reserve(announcers.size() + ranked.size() + 2);
    for (const auto& [score, instance] : announcers)
        sources.push_back(instance);
    for (const auto& source : ranked) {
        if (source && source != polled && !contains(sources, source))
            sources.push_back(source);
    }
    // A call of the store costs more than one of an instance.
    const bool isStoreSecond = m_isValueOmitted || isOutdated(knowledge, now) || announcers.size() < 2;
    const auto position = std::min<size_t>(sources.size(), isStoreSecond ? 1 : 2);
    // When the store fails, all instances ask it besides their polls.
    const bool asksStore = m_failedRounds % 2 == 0;
    if (asksStore)
        sources.insert(sources.begin() + static_cast<std::ptrdiff_t>(position), std::nullopt);
    if (polled)
        sources.push_back(polled);
    return sources;
}

TimePoint StoreRefresh::outdatedAt(const StoreKnowledge& knowledge) const
{
    const auto operatorKeysOutdatedAt = knowledge.confirmedAt + m_maxAge;
    if (!knowledge.serversConfirmedAt)
        return operatorKeysOutdatedAt;
    return std::min(operatorKeysOutdatedAt, *knowledge.serversConfirmedAt + m_maxServersAge);
}

TimePoint StoreRefresh::dueAt(const StoreKnowledge& knowledge, size_t instanceCount) const
{
    if (!isBehind(knowledge))
        return outdatedAt(knowledge);
    return std::min<TimePoint>(outdatedAt(knowledge), m_awaitedSince + pollGrace + spreadPerInstance * instanceCount + readTimeFactor * knowledge.readTime);
}

void StoreRefresh::endRound(TimePoint now)
{
    m_asked.clear();
    m_isValueOmitted = false;
    m_nextReadAt = now + minRoundPause * (1 << std::min(m_failedRounds, maxRoundPauseDoublings));
    ++m_failedRounds;
}

std::optional<StoreRead> StoreRefresh::next(const StoreKnowledge& knowledge, std::span<const StoreSource> ranked, const StoreSource& polled, size_t instanceCount, TimePoint now)
{
    trackAwaited(knowledge, now);
    if (!needsRead(knowledge, now)) {
        m_asked.clear();
        m_failedRounds = 0;
        m_isValueOmitted = false;
        return std::nullopt;
    }
    if (now < dueAt(knowledge, instanceCount) || now < m_nextReadAt || m_outstanding >= maxOutstanding)
        return std::nullopt;
    const auto sources = candidates(knowledge, ranked, polled, now);
    const auto source = std::find_if(sources.begin(), sources.end(), [this](const StoreSource& candidate) { return !contains(m_asked, candidate); });
    if (source == sources.end() || m_asked.size() >= maxReadsPerRound) {
        endRound(now);
        return std::nullopt;
    }
    const bool isFirst = m_asked.empty();
    m_asked.push_back(*source);
    ++m_outstanding;
    m_nextReadAt = now + hedgeDelay + readTimeFactor * knowledge.readTime;
    return StoreRead { *source, areServersOutdated(knowledge, now) ? ReadScope::AllKeys : ReadScope::OperatorKeys, !isFirst };
}

void StoreRefresh::recordResult(const StoreSource&, StoreReadResult result, TimePoint now)
{
    --m_outstanding;
    if (result == StoreReadResult::Fresh)
        return;
    m_isValueOmitted |= result == StoreReadResult::ValueOmitted;
    // A failure that is known need not be waited for.
    if (!m_asked.empty())
        m_nextReadAt = std::min(m_nextReadAt, now);
}

TimePoint StoreRefresh::nextCheck(const StoreKnowledge& knowledge, size_t instanceCount, TimePoint now) const
{
    const auto due = std::max(dueAt(knowledge, instanceCount), m_nextReadAt);
    // A result or an announcement comes before the time of the next read.
    return m_outstanding >= maxOutstanding ? now + hedgeDelay : due;
}

}
