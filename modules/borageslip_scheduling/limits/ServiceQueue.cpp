#include "ServiceQueue.h"

#include "../placement/ServerChoice.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace borageslip {

namespace {

    using std::chrono::milliseconds;

    // Requests granted beyond a server's slots, one for this many slots, so that the server does not idle between the
    // end of a request and the arrival of the next.
    constexpr int slotsPerExtraGrant = 3;
    constexpr Duration rejectionInterval = milliseconds(10);
    constexpr Duration arrivalWindow = milliseconds(500);
    constexpr int holdTimeSmoothing = 16; ///< The moving average adapts within some tens of requests.
    constexpr double minFreeRate = 0.1; ///< Part of the service rate assumed to be left for late requests, however many arrive.
    constexpr uint64_t shareSeed = 0x7368617265;
    constexpr size_t maxWaiting = 2048; ///< Per service; beyond it, the last requests in order are rejected.

    bool contains(std::span<const uint64_t> hashes, uint64_t hash)
    {
        return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
    }

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    Duration fromSeconds(double count)
    {
        constexpr double longest = 3600;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(count, longest)));
    }

}

/** Free capacity of the servers during one decision. */
class ServiceQueue::Capacity {
public:
    Capacity(std::span<const QueuedServer> servers, const std::unordered_map<uint64_t, int>& held, std::unordered_map<uint64_t, RequestRate>& rates, double capFactor, TimePoint now)
        : m_capFactor(capFactor)
        , m_now(now)
    {
        for (const auto& server : servers) {
            RequestRate* rate = nullptr;
            if (server.rateLimit > 0) {
                rate = &rates[server.hash];
                rate->setRate(server.rateLimit, server.rateShare, now);
            }
            const auto found = held.find(server.hash);
            m_rows.push_back({ server, found == held.end() ? 0 : found->second, limit(server), rate });
            m_sharingCount += rate == nullptr ? 1 : 0;
            m_sharedHeld += rate == nullptr ? m_rows.back().held : 0;
            m_totalHeld += m_rows.back().held;
        }
    }

    bool isEmpty() const { return m_rows.empty(); }

    /** Requests a second that the servers can take. @param holdTime of a slot; zero when unknown. */
    double serviceRate(Duration holdTime) const
    {
        constexpr double unlimited = std::numeric_limits<double>::infinity();
        double total = 0;
        for (const auto& row : m_rows) {
            const double bySlots = row.server.slots == 0 || holdTime == Duration::zero() ? unlimited : row.server.slots / seconds(holdTime);
            total += std::min(bySlots, row.server.rateLimit > 0 ? row.server.rateLimit : unlimited);
        }
        return total;
    }

    bool hasFree() const
    {
        return std::any_of(m_rows.begin(), m_rows.end(), [this](const Row& row) { return isFree(row); });
    }

    bool areAllExcluded(std::span<const uint64_t> excluded) const
    {
        return std::all_of(m_rows.begin(), m_rows.end(), [&](const Row& row) { return contains(excluded, row.server.hash); });
    }

    /** Takes a slot of the least loaded server that is not excluded. A server that is due for a probe comes first, so that
        a service with few requests learns of its recovery; servers with a reduced share otherwise come last for the rest
        of the requests.
        @return the server's hash; 0 when there is no free slot. */
    uint64_t take(std::span<const uint64_t> excluded, uint64_t failureDomain, uint64_t tieBreak)
    {
        const auto key = [&](const Row& row) {
            const double load = row.server.slots == 0 ? row.held : static_cast<double>(row.held) / row.limit;
            return std::tuple(!row.server.isProbeDue, isAvoided(row.server, tieBreak), row.server.isCold, load, row.server.failureDomain != failureDomain, hashPair(tieBreak, row.server.hash));
        };
        Row* best = nullptr;
        for (auto& row : m_rows) {
            if (!isFree(row) || contains(excluded, row.server.hash))
                continue;
            if (best == nullptr || key(row) < key(*best))
                best = &row;
        }
        if (best == nullptr)
            return 0;
        ++best->held;
        ++m_totalHeld;
        if (best->rate != nullptr)
            best->rate->take(m_now);
        else
            ++m_sharedHeld;
        best->server.isProbeDue = false;
        return best->server.hash;
    }

private:
    struct Row {
        QueuedServer server;
        int held;
        int limit; ///< Requests that it may have; 0 for unlimited.
        RequestRate* rate; ///< Null without a rate limit.
    };

