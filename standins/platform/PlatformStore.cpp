#include "PlatformStore.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace borageslip::standin {

namespace {

    constexpr std::chrono::milliseconds expiryCheck { 50 };

}

PlatformStore::PlatformStore()
    : m_expiryThread([this] { expireSessions(); })
{
}

PlatformStore::~PlatformStore()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_expiryThread.join();
}

uint64_t PlatformStore::indexOf(const std::string& key, Scope scope) const
{
    uint64_t index = 1;
    for (auto entry = m_entries.lower_bound(key); entry != m_entries.end() && entry->first.starts_with(key); ++entry) {
        if (scope == Scope::Key && entry->first != key)
            break;
        index = std::max(index, entry->second.modifyIndex);
    }
    for (auto removed = m_removalIndexes.lower_bound(key); removed != m_removalIndexes.end() && removed->first.starts_with(key); ++removed) {
        if (scope == Scope::Key && removed->first != key)
            break;
        index = std::max(index, removed->second);
    }
    return index;
}

PlatformStore::ReadResult PlatformStore::read(const std::string& key, Scope scope, uint64_t afterIndex, std::chrono::milliseconds wait) const
{
    std::unique_lock lock(m_mutex);
    if (afterIndex != 0)
        m_changed.wait_for(lock, wait, [&] { return m_isStopping || indexOf(key, scope) > afterIndex; });
    ReadResult result { {}, indexOf(key, scope) };
    for (auto entry = m_entries.lower_bound(key); entry != m_entries.end() && entry->first.starts_with(key); ++entry) {
        if (scope == Scope::Prefix || entry->first == key)
            result.entries.emplace_back(*entry);
        if (scope == Scope::Key)
            break;
    }
    return result;
}

void PlatformStore::change(Entry& entry, std::string_view value)
{
    entry.value = value;
    entry.modifyIndex = ++m_index;
    if (entry.createIndex == 0)
        entry.createIndex = m_index;
    m_changed.notify_all();
}

bool PlatformStore::write(const std::string& key, std::string_view value, std::optional<uint64_t> expectedIndex)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    const uint64_t present = found == m_entries.end() ? 0 : found->second.modifyIndex;
    if (expectedIndex && *expectedIndex != present)
        return false;
    change(m_entries[key], value);
    return true;
}

bool PlatformStore::remove(const std::string& key, Scope scope, std::optional<uint64_t> expectedIndex)
{
    const std::lock_guard lock(m_mutex);
    if (expectedIndex) {
        const auto found = m_entries.find(key);
        if (found == m_entries.end() || found->second.modifyIndex != *expectedIndex)
            return false;
    }
    ++m_index;
    auto entry = m_entries.lower_bound(key);
    while (entry != m_entries.end() && entry->first.starts_with(key)) {
        if (scope == Scope::Key && entry->first != key)
            break;
        m_removalIndexes[entry->first] = m_index;
        entry = m_entries.erase(entry);
    }
    m_changed.notify_all();
    return true;
}

PlatformStore::LockOutcome PlatformStore::acquire(const std::string& key, std::string_view value, const std::string& session)
{
    const std::lock_guard lock(m_mutex);
    if (!m_sessions.contains(session))
        return LockOutcome::UnknownSession;
    const auto delay = m_lockDelays.find(key);
    if (delay != m_lockDelays.end() && std::chrono::steady_clock::now() < delay->second)
        return LockOutcome::Denied;
    auto& entry = m_entries[key];
    if (!entry.session.empty() && entry.session != session)
        return LockOutcome::Denied;
    if (entry.session.empty())
        ++entry.lockIndex;
    entry.session = session;
    change(entry, value);
    return LockOutcome::Done;
}

PlatformStore::LockOutcome PlatformStore::release(const std::string& key, std::string_view value, const std::string& session)
{
    const std::lock_guard lock(m_mutex);
    if (!m_sessions.contains(session))
        return LockOutcome::UnknownSession;
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.session != session)
        return LockOutcome::Denied;
    found->second.session.clear();
    change(found->second, value);
    return LockOutcome::Done;
}

std::string PlatformStore::createSession(std::chrono::milliseconds timeToLive, std::chrono::milliseconds lockDelay, Behavior behavior)
{
    const std::lock_guard lock(m_mutex);
    std::array<char, 48> id {};
    const auto number = ++m_sessionNumber;
    std::snprintf(id.data(), id.size(), "%08x-0000-4000-8000-%012llx", std::random_device {}(), static_cast<unsigned long long>(number));
    m_sessions[id.data()] = { timeToLive, lockDelay, behavior, std::chrono::steady_clock::now() + timeToLive };
    return id.data();
}

bool PlatformStore::renewSession(const std::string& session)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return false;
    found->second.expires = std::chrono::steady_clock::now() + found->second.timeToLive;
    return true;
}

void PlatformStore::destroySession(const std::string& session)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_sessions.find(session); found != m_sessions.end())
        invalidate(found, std::chrono::steady_clock::now());
}

void PlatformStore::invalidate(std::map<std::string, Session>::iterator session, SteadyTime now)
{
    const auto id = session->first;
    const auto details = session->second;
    m_sessions.erase(session);
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.session != id) {
            ++entry;
            continue;
        }
        if (details.lockDelay.count() > 0)
            m_lockDelays[entry->first] = now + details.lockDelay;
        if (details.behavior == Behavior::Delete) {
            m_removalIndexes[entry->first] = ++m_index;
            entry = m_entries.erase(entry);
        } else {
            entry->second.session.clear();
            entry->second.modifyIndex = ++m_index;
            ++entry;
        }
    }
    m_changed.notify_all();
}

void PlatformStore::expireSessions()
{
    std::unique_lock lock(m_mutex);
    auto next = std::chrono::steady_clock::now();
    while (!m_isStopping) {
        next += expiryCheck;
        m_changed.wait_until(lock, next, [&] { return m_isStopping; });
        const auto now = std::chrono::steady_clock::now();
        for (auto session = m_sessions.begin(); session != m_sessions.end();) {
            const auto current = session++;
            if (current->second.timeToLive.count() > 0 && current->second.expires <= now)
                invalidate(current, now);
        }
    }
}

size_t PlatformStore::sessions() const
{
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
}

}
