#pragma once

#include <algorithm>
#include <borageslip_core/time/ManualClock.h>
#include <borageslip_membership/borageslip_membership.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace borageslip::testing {

using namespace std::chrono_literals;

/** Simulates a network of member tables in virtual time, with seeded datagram loss, duplicates and delays, and with
    process pauses and partitions. */
class MembershipSimulator {
public:
    struct Node : MemberTable::Listener {
        Member profile;
        std::unique_ptr<ControlBudget> budget;
        std::unique_ptr<MemberTable> table;
        bool isRunning = true;
        TimePoint pausedUntil {};
        TimePoint nextTick {};
        uint64_t bytesSent = 0;
        uint64_t bytesReceived = 0;
        std::map<MemberId, TimePoint> suspected, removed, leaving;
        const ManualClock* clock = nullptr;
        void memberSuspected(const Member& member) override { suspected.emplace(member.id, clock->now()); }
        void memberRemoved(const Member& member) override { removed.emplace(member.id, clock->now()); }
        void memberLeaving(const Member& member) override { leaving.emplace(member.id, clock->now()); }
    };

    explicit MembershipSimulator(uint64_t seed)
        : m_random(seed)
    {
    }

    double lossRate = 0;
    double duplicateRate = 0;
    std::chrono::milliseconds maxDelay { 2 };
    std::function<bool(const Node&, const Node&)> isPartitioned = [](auto&, auto&) { return false; };
    ManualClock clock;
    std::vector<std::unique_ptr<Node>> nodes;

    void addNodes(size_t count, size_t regions)
    {
        for (size_t i = 0; i < count; ++i) {
            auto node = std::make_unique<Node>();
            node->clock = &clock;
            node->profile = makeProfile(nodes.size(), nodes.size() % regions);
            nodes.push_back(std::move(node));
            start(*nodes.back(), 1000);
        }
    }

    /** Gives every table the profiles of all nodes, as a synchronisation would, so that large fleets need no long start-up. */
    void synchroniseAll()
    {
        for (auto& node : nodes) {
            for (size_t first = 0; first < nodes.size(); first += 8) {
                SwimMessage message;
                message.kind = SwimKind::SyncResponse;
                message.sender = MemberId("introducer");
                for (size_t i = first; i < std::min(first + 8, nodes.size()); ++i)
                    message.updates.push_back({ nodes[i]->table->self(), true, {} });
                node->table->receive(SwimCodec("key").encode(message), "introducer", clock.now());
            }
        }
    }

    static Member makeProfile(size_t number, size_t region)
    {
        const auto address = [&](int port) { return "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":" + std::to_string(port); };
        return { MemberId("router-" + std::to_string(number)), 0, 0, Region("region-" + std::to_string(region)),
            FailureDomain("domain-" + std::to_string(region) + "-" + std::to_string(number / 4 % 3)), address(8000), address(8001), address(8002), address(8003) };
    }

    void start(Node& node, uint64_t incarnation)
    {
        node.profile.startIncarnation = incarnation;
        node.budget = std::make_unique<ControlBudget>(ControlBudget::Settings {}, clock.now());
        node.table = std::make_unique<MemberTable>(node.profile, MemberTable::Settings {}, SwimCodec("key"), *node.budget, m_random(), clock.now());
        node.table->setListener(&node);
        std::vector<std::string> seeds;
        for (size_t i = 0; i < std::min<size_t>(3, nodes.size()); ++i)
            seeds.push_back(nodes[i]->profile.gossipAddress);
        node.table->setSeeds(seeds);
        node.isRunning = true;
        node.nextTick = clock.now() + std::chrono::milliseconds(m_random() % 100);
        m_byAddress[node.profile.gossipAddress] = &node;
    }

    void send(Node& from, const std::vector<OutgoingDatagram>& datagrams)
    {
        for (const auto& datagram : datagrams) {
            from.bytesSent += datagram.bytes.size();
            const auto found = m_byAddress.find(datagram.to);
            if (found == m_byAddress.end() || isPartitioned(from, *found->second))
                continue;
            const int copies = happens(duplicateRate) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                if (happens(lossRate))
                    continue;
                const auto delay = std::chrono::milliseconds(1 + m_random() % static_cast<uint64_t>(maxDelay.count()));
                m_inFlight.push({ clock.now() + delay, m_nextOrder++, &from, found->second, datagram.bytes });
            }
        }
    }

    void run(Duration duration)
    {
        const auto end = clock.now() + duration;
        for (; clock.now() < end; clock.advance(5ms)) {
            while (!m_inFlight.empty() && m_inFlight.top().arrival <= clock.now()) {
                auto inFlight = m_inFlight.top();
                m_inFlight.pop();
                if (!inFlight.to->isRunning)
                    continue;
                if (inFlight.to->pausedUntil > clock.now()) {
                    inFlight.arrival = inFlight.to->pausedUntil;
                    m_inFlight.push(std::move(inFlight));
                    continue;
                }
                inFlight.to->bytesReceived += inFlight.bytes.size();
                send(*inFlight.to, inFlight.to->table->receive(inFlight.bytes, inFlight.from->profile.gossipAddress, clock.now()));
            }
            for (auto& node : nodes) {
                if (!node->isRunning || node->pausedUntil > clock.now() || node->nextTick > clock.now())
                    continue;
                node->nextTick = clock.now() + 100ms;
                send(*node, node->table->tick(clock.now()));
            }
        }
    }

    /** Returns true if every running node that the filter accepts lists exactly `count` members. */
    bool allList(
        size_t count, const std::function<bool(const Node&)>& accepts = [](auto&) { return true; }) const
    {
        return std::ranges::all_of(nodes, [&](const auto& node) { return !node->isRunning || !accepts(*node) || node->table->size() == count; });
    }

    size_t removals() const
    {
        size_t count = 0;
        for (const auto& node : nodes)
            count += node->removed.size();
        return count;
    }

private:
    struct InFlightDatagram {
        TimePoint arrival;
        uint64_t order;
        Node* from;
        Node* to;
        std::vector<uint8_t> bytes;
        bool operator<(const InFlightDatagram& other) const { return std::tie(other.arrival, other.order) < std::tie(arrival, order); }
    };

    bool happens(double probability) { return probability > 0 && std::uniform_real_distribution<>()(m_random) < probability; }

    std::mt19937_64 m_random;
    uint64_t m_nextOrder = 0;
    std::priority_queue<InFlightDatagram> m_inFlight;
    std::map<std::string, Node*> m_byAddress;
};

}
