#include "ServerMemory.h"

#include <algorithm>

namespace borageslip {

namespace {

    /** Sums usage of one server; each prefix counts once. */
    class UsageSum {
    public:
        void add(const MemoryUsage& usage)
        {
            m_ownTokens += usage.ownTokens;
            for (const auto& prefix : usage.prefixes)
                addPrefix(prefix);
        }

        void add(const RequestMemory& request)
        {
            m_ownTokens += request.ownTokens;
            if (request.prefix.hash != 0)
                addPrefix(request.prefix);
        }

        uint64_t tokens() const { return m_ownTokens + m_prefixTokens; }

    private:
        void addPrefix(const HeldPrefix& prefix)
        {
            auto& known = m_prefixes[prefix.hash];
            if (prefix.tokens <= known)
                return;
            m_prefixTokens += prefix.tokens - known;
            known = prefix.tokens;
        }

        uint64_t m_ownTokens = 0;
        uint64_t m_prefixTokens = 0;
        std::unordered_map<uint64_t, uint64_t> m_prefixes; ///< Tokens by hash.
    };

}

ServerMemory::Instance* ServerMemory::acceptMessage(const std::string& name, MessageOrder order, TimePoint now)
{
    auto& instance = m_instances[name];
    if (!(instance.order < order))
        return nullptr;
    // The connections of an earlier process have ended with it.
    if (order.incarnation != instance.order.incarnation) {
        instance.usages.clear();
        instance.reportedAt = {};
    }
    instance.order = order;
    instance.receivedAt = now;
    return &instance;
}

void ServerMemory::setUsage(Instance& instance, const MemoryUsage& usage)
{
    if (usage.ownTokens == 0 && usage.prefixes.empty())
        instance.usages.erase(usage.server);
    else
        instance.usages.insert_or_assign(usage.server, usage);
}

void ServerMemory::applyUsage(const std::string& name, MessageOrder order, const MemoryUsage& usage, TimePoint now)
{
    if (auto* instance = acceptMessage(name, order, now))
        setUsage(*instance, usage);
}

void ServerMemory::applyReport(const std::string& name, MessageOrder order, std::span<const MemoryUsage> usages, TimePoint now)
{
    eraseLost(now);
    auto* instance = acceptMessage(name, order, now);
    if (instance == nullptr)
        return;
    instance->reportedAt = now;
    instance->usages.clear();
    for (const auto& usage : usages)
        instance->usages.insert_or_assign(usage.server, usage);
}

void ServerMemory::applyDenial(const std::string& name, MessageOrder order, const MemoryUsage& usage)
{
    const auto found = m_instances.find(name);
    if (found != m_instances.end() && found->second.order == order)
        setUsage(found->second, usage);
}

void ServerMemory::remove(std::string_view name)
{
    if (const auto found = m_instances.find(name); found != m_instances.end())
        m_instances.erase(found);
}

void ServerMemory::eraseLost(TimePoint now)
{
    std::erase_if(m_instances, [&](const auto& entry) { return now - entry.second.receivedAt > lostUsageLifetime; });
}

uint64_t ServerMemory::heldTokens(const MemoryUsage& own, TimePoint now) const
{
    UsageSum sum;
    sum.add(own);
    for (const auto& [name, instance] : m_instances) {
        const auto found = instance.usages.find(own.server);
        if (found != instance.usages.end() && now - instance.receivedAt <= lostUsageLifetime)
            sum.add(found->second);
    }
    return sum.tokens();
}

bool ServerMemory::isSettled(const Decisions& decisions, const Context& context) const
{
    const auto hasReported = [&](const auto& entry) { return !isHeard(entry.second, context) || entry.second.reportedAt > decisions.coordinatesSince; };
    return context.isPrincipal && std::all_of(m_instances.begin(), m_instances.end(), hasReported);
}

uint64_t ServerMemory::grantableTokens(const Context& context) const
{
    const auto heard = 1 + static_cast<uint64_t>(std::count_if(m_instances.begin(), m_instances.end(), [&](const auto& entry) { return isHeard(entry.second, context); }));
    const auto listed = std::max<uint64_t>(1, context.listedInstances);
    return maxRequestTokens(context.capacity) * std::min(heard, listed) / listed;
}

uint64_t ServerMemory::unsettledTokens(Decisions& decisions, const RequestMemory& request, const Context& context)
{
    auto& grants = decisions.unsettledGrants;
    while (!grants.empty() && context.now - grants.front().at > context.reportLifetime)
        grants.pop_front();
    UsageSum sum;
    sum.add(request);
    for (const auto& grant : grants)
        sum.add(grant.request);
    return sum.tokens();
}

MemoryDecision ServerMemory::decide(const MemoryUsage& own, const RequestMemory& request, const Context& context)
{
    auto& decisions = m_decisions[own.server];
    // Another instance may have coordinated the server while nobody asked this one.
    const bool wasAsked = decisions.latest != TimePoint() && context.now - decisions.latest <= context.reportLifetime;
    if (!context.isPrincipal || !wasAsked)
        decisions.coordinatesSince = context.now;
    decisions.latest = context.now;
    if (heldTokens(own, context.now) > grantableTokens(context))
        return MemoryDecision::Full;
    if (!isSettled(decisions, context) && unsettledTokens(decisions, request, context) > context.capacity * unsettledSixteenths / 16)
        return MemoryDecision::Unsettled;
    return MemoryDecision::Fits;
}

void ServerMemory::recordGrant(uint64_t server, const RequestMemory& request, const Context& context)
{
    auto& decisions = m_decisions[server];
    if (!isSettled(decisions, context))
        decisions.unsettledGrants.push_back({ context.now, request });
}

}