    static int limit(const QueuedServer& server)
    {
        if (server.slots == 0)
            return 0;
        const int full = server.slots + std::max(1, server.slots / slotsPerExtraGrant);
        return std::max(1, static_cast<int>(std::lround(full * server.share)));
    }

    /** Whether the request should get another server if one has a free slot. */
    static bool isAvoided(const QueuedServer& server, uint64_t request)
    {
        if (server.share >= 1 || server.isProbeDue)
            return false;
        // Independent of the hash that decides between equally loaded servers, which would favour servers that are not avoided.
        const double position = std::ldexp(static_cast<double>(hashPair(hashPair(request, server.hash), shareSeed)), -64);
        return position >= server.share;
    }

    bool isFree(const Row& row) const
    {
        if (row.rate != nullptr && !row.rate->canTake(m_now))
            return false;
        const bool hasSlot = row.limit == 0 || row.held < row.limit;
        // Servers at their rate limits have few requests, however many the others have to take.
        const double mean = m_sharingCount > 0 ? static_cast<double>(m_sharedHeld) / m_sharingCount : static_cast<double>(m_totalHeld) / static_cast<double>(m_rows.size());
        return hasSlot && row.held <= m_capFactor * mean + capMargin;
    }

    double m_capFactor;
    TimePoint m_now;
    std::vector<Row> m_rows;
    int m_totalHeld = 0;
    int m_sharedHeld = 0; ///< At servers without a rate limit.
    int m_sharingCount = 0; ///< Servers without a rate limit.
};

bool ServiceQueue::apply(const ServiceState& state, uint64_t failureDomain, TimePoint now)
{
    const auto found = m_holders.try_emplace(state.sender).first;
    const auto& instance = found->first;
    auto& holder = found->second;
    if (std::tuple(state.incarnation, state.sequence) <= std::tuple(holder.incarnation, holder.sequence))
        return false;
    if (state.incarnation != holder.incarnation)
        removeHolder(instance, holder, now);
    holder.incarnation = state.incarnation;
    holder.sequence = state.sequence;
    holder.heardAt = now;
    holder.ejected = state.ejected;
    removeEnded(instance, holder, state, now);
    for (const auto& slot : state.held)
        applyHeld(instance, holder, slot, now);
    for (const auto& request : state.waiting)
        applyWaiting(instance, holder, request, failureDomain, now);
    return true;
}

void ServiceQueue::removeEnded(const std::string& instance, Holder& holder, const ServiceState& state, TimePoint now)
{
    for (auto entry = holder.entries.begin(); entry != holder.entries.end();) {
        const auto isSame = [&](const auto& row) { return row.number == entry->first; };
        const bool isListed = std::any_of(state.held.begin(), state.held.end(), isSame) || std::any_of(state.waiting.begin(), state.waiting.end(), isSame);
        if (!isListed)
            removeEntry(instance, entry->first, entry->second, now);
        entry = isListed ? std::next(entry) : holder.entries.erase(entry);
    }
}

void ServiceQueue::applyHeld(const std::string& instance, Holder& holder, const HeldSlot& slot, TimePoint now)
{
    auto& entry = holder.entries[slot.number];
    const bool isConfirmation = (entry.phase == Phase::Granted || entry.phase == Phase::Held) && entry.server == slot.server;
    if (!isConfirmation) {
        removeEntry(instance, slot.number, entry, now);
        occupy(entry, slot.server, now);
    }
    entry.phase = Phase::Held;
}

