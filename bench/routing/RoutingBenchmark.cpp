#include <algorithm>
#include <benchmark/benchmark.h>
#include <borageslip_routing/borageslip_routing.h>
#include <cstdio>
#include <deque>
#include <malloc.h>
#include <memory>
#include <unordered_map>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr size_t chatCount = 7000;
constexpr size_t accountCount = 1900;

std::vector<EngineView> makeEngines(size_t count, int running)
{
    std::vector<EngineView> engines;
    for (size_t i = 0; i < count; ++i) {
        EngineView engine;
        engine.id = EngineId("engine-" + std::to_string(i));
        engine.hash = engineHash(engine.id);
        engine.slots = 64;
        engine.running = running;
        engines.push_back(std::move(engine));
    }
    return engines;
}

/** Measures single calls, because the latency objective is a p99 and not a mean. Includes the cost of reading the clock. */
class Percentiles {
public:
    template <typename Call>
    void time(Call call)
    {
        const auto started = std::chrono::steady_clock::now();
        call();
        m_samples.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started).count());
    }

    void report(benchmark::State& state)
    {
        std::sort(m_samples.begin(), m_samples.end());
        const auto at = [&](double quantile) { return m_samples.empty() ? 0 : m_samples[static_cast<size_t>(quantile * static_cast<double>(m_samples.size() - 1))]; };
        state.counters["p50_us"] = at(0.5);
        state.counters["p99_us"] = at(0.99);
    }

private:
    std::vector<double> m_samples;
};

/** Load situation in which a chat is placed. */
enum Situation : int64_t {
    Ordinary, ///< A third of the engines is at the load bound, so that the first choice is often full.
    Popular, ///< The chat is hot, and its placement starts two ranks further down.
    Overload, ///< All engines are at the load bound.
};

/** Measures one placement: displaced-chat lookup, hot-chat spread, ranking and choice under the load bound among the
    engines of a model. */
void placeChat(benchmark::State& state)
{
    const auto engineCount = static_cast<size_t>(state.range(0));
    const auto models = static_cast<size_t>(state.range(1));
    const auto situation = static_cast<Situation>(state.range(2));
    std::vector<std::vector<EngineView>> engines;
    std::vector<RendezvousRanking> columns;
    for (size_t model = 0; model < models; ++model) {
        engines.push_back(makeEngines(engineCount / models, 4));
        for (size_t i = 0; i < engines.back().size(); i += situation == Overload ? 1 : 3)
            engines.back()[i].running = 5;
        columns.emplace_back(engines.back());
    }
    DisplacedChatTable displaced(chatCount * DisplacedChatTable::bytesPerChat(), 1h);
    for (uint64_t chat = 0; chat < chatCount; ++chat)
        displaced.recordServed({ hashPair(chat, 1) }, 1, 2, TimePoint { 1h });
    HotChatSpreader spread(chatCount, 4);
    RendezvousPlacement placement;
    const LoadBound bound;
    Percentiles percentiles;
    uint64_t number = 0;
    for (auto _ : state) {
        const ChatKey chat { hashPair(number++ % (2 * chatCount), 1) };
        const auto model = number % models;
        percentiles.time([&] {
            const auto previous = displaced.find(chat, TimePoint { 1h });
            const auto preferred = previous ? std::span(&*previous, 1) : std::span<const EngineHash> {};
            benchmark::DoNotOptimize(placement.choose(chat, engines[model], columns[model], bound.limit(4), preferred, spread.begin(chat) + (situation == Popular ? 2 : 0)));
            spread.end(chat);
        });
    }
    percentiles.report(state);
}

