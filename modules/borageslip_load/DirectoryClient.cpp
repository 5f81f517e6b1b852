#include "DirectoryClient.h"

namespace borageslip {

namespace {

    constexpr std::chrono::seconds timeout { 2 };
    // Time until the next request after none of the addresses responded.
    constexpr std::chrono::seconds retryDelay { 1 };
    constexpr size_t maxAddressesTried = 4;
    constexpr std::string_view scheme = "http://";

}

DirectoryClient::DirectoryClient(std::vector<std::string> seeds, const Clock& clock)
    : m_seeds(std::move(seeds))
    , m_clock(clock)
{
}

DirectoryClient::CachedDirectory& DirectoryClient::cachedDirectory(const std::string& accountKey)
{
    const std::lock_guard lock(m_mutex);
    return m_cache[accountKey];
}

std::vector<std::string> DirectoryClient::entries(const std::string& accountKey)
{
    auto& account = cachedDirectory(accountKey);
    const std::lock_guard lock(account.mutex);
    refresh(account, accountKey);
    return account.entries.empty() ? m_seeds : account.entries;
}

std::string DirectoryClient::takeTicket(const std::string& accountKey)
{
    auto& account = cachedDirectory(accountKey);
    const std::lock_guard lock(account.mutex);
    refresh(account, accountKey);
    if (account.tickets.empty())
        return "";
    auto ticket = std::move(account.tickets.front());
    account.tickets.pop_front();
    return ticket;
}

void DirectoryClient::refresh(CachedDirectory& account, const std::string& accountKey)
{
    if (m_clock.now() < account.refreshAt)
        return;
    // The addresses of the last response are tried first, because the seeds may no longer be running.
    auto addresses = account.entries;
    addresses.insert(addresses.end(), m_seeds.begin(), m_seeds.end());
    addresses.resize(std::min(addresses.size(), maxAddressesTried));
    for (const auto& address : addresses) {
        if (fetch(account, address, accountKey))
            return;
    }
    account.refreshAt = m_clock.now() + retryDelay;
}

bool DirectoryClient::fetch(CachedDirectory& account, const std::string& address, const std::string& accountKey)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_requestCount;
    }
    httplib::Client client(std::string(scheme) + address);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    const auto result = client.Get("/v1/entries?count=3", { { "Authorization", "Bearer " + accountKey } });
    if (!result || result->status != 200)
        return false;
    const auto body = nlohmann::json::parse(result->body, nullptr, false);
    if (!body.is_object() || !body.contains("entries") || !body["entries"].is_array())
        return false;
    std::vector<std::string> entries;
    for (const auto& entry : body["entries"]) {
        const auto url = entry.value("address", "");
        entries.push_back(url.starts_with(scheme) ? url.substr(scheme.size()) : url);
    }
    if (entries.empty())
        return false;
    account.entries = std::move(entries);
    account.tickets.clear();
    for (const auto& ticket : body.value("tickets", nlohmann::json::array()))
        account.tickets.push_back(ticket.get<std::string>());
    account.refreshAt = m_clock.now() + std::chrono::seconds(body.value("lifetime_s", 30));
    return true;
}

uint64_t DirectoryClient::requestCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_requestCount;
}

}