void ServiceQueue::applyWaiting(const std::string& instance, Holder& holder, const SlotRequest& request, uint64_t failureDomain, TimePoint now)
{
    const auto [found, isNew] = holder.entries.try_emplace(request.number);
    auto& entry = found->second;
    if (!isNew && (entry.phase == Phase::Granted || entry.phase == Phase::Rejected)) {
        m_repeated.push_back({ instance, entry.decision });
        return;
    }
    if (!isNew)
        return;
    entry.priority = request.priority;
    entry.account = request.account;
    entry.failureDomain = failureDomain;
    entry.onTimeUntil = now + request.onTimeWithin;
    entry.startUntil = now + request.startWithin;
    entry.excluded = request.excluded;
    m_waiting.push_back({ &instance, request.number, &entry });
    recordArrival(now);
}

void ServiceQueue::recordArrival(TimePoint now)
{
    m_arrivals = 1 + m_arrivals * std::exp(-seconds(now - m_arrivalsAt) / seconds(arrivalWindow));
    m_arrivalsAt = now;
}

void ServiceQueue::occupy(Entry& entry, uint64_t server, TimePoint now)
{
    entry.server = server;
    entry.grantedAt = now;
    ++m_held[server];
    ++m_heldByAccount[entry.account];
}

void ServiceQueue::release(Entry& entry, TimePoint now)
{
    if (const auto found = m_held.find(entry.server); found != m_held.end() && --found->second == 0)
        m_held.erase(found);
    if (const auto found = m_heldByAccount.find(entry.account); found != m_heldByAccount.end() && --found->second == 0)
        m_heldByAccount.erase(found);
    if (entry.phase != Phase::Held)
        return;
    const auto held = now - entry.grantedAt;
    m_holdTime = m_holdTime == Duration::zero() ? held : m_holdTime + (held - m_holdTime) / holdTimeSmoothing;
}

void ServiceQueue::removeFromWaiting(const std::string& instance, uint64_t number)
{
    std::erase_if(m_waiting, [&](const WaitingRequest& waiting) { return waiting.number == number && waiting.instance == &instance; });
}

void ServiceQueue::removeEntry(const std::string& instance, uint64_t number, Entry& entry, TimePoint now)
{
    if (entry.phase == Phase::Waiting)
        removeFromWaiting(instance, number);
    else if (entry.phase != Phase::Rejected)
        release(entry, now);
}

void ServiceQueue::removeHolder(const std::string& instance, Holder& holder, TimePoint now)
{
    for (auto& [number, entry] : holder.entries)
        removeEntry(instance, number, entry, now);
    holder.entries.clear();
}

void ServiceQueue::expireLeases(TimePoint now)
{
    for (auto holder = m_holders.begin(); holder != m_holders.end();) {
        const bool isExpired = now - holder->second.heardAt > leaseTime;
        if (isExpired)
            removeHolder(holder->first, holder->second, now);
        // The sequence of an instance without entries is still needed to discard late messages.
        const bool isForgotten = now - holder->second.heardAt > 10 * leaseTime;
        holder = isForgotten ? m_holders.erase(holder) : std::next(holder);
    }
}

bool ServiceQueue::isBefore(const Entry& first, const Entry& second, TimePoint now) const
{
    const auto key = [&](const Entry& entry) {
        const bool isLate = entry.isLate(now);
        const auto held = m_heldByAccount.find(entry.account);
        return std::tuple(entry.priority.account, entry.priority.route, isLate, held == m_heldByAccount.end() ? 0 : held->second, isLate ? entry.startUntil : entry.onTimeUntil);
    };
    return key(first) < key(second);
}

void ServiceQueue::grant(WaitingRequest& waiting, uint64_t server, std::vector<Decision>& decisions, TimePoint now)
{
    auto& entry = *waiting.entry;
    entry.phase = Phase::Granted;
    occupy(entry, server, now);
    entry.decision = { waiting.number, true, server, {} };
    decisions.push_back({ *waiting.instance, entry.decision });
}

