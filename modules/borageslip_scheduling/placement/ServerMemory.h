#pragma once

#include "MemoryUsage.h"

#include <borageslip_core/time/Clock.h>

#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace borageslip {

/** Position of a message in the series of its sender. */
struct MessageOrder {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;

    bool operator==(const MessageOrder&) const = default;
    bool operator<(const MessageOrder& other) const { return std::tie(incarnation, sequence) < std::tie(other.incarnation, other.sequence); }
};

enum class MemoryDecision {
    Fits,
    Full, ///< The requests at the server leave no room.
    Unsettled, ///< This instance does not know yet, or not alone, what has been granted, and has used up what it may grant meanwhile.
};
constexpr size_t memoryDecisionCount = 3;

/** Decides whether a server has memory for one more request, from what the requests of all instances can hold there.

    A server crashes when its requests exceed its memory. What a request can hold is known beforehand (its prompt and its
    maximum of output tokens), so no estimate of its output is used. A prompt prefix counts once for a server while a
    request uses it; a server evicts cached prefixes that no request uses.

    The decision is made by the instance that grants the reservations of the server. Another instance may do so at the
    same time, or may have done so just before, and its latest grants are not known here. Therefore most of the memory is
    granted only by the principal coordinator, once it has heard a report of every instance since it began. Any other
    grants, and grants before that, are limited to a small share of the memory within the time in which they become known.
    The memory that is granted also shrinks with the share of the listed instances that are heard, so that parts of a
    fleet that don't hear each other share it.

    Does no I/O: time is passed in. Not thread-safe. */
class ServerMemory {
public:
    /** Share of a server's memory that the principal coordinator grants; the rest is for the grants of up to two other
        instances that are not known to it yet. */
    static constexpr uint64_t principalSixteenths = 14;
    static constexpr uint64_t unsettledSixteenths = 1; ///< That each other instance may grant.
    static constexpr Duration lostUsageLifetime = std::chrono::seconds(15); ///< For which the usage of a silent instance counts while the store lists it. The longest request of the deployments takes as long.

    /** What the decision depends on besides the usage. */
    struct Context {
        uint64_t capacity = 0; ///< Of the server, in tokens.
        bool isPrincipal = false; ///< Whether this instance is first in the order of coordinators among the instances that it hears.
        size_t listedInstances = 1; ///< That the store lists, with this one.
        Duration reportLifetime {}; ///< Time in which a message of a live instance arrives.
        TimePoint now {};
    };

    /** The most that a request may hold: a larger one is never granted. @param capacity of the servers. */
    static uint64_t maxRequestTokens(uint64_t capacity) { return capacity * principalSixteenths / 16; }

    /** Sets the usage of one server by another instance, unless a message of it that is as new or newer was received. */
    void applyUsage(const std::string& instance, MessageOrder, const MemoryUsage&, TimePoint now);

    /** Sets all usage by another instance. */
    void applyReport(const std::string& instance, MessageOrder, std::span<const MemoryUsage>, TimePoint now);

    /** Sets the usage of one server by an instance whose request there was denied, unless a newer message of it was
        received. @param order of the message with the request. @param usage without the request. */
    void applyDenial(const std::string& instance, MessageOrder order, const MemoryUsage& usage);

    /** Removes an instance that the store no longer lists. */
    void remove(std::string_view instance);

    /** What all requests can hold in the memory of a server. @param own usage of the server by this instance. */
    uint64_t heldTokens(const MemoryUsage& own, TimePoint now) const;

    /** Decides on a request that its instance has counted already. @param own usage of the server by this instance. */
    MemoryDecision decide(const MemoryUsage& own, const RequestMemory&, const Context&);

    /** Records that a request for which decide() has just returned Fits is granted. */
    void recordGrant(uint64_t server, const RequestMemory&, const Context&);

    /** Instances whose usage counts or that are heard, without this one. */
    size_t instanceCount() const { return m_instances.size(); }

private:
    struct Instance {
        MessageOrder order {};
        TimePoint receivedAt {};
        TimePoint reportedAt {}; ///< When its latest report arrived, which states its usage of all servers.
        std::unordered_map<uint64_t, MemoryUsage> usages {}; ///< By server.
    };

    struct Grant {
        TimePoint at {};
        RequestMemory request {};
    };

    /** This instance's decisions on one server. */
    struct Decisions {
        TimePoint coordinatesSince {};
        TimePoint latest {};
        std::deque<Grant> unsettledGrants {};
    };

    static void setUsage(Instance&, const MemoryUsage&);
    Instance* acceptMessage(const std::string& instance, MessageOrder, TimePoint now);
    void eraseLost(TimePoint now);
    bool isHeard(const Instance& instance, const Context& context) const { return instance.reportedAt != TimePoint() && context.now - instance.receivedAt <= context.reportLifetime; }
    bool isSettled(const Decisions&, const Context&) const;
    uint64_t grantableTokens(const Context&) const;
    static uint64_t unsettledTokens(Decisions&, const RequestMemory&, const Context&);

    std::map<std::string, Instance, std::less<>> m_instances;
    std::unordered_map<uint64_t, Decisions> m_decisions; ///< By server.
};

}
