#include <borageslip_experiment/borageslip_experiment.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

struct Finished {
    std::vector<uint64_t> order;
    Duration time {};
};

Finished runUntilIdle(EngineModel& engine)
{
    Finished finished;
    while (!engine.isIdle()) {
        Duration duration {};
        for (const auto& output : engine.step(duration)) {
            if (output.isFinished)
                finished.order.push_back(output.id);
        }
        finished.time += duration;
    }
    return finished;
}

EngineModelSettings smallEngine()
{
    EngineModelSettings settings;
    settings.slots = 2;
    settings.cacheTokens = 10'000;
    settings.prefillChunk = 100;
    return settings;
}

}

TEST_CASE("an engine model runs no more requests concurrently than it has slots")
{
    EngineModel engine(smallEngine());
    for (uint64_t id = 1; id <= 3; ++id)
        engine.submit({ id, 0, 0, 10, 5 });
    CHECK(runUntilIdle(engine).order == std::vector<uint64_t> { 1, 2, 3 });
    CHECK(engine.counts().generated == 15);
    CHECK(engine.counts().prefilled == 30);
}

TEST_CASE("a long prefill delays the other request in the batch")
{
    EngineModel alone(smallEngine());
    alone.submit({ 1, 0, 0, 10, 20 });
    const auto quiet = runUntilIdle(alone).time;
    EngineModel shared(smallEngine());
    shared.submit({ 1, 0, 0, 10, 20 });
    shared.submit({ 2, 0, 0, 1000, 1 });
    CHECK(runUntilIdle(shared).time > quiet);
}

TEST_CASE("a shared prompt prefix is prefilled once and then reused from the cache")
{
    EngineModel engine(smallEngine());
    engine.submit({ 1, 7, 500, 10, 2 });
    runUntilIdle(engine);
    engine.submit({ 2, 7, 500, 10, 2 });
    runUntilIdle(engine);
    CHECK(engine.counts().prefilled == 520);
    CHECK(engine.counts().reused == 500);
    CHECK(engine.counts().shareable == 1000);
}

TEST_CASE("when memory is full, the youngest request is preempted, prefilled again and finished exactly once")
{
    auto settings = smallEngine();
    settings.cacheTokens = 120;
    EngineModel engine(settings);
    engine.submit({ 1, 0, 0, 50, 40 });
    engine.submit({ 2, 0, 0, 50, 40 });
    CHECK(runUntilIdle(engine).order == std::vector<uint64_t> { 1, 2 });
    CHECK(engine.counts().preemptions > 0);
    CHECK(engine.counts().recomputed > 0);
}

TEST_CASE("a crash drops the running requests and the prefix cache")
{
    EngineModel engine(smallEngine());
    engine.submit({ 1, 7, 50, 10, 50 });
    Duration duration {};
    engine.step(duration);
    CHECK(engine.crash().size() == 1);
    CHECK(engine.isIdle());
    engine.submit({ 2, 7, 50, 10, 1 });
    runUntilIdle(engine);
    CHECK(engine.counts().reused == 0);
}