void ServiceQueue::reject(WaitingRequest& waiting, Duration expectedWait, std::vector<Decision>& decisions)
{
    auto& entry = *waiting.entry;
    entry.phase = Phase::Rejected;
    entry.decision = { waiting.number, false, 0, std::chrono::duration_cast<milliseconds>(expectedWait) };
    decisions.push_back({ *waiting.instance, entry.decision });
}

void ServiceQueue::grantFreeSlots(Capacity& capacity, std::vector<Decision>& decisions, TimePoint now)
{
    std::vector<WaitingRequest> unplaceable; // Every server with a free slot is excluded for them.
    while (!m_waiting.empty() && capacity.hasFree()) {
        const auto first = std::min_element(m_waiting.begin(), m_waiting.end(), [&](const auto& left, const auto& right) { return isBefore(*left.entry, *right.entry, now); });
        auto waiting = *first;
        *first = m_waiting.back();
        m_waiting.pop_back();
        const auto server = capacity.take(waiting.entry->excluded, waiting.entry->failureDomain, hashPair(waiting.number, hashBytes(*waiting.instance)));
        if (server == 0)
            unplaceable.push_back(waiting);
        else
            grant(waiting, server, decisions, now);
    }
    m_waiting.insert(m_waiting.end(), unplaceable.begin(), unplaceable.end());
}

void ServiceQueue::rejectLate(const Capacity& capacity, std::vector<Decision>& decisions, TimePoint now)
{
    m_nextRejection = now + rejectionInterval;
    std::sort(m_waiting.begin(), m_waiting.end(), [&](const auto& left, const auto& right) { return isBefore(*left.entry, *right.entry, now); });
    const double serviceRate = capacity.serviceRate(m_holdTime);
    const double arrivalRate = m_arrivals * std::exp(-seconds(now - m_arrivalsAt) / seconds(arrivalWindow)) / seconds(arrivalWindow);
    const double freeRate = std::max(serviceRate - arrivalRate, minFreeRate * serviceRate);
    size_t position = 0;
    std::erase_if(m_waiting, [&](WaitingRequest& waiting) {
        auto& entry = *waiting.entry;
        entry.isExpectedLate |= now + fromSeconds(static_cast<double>(position) / serviceRate) > entry.onTimeUntil;
        // New arrivals that can still be on time go before late requests.
        const auto wait = fromSeconds(static_cast<double>(position) / (entry.isExpectedLate ? freeRate : serviceRate));
        const bool isHopeless = now + wait > entry.startUntil || position >= maxWaiting || capacity.areAllExcluded(entry.excluded);
        if (isHopeless)
            reject(waiting, std::max(wait, fromSeconds(static_cast<double>(m_waiting.size()) / freeRate)), decisions);
        else
            ++position;
        return isHopeless;
    });
}

std::vector<ServiceQueue::Decision> ServiceQueue::decide(std::span<const QueuedServer> servers, TimePoint now)
{
    auto decisions = std::exchange(m_repeated, {});
    std::erase_if(m_rates, [&](const auto& row) { return std::none_of(servers.begin(), servers.end(), [&](const auto& server) { return server.hash == row.first && server.rateLimit > 0; }); });
    Capacity capacity(servers, m_held, m_rates, m_capFactor, now);
    if (now >= m_settledAt)
        grantFreeSlots(capacity, decisions, now);
    if (!m_waiting.empty() && (now >= m_nextRejection || capacity.isEmpty()))
        rejectLate(capacity, decisions, now);
    return decisions;
}

size_t ServiceQueue::ejectionCount(uint64_t server) const
{
    return static_cast<size_t>(std::count_if(m_holders.begin(), m_holders.end(), [server](const auto& holder) { return contains(holder.second.ejected, server); }));
}

std::vector<std::string> ServiceQueue::instances() const
{
    std::vector<std::string> names;
    for (const auto& [name, holder] : m_holders) {
        if (!holder.entries.empty())
            names.push_back(name);
    }
    return names;
}

int ServiceQueue::heldCount(uint64_t server) const
{
    const auto found = m_held.find(server);
    return found == m_held.end() ? 0 : found->second;
}

}
