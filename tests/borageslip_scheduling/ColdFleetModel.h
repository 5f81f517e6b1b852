#pragma once

#include <borageslip_scheduling/borageslip_scheduling.h>

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace borageslip::test {

using namespace std::chrono_literals;

/** Runs functions at their times on a clock of its own. */
class EventQueue {
public:
    TimePoint now() const { return m_now; }

    void at(TimePoint time, std::function<void()> run) { m_events.push({ std::max(time, m_now), ++m_sequence, std::move(run) }); }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
        m_now = end;
    }

private:
    struct Event {
        TimePoint time;
        uint64_t sequence;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::pair(time, sequence) > std::pair(other.time, other.sequence); }
    };

    TimePoint m_now { 1h };
    uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

/** The part of the platform's store that leases and keys of shares need, with restores from a copy. */
class ModelStore {
public:
    struct Key {
        std::string claim;
        uint64_t lease = 0;
        uint64_t revision = 0;
    };
    struct Lease {
        Duration timeToLive {};
        TimePoint until {};
    };

    uint64_t era = 1;
    bool isDown = false;
    std::map<ColdShareId, Key> keys;
    std::map<ColdShareId, uint64_t> markers; ///< Their revisions.

    uint64_t grant(Duration timeToLive, TimePoint now)
    {
        m_state.leases[++m_state.nextLease] = { timeToLive, now + timeToLive };
        return m_state.nextLease;
    }

    bool renew(uint64_t lease, TimePoint now)
    {
        expire(now);
        const auto found = m_state.leases.find(lease);
        if (found == m_state.leases.end())
            return false;
        found->second.until = now + found->second.timeToLive;
        return true;
    }

    void end(uint64_t lease)
    {
        m_state.leases.erase(lease);
        std::erase_if(keys, [lease](const auto& row) { return row.second.lease == lease; });
    }

    enum class Created {
        Yes,
        Exists,
        LeaseLost,
    };

    Created create(const ColdShareId& id, std::string claim, uint64_t lease, uint64_t markerRevision, TimePoint now)
    {
        expire(now);
        const auto marker = markers.find(id);
        if (keys.contains(id) || (marker == markers.end() ? 0 : marker->second) != markerRevision)
            return Created::Exists;
        if (!m_state.leases.contains(lease))
            return Created::LeaseLost;
        keys[id] = { std::move(claim), lease, ++m_state.revision };
        markers[id] = m_state.revision;
        return Created::Yes;
    }

    void remove(const ColdShareId& id, uint64_t revision)
    {
        if (const auto found = keys.find(id); found != keys.end() && found->second.revision == revision)
            keys.erase(found);
    }

    void expire(TimePoint now)
    {
        std::vector<uint64_t> ended;
        for (const auto& [number, lease] : m_state.leases) {
            if (now >= lease.until)
                ended.push_back(number);
        }
        for (const auto number : ended)
            end(number);
    }

    void copy()
    {
        m_copy = m_state;
        m_copiedKeys = keys;
        m_copiedMarkers = markers;
    }

    /** Returns to the copy; its leases begin their time to live anew, and lease numbers are issued again. */
    void restore(TimePoint now)
    {
        m_state = m_copy;
        keys = m_copiedKeys;
        markers = m_copiedMarkers;
        for (auto& [number, lease] : m_state.leases)
            lease.until = now + lease.timeToLive;
        ++era;
    }

private:
    struct State {
        std::map<uint64_t, Lease> leases;
        uint64_t nextLease = 0;
        uint64_t revision = 0;
    };
    State m_state;
    State m_copy;
    std::map<ColdShareId, Key> m_copiedKeys;
    std::map<ColdShareId, uint64_t> m_copiedMarkers;
};

/** What goes wrong during a run. */
struct ModelFaults {
    double lostReplies = 0; ///< Part of the replies of the store, and of datagrams.
    double lateWrites = 0; ///< Part of the calls that the store carries out up to some seconds late.
    bool hasPartitions = false;
    bool hasStorePartitions = false;
    bool hasRestarts = false;
    bool hasFreezes = false;
    bool hasRestores = false;
    bool hasKeyRemovals = false; ///< Keys disappear although their leases go on.
};

struct ModelSettings {
    size_t instances = 62;
    uint64_t seed = 1;
    int servers = 20;
    double requestsPerSecond = 700; ///< Of all instances, for cold servers.
    ModelFaults faults {};
    ColdBound bound { 18, 1.5, 5 };
};

/** Many instances that share the rates of cold servers, with the decisions of the product and modelled calls, datagrams and
    writes. Counts the requests that arrive at each server. */
class ColdFleetModel {
public:
    explicit ColdFleetModel(const ModelSettings&);
    ~ColdFleetModel();
    ColdFleetModel(const ColdFleetModel&) = delete;
    ColdFleetModel& operator=(const ColdFleetModel&) = delete;

    void run(Duration);

    /** Most requests that arrived at one server within any second. */
    int mostWithinSecond() const;

    /** Requests that arrived after a time since the start, as a part of what the servers can serve. */
    double usedRate(Duration after) const;

    /** Shares that were held by two instances at once. */
    size_t doubleHolds() const { return m_doubleHolds; }

private:
    struct Instance;

    void start(size_t index);
    void step(size_t index, uint64_t incarnation);
    void carryOut(size_t index, uint64_t incarnation, const ColdShareKeeper::Step&);
    std::function<void(Instance&)> effectOf(const ColdShareKeeper::Step&, const std::string& claim, TimePoint sentAt);
    void followStore(size_t index, uint64_t incarnation);
    void request(size_t index, uint64_t incarnation);
    void askHolder(size_t index, uint64_t incarnation, const ColdShareId&, const std::vector<uint64_t>& servers);
    void send(size_t index, uint64_t incarnation, ColdPermit);
    void breakSomething();
    void checkHolders();
    std::vector<uint64_t> preferredServers();
    void atInstance(size_t index, uint64_t incarnation, TimePoint, std::function<void(Instance&)>);
    TimePoint localTime(const Instance&) const;
    double chance();
    Duration between(Duration least, Duration most);
    bool isCut(const Instance&, const Instance&) const;

    ModelSettings m_settings;
    ColdShareRate m_rate;
    std::mt19937_64 m_random;
    EventQueue m_queue;
    TimePoint m_startedAt;
    ModelStore m_store;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::map<std::string, size_t> m_instanceByClaim;
    bool m_isPartitioned = false;
    int m_cutGroup = -1; ///< That does not reach the store.
    std::map<uint64_t, std::vector<TimePoint>> m_arrivals;
    size_t m_doubleHolds = 0;
};

}
