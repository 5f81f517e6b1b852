#include "MemoryStore.h"

namespace borageslip {

MemoryStore::MemoryStore(const Clock& clock, WatchMode watchMode)
    : m_clock(clock)
    , m_watchMode(watchMode)
{
}

void MemoryStore::setOutage(bool isDown)
{
    const std::lock_guard lock(m_mutex);
    m_isDown = isDown;
    m_outageAfterCall = 0;
    m_changed.notify_all();
}

void MemoryStore::setOutageAfterCall(uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    m_outageAfterCall = number;
}

void MemoryStore::loseAnswerOfCall(uint64_t number, LostAnswer when)
{
    const std::lock_guard lock(m_mutex);
    m_lostAnswers[number] = when;
}

void MemoryStore::clearFaults()
{
    const std::lock_guard lock(m_mutex);
    m_isDown = false;
    m_outageAfterCall = 0;
    m_lostAnswers.clear();
}

void MemoryStore::setBeforeCall(std::function<void(uint64_t, PlatformCall)> hook)
{
    const std::lock_guard lock(m_mutex);
    m_beforeCall = std::move(hook);
}

void MemoryStore::expireSession(std::string_view session)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_sessions.find(session); found != m_sessions.end())
        found->second.expires = m_clock.now();
    expireSessions();
}

uint64_t MemoryStore::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

PlatformCallCounts MemoryStore::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

template <typename T>
Result<T> MemoryStore::perform(PlatformCall call, Effect effect, const std::function<Result<T>(Lock&)>& action)
{
    Lock lock(m_mutex);
    const uint64_t number = ++m_calls;
    ++m_counts.at(static_cast<size_t>(call));
    if (const auto hook = m_beforeCall) {
        lock.unlock();
        hook(number, call);
        lock.lock();
    }
    if (m_isDown)
        return Error { ErrorKind::StoreUnavailable, "the store is down" };
    expireSessions();
    const auto lost = m_lostAnswers.find(number);
    const bool isLost = lost != m_lostAnswers.end();
    const auto lostError = Error { effect == Effect::Writes ? ErrorKind::StoreOutcomeUnknown : ErrorKind::StoreUnavailable, "the store's answer was lost" };
    const bool hasEffect = !isLost || lost->second == LostAnswer::AfterEffect;
    auto result = hasEffect ? action(lock) : Result<T> { lostError };
    if (m_outageAfterCall == number)
        m_isDown = true;
    if (isLost)
        return lostError;
    return result;
}

void MemoryStore::expireSessions()
{
    const auto now = m_clock.now();
    for (auto session = m_sessions.begin(); session != m_sessions.end();) {
        if (session->second.expires > now) {
            ++session;
            continue;
        }
        const auto id = session->first;
        session = m_sessions.erase(session);
        releaseLocksOf(id);
    }
}

void MemoryStore::releaseLocksOf(std::string_view session)
{
    for (auto& [key, stored] : m_values) {
        if (stored.holder != session)
            continue;
        stored.holder.clear();
        stored.modifyIndex = ++m_index;
    }
    m_changed.notify_all();
}

StoreReading MemoryStore::readingOf(std::string_view key) const
{
    const auto found = m_values.find(key);
    if (found == m_values.end())
        return { std::nullopt, m_index };
    return { found->second, found->second.modifyIndex };
}

Result<StoreReading> MemoryStore::read(std::string_view key)
{
    return perform<StoreReading>(PlatformCall::Read, Effect::Reads, [&](Lock&) { return readingOf(key); });
}

Result<StoreReading> MemoryStore::watch(std::string_view key, uint64_t afterIndex, std::chrono::milliseconds wait)
{
    return perform<StoreReading>(PlatformCall::Watch, Effect::Reads, [&](Lock& lock) -> Result<StoreReading> {
        const auto deadline = m_clock.now() + wait;
        const auto isOver = [&] { return m_isDown || readingOf(key).index > afterIndex || m_clock.now() >= deadline; };
        // A manual clock does not notify, so the wait looks at it every millisecond.
        while (m_watchMode == WatchMode::Wait && !isOver())
            m_changed.wait_for(lock, std::chrono::milliseconds(1));
        if (m_isDown)
            return Error { ErrorKind::StoreUnavailable, "the store is down" };
        return readingOf(key);
    });
}

