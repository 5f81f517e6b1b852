#pragma once

#include <borageslip_core/identity/Identifier.h>
#include <borageslip_core/time/Clock.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace borageslip {

/** A request in a FairQueue. */
struct QueuedRequest {
    RequestId id {};
    AccountId account {};
    double cost = 1; ///< Share of the engine that the request uses, relative to other requests; positive.
    TimePoint queuedAt {};
    TimePoint deadline {};
};

/** Bounded queue with deficit round robin between accounts: over time, all accounts with queued requests are served
    equal cost. Within an account, requests are ordered by deadline and then by arrival. When the queue is full, a new
    request displaces the last request of the account with the longest backlog. */
class FairQueue {
public:
    FairQueue(size_t maxRequests, size_t maxPerAccount, double quantum = 1)
        : m_maxRequests(maxRequests)
        , m_maxPerAccount(maxPerAccount)
        , m_quantum(quantum)
    {
    }

    struct PushResult {
        bool isQueued = false;
        std::optional<QueuedRequest> displaced {}; ///< A request of another account that was removed to make room.
    };

    PushResult push(QueuedRequest);

    /** Returns the next request in fair order, or null if the queue is empty. It stays the next one until it is removed
        or a request of its account with an earlier deadline is pushed. */
    const QueuedRequest* front();

    /** Removes and returns the next request in fair order. */
    std::optional<QueuedRequest> pop();

    /** Removes and returns the last request of the account with the longest backlog, provided that this backlog then is
        at least as long as the given account's backlog with one more request. */
    std::optional<QueuedRequest> makeRoomFor(const AccountId&);

    bool remove(const RequestId&);

    /** Called once for each request, in order within its account.
        @param ahead number of requests of the same account that are ahead of it and stay in the queue. */
    using Predicate = std::function<bool(const QueuedRequest&, size_t ahead)>;

    /** Removes and returns the requests for which the predicate holds. */
    std::vector<QueuedRequest> removeIf(const Predicate&);

    size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    size_t sizeOf(const AccountId&) const;
    size_t activeAccounts() const { return m_rotation.size(); }

private:
    struct Flow {
        AccountId account;
        std::deque<QueuedRequest> requests;
        double deficit = 0;
        bool isVisited = false; ///< Whether the flow has received its quantum for the current visit.
    };
    using Rotation = std::list<Flow>;

    void eraseFlow(Rotation::iterator);

    size_t m_maxRequests;
    size_t m_maxPerAccount;
    double m_quantum;
    size_t m_size = 0;
    Rotation m_rotation;
    std::unordered_map<AccountId, Rotation::iterator> m_flows;
};

}