/** Measures one request at a home while others wait: account limit, classification, admission, start and finish. */
void admitRequest(benchmark::State& state)
{
    const auto fleetEngines = static_cast<size_t>(state.range(0));
    // The number of engines per home in a fleet of 330 daemons.
    const size_t homeEngines = std::max<size_t>(1, fleetEngines / 330);
    std::vector<std::unique_ptr<EngineAdmission>> admissions;
    EngineAdmission::Settings settings;
    settings.slots = 64;
    for (size_t i = 0; i < homeEngines; ++i) {
        admissions.push_back(std::make_unique<EngineAdmission>(settings));
        admissions.back()->setMeanLoad(40);
    }
    std::vector<AccountId> accounts;
    std::unordered_map<AccountId, AccountLimiter> limiters;
    for (size_t i = 0; i < accountCount; ++i) {
        accounts.emplace_back("account-" + std::to_string(i));
        limiters.try_emplace(accounts.back(), AccountLimiter::Settings { 1e9 }, TimePoint { 1h });
    }
    WorkClassifier classifier({});
    std::vector<std::deque<RequestId>> running(homeEngines);
    Percentiles percentiles;
    uint64_t number = 0;
    TimePoint now { 1h };
    for (auto _ : state) {
        const auto& account = accounts[hashPair(number, 2) % accountCount];
        const RequestId id("request-" + std::to_string(number++));
        const auto engine = number % homeEngines;
        auto& admission = *admissions[engine];
        now += 1ms;
        percentiles.time([&] {
            benchmark::DoNotOptimize(limiters.at(account).tryAcquire(1, now));
            const WorkFeatures features { account, static_cast<int>(number % 2 * 5), 256, 1000 };
            const auto workClass = classifier.classify(features);
            const auto decision = admission.decide({ id, account, workClass, 1, now + 10s }, now);
            if (std::holds_alternative<Admit>(decision)) {
                admission.start(id, workClass, now);
                running[engine].push_back(id);
            }
            // Twice as many requests arrive as finish, so that the bound is reached and the queues fill up.
            if (!running[engine].empty() && hashPair(number, 5) % 2 == 0) {
                auto release = admission.finish(running[engine].front(), now);
                running[engine].pop_front();
                classifier.recordFinished(features, 1s);
                for (const auto& started : release.started)
                    running[engine].push_back(started.request.id);
            }
        });
    }
    percentiles.report(state);
    size_t queued = 0;
    for (const auto& admission : admissions)
        queued += admission->queued();
    state.counters["queued_per_engine"] = static_cast<double>(queued) / static_cast<double>(homeEngines);
}

template <typename Make>
double bytesPerEntry(size_t count, Make make)
{
    const auto before = mallinfo2().uordblks + mallinfo2().hblkhd;
    const auto held = make(count);
    benchmark::DoNotOptimize(&held);
    return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd - before) / static_cast<double>(count);
}

void printMemory()
{
    std::printf("\nHeap bytes per entry (mallinfo2 around construction and filling)\n%-28s %8s %12s %12s\n", "entry", "count", "bytes/entry", "KB in all");
    const auto print = [](const char* name, size_t count, double bytes) { std::printf("%-28s %8zu %12.1f %12.1f\n", name, count, bytes, bytes * static_cast<double>(count) / 1024); };
    for (const size_t count : { size_t { 500 }, size_t { 7000 } }) {
        print("displaced chat", count, bytesPerEntry(count, [](size_t entries) {
            DisplacedChatTable table(entries * DisplacedChatTable::bytesPerChat(), 1h);
            for (uint64_t i = 0; i < entries; ++i)
                table.recordServed({ hashPair(i, 1) }, 1, 2, TimePoint {});
            return table;
        }));
        print("prefix", count, bytesPerEntry(count, [](size_t entries) {
            PrefixIndex index(entries * PrefixIndex::bytesPerPrefix());
            for (uint64_t i = 0; i < entries; ++i)
                index.apply(1, { i + 1, CacheEvent::Kind::Stored, hashPair(i, 1) });
            return index;
        }));
    }
    for (const size_t count : { size_t { 190 }, size_t { 1900 } }) {
        print("account limiter", count, bytesPerEntry(count, [](size_t entries) {
            std::unordered_map<AccountId, AccountLimiter> limiters;
            for (size_t i = 0; i < entries; ++i)
                limiters.try_emplace(AccountId("account-" + std::to_string(i)), AccountLimiter::Settings {}, TimePoint {});
            return limiters;
        }));
    }
    for (const size_t count : { size_t { 12 }, size_t { 500 }, size_t { 5000 } }) {
        print("engine view", count, bytesPerEntry(count, [](size_t entries) { return makeEngines(entries, 0); }));
        const auto engines = makeEngines(count, 0);
        print("engine columns", count, bytesPerEntry(count, [&](size_t) { return RendezvousRanking(engines); }));
    }
    print("engine admission (of a home)", 15, bytesPerEntry(15, [](size_t entries) {
        std::vector<std::unique_ptr<EngineAdmission>> admissions;
        for (size_t i = 0; i < entries; ++i)
            admissions.push_back(std::make_unique<EngineAdmission>(EngineAdmission::Settings {}));
        return admissions;
    }));
    print("engine health (of a home)", 15, bytesPerEntry(15, [](size_t entries) {
        EngineEjector ejector({});
        for (uint64_t i = 0; i < entries; ++i)
            ejector.addEngine(i);
        return ejector;
    }));
}

}

BENCHMARK(placeChat)->ArgNames({ "engines", "models", "situation" })->ArgsProduct({ { 12, 120, 500, 1500, 5000 }, { 3, 1 }, { Ordinary, Popular, Overload } });
BENCHMARK(admitRequest)->ArgName("engines")->Arg(12)->Arg(500)->Arg(1500)->Arg(5000);

int main(int argc, char** argv)
{
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    printMemory();
}