Result<std::vector<StoredValue>> MemoryStore::list(std::string_view prefix)
{
    return perform<std::vector<StoredValue>>(PlatformCall::List, Effect::Reads, [&](Lock&) {
        std::vector<StoredValue> values;
        for (auto entry = m_values.lower_bound(prefix); entry != m_values.end() && entry->first.starts_with(prefix); ++entry)
            values.push_back(entry->second);
        return values;
    });
}

Result<uint64_t> MemoryStore::compareAndSwap(std::string_view key, std::string_view bytes, uint64_t expectedIndex)
{
    return perform<uint64_t>(PlatformCall::Write, Effect::Writes, [&](Lock&) -> Result<uint64_t> {
        const auto found = m_values.find(key);
        if ((found == m_values.end() ? 0 : found->second.modifyIndex) != expectedIndex)
            return Error { ErrorKind::RevisionConflict, std::string(key) };
        auto& stored = m_values[std::string(key)];
        stored.key = key;
        stored.bytes = bytes;
        stored.modifyIndex = ++m_index;
        m_changed.notify_all();
        return m_index;
    });
}

Status MemoryStore::remove(std::string_view key, uint64_t expectedIndex)
{
    return perform<std::monostate>(PlatformCall::Write, Effect::Writes, [&](Lock&) -> Status {
        const auto found = m_values.find(key);
        if (found == m_values.end() || found->second.modifyIndex != expectedIndex)
            return Error { ErrorKind::RevisionConflict, std::string(key) };
        m_values.erase(found);
        ++m_index;
        m_changed.notify_all();
        return ok();
    });
}

Result<std::string> MemoryStore::createSession(std::chrono::milliseconds timeToLive)
{
    return perform<std::string>(PlatformCall::Session, Effect::Writes, [&](Lock&) {
        auto id = "session-" + std::to_string(++m_sessionNumber);
        m_sessions[id] = { timeToLive, m_clock.now() + timeToLive };
        return id;
    });
}

Status MemoryStore::renewSession(std::string_view session)
{
    return perform<std::monostate>(PlatformCall::Session, Effect::Writes, [&](Lock&) -> Status {
        const auto found = m_sessions.find(session);
        if (found == m_sessions.end())
            return Error { ErrorKind::LeaseLost, "unknown session" };
        found->second.expires = m_clock.now() + found->second.timeToLive;
        return ok();
    });
}

Status MemoryStore::endSession(std::string_view session)
{
    return perform<std::monostate>(PlatformCall::Session, Effect::Writes, [&](Lock&) -> Status {
        if (const auto found = m_sessions.find(session); found != m_sessions.end())
            m_sessions.erase(found);
        releaseLocksOf(session);
        return ok();
    });
}

Result<uint64_t> MemoryStore::acquire(std::string_view key, std::string_view bytes, std::string_view session)
{
    return perform<uint64_t>(PlatformCall::Lock, Effect::Writes, [&](Lock&) -> Result<uint64_t> {
        if (!m_sessions.contains(session))
            return Error { ErrorKind::LeaseLost, "unknown session" };
        auto& stored = m_values[std::string(key)];
        if (!stored.holder.empty() && stored.holder != session)
            return Error { ErrorKind::LeaseLost, "another session holds " + std::string(key) };
        stored = { std::string(key), std::string(bytes), ++m_index, std::string(session) };
        m_changed.notify_all();
        return m_index;
    });
}

Status MemoryStore::release(std::string_view key, std::string_view session)
{
    return perform<std::monostate>(PlatformCall::Lock, Effect::Writes, [&](Lock&) -> Status {
        const auto found = m_values.find(key);
        if (found == m_values.end() || found->second.holder != session)
            return Error { ErrorKind::LeaseLost, std::string(key) };
        found->second.holder.clear();
        found->second.modifyIndex = ++m_index;
        m_changed.notify_all();
        return ok();
    });
}

}
