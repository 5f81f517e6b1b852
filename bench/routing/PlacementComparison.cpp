#include <algorithm>
#include <borageslip_routing/borageslip_routing.h>
#include <cstdio>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

using namespace borageslip;
using namespace std::chrono_literals;

/** Compares placement policies on the same seeded sequence of chat requests and prints cache reuse, load skew and moved
    chats while an engine leaves, joins or flaps. Each engine has an LRU prefix cache. */

namespace {

constexpr uint64_t seed = 20260;
constexpr int requestCount = 60000;
constexpr uint64_t chatCount = 2000;
constexpr size_t cachedChatsPerEngine = 400;
constexpr int requestsInFlight = 60; ///< A request ends after this many later arrivals.

struct Result {
    double reuse = 0;
    double peakSkew = 0;
    double p99Skew = 0;
    int moved = 0;
};

enum class Scenario {
    Steady,
    Leaving,
    Joining,
    Flapping,
};

constexpr std::array scenarioNames { "steady", "one leaves", "one joins", "one flaps" };

bool isAvailable(Scenario scenario, size_t engine, int request)
{
    if (engine != 0)
        return true;
    switch (scenario) {
    case Scenario::Steady:
        return true;
    case Scenario::Leaving:
        return request < requestCount / 2;
    case Scenario::Joining:
        return request >= requestCount / 2;
    case Scenario::Flapping:
        return (request / 2000) % 2 == 0;
    }
    return true;
}

/** Steps that a home applies to the ranking of the placement policy. */
enum class Refinement {
    None,
    Bound, ///< The load bound I1 and the table of displaced chats.
    BoundAndPrefixes, ///< In addition, the prefix index.
};

Result run(PlacementPolicy& policy, Refinement refinement, size_t engineCount, Scenario scenario)
{
    std::vector<EngineView> engines;
    std::vector<LruTable<char>> caches;
    for (size_t i = 0; i < engineCount; ++i) {
        EngineView engine;
        engine.id = EngineId("engine-" + std::to_string(i));
        engine.hash = engineHash(engine.id);
        engines.push_back(std::move(engine));
        caches.emplace_back(cachedChatsPerEngine);
    }
    std::mt19937_64 generator(seed);
    std::unordered_map<uint64_t, size_t> lastEngine;
    DisplacedChatTable displaced(chatCount * DisplacedChatTable::bytesPerChat(), 1h);
    PrefixIndex prefixes(chatCount * PrefixIndex::bytesPerPrefix());
    std::vector<uint64_t> sequences(engineCount);
    RendezvousPlacement rendezvous;
    std::deque<size_t> inFlight;
    std::vector<double> skews;
    const LoadBound bound;
    Result result;
    int returns = 0;
    int hits = 0;
    for (int request = 0; request < requestCount; ++request) {
        // Load reports are stale: they are refreshed only every 20 requests.
        for (size_t i = 0; i < engineCount; ++i) {
            if (request % 20 == 0)
                engines[i].reportedLoad = engines[i].running;
            const bool wasAvailable = engines[i].isAvailable;
            engines[i].isAvailable = isAvailable(scenario, i, request);
            if (wasAvailable && !engines[i].isAvailable && scenario == Scenario::Leaving)
                displaced.removeEngine(engines[i].hash);
        }
        // Squaring skews the distribution, so that a few chats return far more often than the others.
        const double uniform = std::uniform_real_distribution<double>(0, 1)(generator);
        const ChatKey chat { hashPair(static_cast<uint64_t>(uniform * uniform * chatCount), 3) };
        const auto ranked = policy.rank(chat, engines);
        size_t chosen = ranked.at(0);
        if (refinement != Refinement::None) {
            const auto available = static_cast<double>(ranked.size());
            const int limit = bound.limit((static_cast<double>(inFlight.size()) + 1) / available);
            std::vector<EngineHash> preferred;
            if (const auto previous = displaced.find(chat, TimePoint {}))
                preferred.push_back(*previous);
            if (refinement == Refinement::BoundAndPrefixes) {
                for (const auto& location : prefixes.find(chat.hash))
                    preferred.push_back(location.engine);
            }
            chosen = rendezvous.choose(chat, engines, RendezvousRanking(engines), limit, preferred).value_or(ranked.at(0));
            displaced.recordServed(chat, engines[chosen].hash, engines[ranked.at(0)].hash, TimePoint {});
        }
        const auto [last, isNew] = lastEngine.try_emplace(chat.hash, chosen);
        if (!isNew) {
            ++returns;
            result.moved += last->second != chosen ? 1 : 0;
            hits += caches[chosen].find(chat.hash) ? 1 : 0;
            last->second = chosen;
        }
        if (!caches[chosen].find(chat.hash)) {
            if (const auto evicted = caches[chosen].nextEvicted())
                prefixes.apply(engines[chosen].hash, { ++sequences[chosen], CacheEvent::Kind::Evicted, *evicted });
            caches[chosen].findOrInsert(chat.hash);
            prefixes.apply(engines[chosen].hash, { ++sequences[chosen], CacheEvent::Kind::Stored, chat.hash });
        }
        ++engines[chosen].running;
        inFlight.push_back(chosen);
        if (inFlight.size() > requestsInFlight) {
            --engines[inFlight.front()].running;
            inFlight.pop_front();
        }
        if (request > requestsInFlight) {
            int peak = 0;
            for (const auto& engine : engines)
                peak = std::max(peak, engine.running);
            skews.push_back(peak * static_cast<double>(ranked.size()) / requestsInFlight);
        }
    }
    result.reuse = static_cast<double>(hits) / returns;
    std::sort(skews.begin(), skews.end());
    result.peakSkew = skews.back();
    result.p99Skew = skews[skews.size() * 99 / 100];
    return result;
}

}

int main()
{
    std::printf("seed %llu, %d requests, %llu chats, %zu cached chats per engine, %d requests in flight\n", static_cast<unsigned long long>(seed), requestCount, static_cast<unsigned long long>(chatCount), cachedChatsPerEngine, requestsInFlight);
    std::printf("reuse: returning requests that found their prefix; skew: highest load over the mean; moved: requests served elsewhere than the chat's last\n");
    for (const size_t engineCount : { size_t { 10 }, size_t { 12 } }) {
        for (const auto scenario : { Scenario::Steady, Scenario::Leaving, Scenario::Joining, Scenario::Flapping }) {
            std::printf("\n%zu engines, %s\n%-26s %8s %10s %10s %8s\n", engineCount, scenarioNames.at(static_cast<size_t>(scenario)), "policy", "reuse", "skew p99", "skew max", "moved");
            const auto print = [&](const char* name, PlacementPolicy& policy, Refinement refinement) {
                const auto result = run(policy, refinement, engineCount, scenario);
                std::printf("%-26s %7.1f%% %10.2f %10.2f %8d\n", name, 100 * result.reuse, result.p99Skew, result.peakSkew, result.moved);
            };
            RendezvousPlacement rendezvous;
            ConsistentHashPlacement consistent;
            LeastReportedLoadPlacement leastLoad;
            RoundRobinPlacement roundRobin;
            RandomPlacement random(seed);
            print("rendezvous, bound, index", rendezvous, Refinement::BoundAndPrefixes);
            print("rendezvous, bound", rendezvous, Refinement::Bound);
            print("rendezvous alone", rendezvous, Refinement::None);
            print("consistent hash", consistent, Refinement::None);
            print("least reported load", leastLoad, Refinement::None);
            print("round robin", roundRobin, Refinement::None);
            print("random", random, Refinement::None);
        }
    }
}
