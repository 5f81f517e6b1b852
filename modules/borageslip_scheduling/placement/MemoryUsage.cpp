#include "MemoryUsage.h"

#include <algorithm>

namespace borageslip {

MemoryUsage usageWith(MemoryUsage usage, const RequestMemory& request)
{
    usage.ownTokens += request.ownTokens;
    if (request.prefix.hash == 0)
        return usage;
    const auto found = std::find_if(usage.prefixes.begin(), usage.prefixes.end(), [&](const auto& prefix) { return prefix.hash == request.prefix.hash; });
    if (found == usage.prefixes.end())
        usage.prefixes.push_back(request.prefix);
    else
        found->tokens = std::max(found->tokens, request.prefix.tokens);
    return usage;
}

void RequestMemoryCounter::add(const RequestMemory& request)
{
    m_ownTokens += request.ownTokens;
    if (request.prefix.hash == 0)
        return;
    auto& prefix = m_prefixes[request.prefix.hash];
    prefix.tokens = std::max(prefix.tokens, request.prefix.tokens);
    ++prefix.requests;
}

void RequestMemoryCounter::remove(const RequestMemory& request)
{
    m_ownTokens -= std::min(m_ownTokens, request.ownTokens);
    const auto found = m_prefixes.find(request.prefix.hash);
    if (found != m_prefixes.end() && --found->second.requests == 0)
        m_prefixes.erase(found);
}

MemoryUsage RequestMemoryCounter::usage(uint64_t server) const
{
    MemoryUsage usage { server, m_ownTokens };
    usage.prefixes.reserve(m_prefixes.size());
    for (const auto& [hash, prefix] : m_prefixes)
        usage.prefixes.push_back({ hash, prefix.tokens });
    return usage;
}

MemoryUsage RequestMemoryCounter::usageWithout(uint64_t server, const RequestMemory& request) const
{
    auto others = *this;
    others.remove(request);
    return others.usage(server);
}

}
