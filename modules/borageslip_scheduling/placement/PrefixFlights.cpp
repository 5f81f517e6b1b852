#include "PrefixFlights.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr double measurementWeight = 0.125; ///< Of a prefill that took less time than those before it.

    Duration milliseconds(double count)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
    }

}

TimePoint PrefixFlights::Flight::endsAt() const
{
    return begunAt + milliseconds(static_cast<double>(tokens) / minTokensPerMs);
}

void PrefixFlights::begin(const PrefixAtServer& key, uint64_t owner, uint64_t tokens, TimePoint now)
{
    auto& flight = m_flights[key];
    flight.owner = owner;
    flight.tokens = tokens;
    flight.begunAt = now;
}

std::optional<TimePoint> PrefixFlights::wait(const PrefixAtServer& key, const Waiter& waiter, TimePoint now)
{
    const auto found = m_flights.find(key);
    if (found == m_flights.end() || now >= found->second.endsAt())
        return std::nullopt;
    auto& flight = found->second;
    const auto until = std::min(now + expectedTime(key.server, flight.tokens), flight.endsAt());
    flight.waiting.push_back({ waiter, until });
    return until;
}

std::vector<uint64_t> PrefixFlights::takeWaiting(std::map<PrefixAtServer, Flight>::iterator flight)
{
    std::vector<uint64_t> ids;
    for (const auto& waiting : flight->second.waiting)
        ids.push_back(waiting.waiter.id);
    m_flights.erase(flight);
    return ids;
}

std::vector<uint64_t> PrefixFlights::finish(const PrefixAtServer& key, uint64_t owner, TimePoint now)
{
    const auto found = m_flights.find(key);
    if (found == m_flights.end() || found->second.owner != owner)
        return {};
    recordTime(key.server, found->second, now);
    return takeWaiting(found);
}

PrefixFlights::Failure PrefixFlights::fail(const PrefixAtServer& key, uint64_t owner, TimePoint now)
{
    const auto found = m_flights.find(key);
    if (found == m_flights.end() || found->second.owner != owner)
        return {};
    auto& flight = found->second;
    if (flight.waiting.empty()) {
        m_flights.erase(found);
        return { true, std::nullopt };
    }
    const auto next = flight.waiting.front().waiter;
    flight.waiting.pop_front();
    begin(key, next.owner, flight.tokens, now);
    return { true, next.id };
}

std::vector<uint64_t> PrefixFlights::drop(uint64_t server)
{
    std::vector<uint64_t> ids;
    for (auto flight = m_flights.lower_bound({ server, 0 }); flight != m_flights.end() && flight->first.server == server;) {
        const auto waiting = takeWaiting(flight++);
        ids.insert(ids.end(), waiting.begin(), waiting.end());
    }
    m_msPerToken.erase(server);
    return ids;
}

std::vector<uint64_t> PrefixFlights::takeExpired(TimePoint now)
{
    std::vector<uint64_t> ids;
    for (auto found = m_flights.begin(); found != m_flights.end();) {
        auto& waiting = found->second.waiting;
        const bool hasEnded = now >= found->second.endsAt();
        for (const auto& request : waiting) {
            if (hasEnded || request.until <= now)
                ids.push_back(request.waiter.id);
        }
        std::erase_if(waiting, [&](const WaitingRequest& request) { return request.until <= now; });
        found = hasEnded ? m_flights.erase(found) : std::next(found);
    }
    return ids;
}

std::optional<TimePoint> PrefixFlights::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& [key, flight] : m_flights) {
        next = next ? std::min(*next, flight.endsAt()) : flight.endsAt();
        for (const auto& request : flight.waiting)
            next = next ? std::min(*next, request.until) : request.until;
    }
    return next;
}

std::vector<uint64_t> PrefixFlights::servers() const
{
    std::vector<uint64_t> hashes;
    for (const auto& [key, flight] : m_flights) {
        if (!flight.waiting.empty() && (hashes.empty() || hashes.back() != key.server))
            hashes.push_back(key.server);
    }
    return hashes;
}

size_t PrefixFlights::waitingCount() const
{
    size_t count = 0;
    for (const auto& [key, flight] : m_flights)
        count += flight.waiting.size();
    return count;
}

Duration PrefixFlights::expectedTime(uint64_t server, uint64_t tokens) const
{
    const auto found = m_msPerToken.find(server);
    const double msPerToken = found == m_msPerToken.end() ? 1 / assumedTokensPerMs : found->second;
    return milliseconds(static_cast<double>(tokens) * msPerToken);
}

void PrefixFlights::recordTime(uint64_t server, const Flight& flight, TimePoint now)
{
    const double taken = std::chrono::duration<double, std::milli>(now - flight.begunAt).count() / static_cast<double>(flight.tokens);
    const double measured = std::clamp(taken, 1 / maxTokensPerMs, 1 / minTokensPerMs);
    auto& known = m_msPerToken.try_emplace(server, measured).first->second;
    known = std::max(measured, known + measurementWeight * (measured - known));
}

}
