#include "EngineServer.h"
#include "common/StandinProgram.h"

using namespace borageslip;
using namespace borageslip::standin;

namespace {

constexpr auto footer = R"(POST /control accepts any of: slow_factor, silent, refuse, drop_connections, leaving, accept_while_leaving,
flap_period_ms, silence_open_streams (open streams stay silent, new ones work), clear_cache.
GET /records returns every run; DELETE /records discards those that have ended.)";

}

int main(int argc, char** argv)
{
    blockStopSignals();
    CLI::App app("Stand-in for a model engine", "standin-engine");
    app.footer(footer);
    ProgramOptions program;
    addProgramOptions(app, program);
    EngineSimulation::Settings settings;
    settings.models = { "draft" };
    double tokenMilliseconds = 43;
    int64_t prefillMicroseconds = settings.prefillPerToken.count();
    int64_t reportLag = 0;
    int64_t orderTime = 0;
    int64_t eventLag = 0;
    app.add_option("--engine", settings.engine, "Engine id");
    app.add_option("--region", settings.region, "Region shown in the records");
    app.add_option("--model", settings.models, "Models loaded at startup");
    app.add_option("--slots", settings.slots, "Maximum number of concurrently running streams")->check(CLI::Range(1, 4096));
    app.add_option("--queue", settings.queueLimit, "Maximum number of waiting requests");
    app.add_option("--token-ms", tokenMilliseconds, "Time between tokens, in milliseconds")->check(CLI::Range(0.1, 60'000.0));
    app.add_option("--batch-slowdown", settings.batchSlowdown, "Relative increase of the time between tokens when all slots are in use")->check(CLI::Range(0.0, 100.0));
    app.add_option("--prefill-us-per-token", prefillMicroseconds, "Prefill time of a prompt token that is not cached, in microseconds")->check(CLI::Range(0, 1'000'000));
    app.add_option("--cache-tokens", settings.cache.capacityTokens, "Capacity of the prefix cache, in tokens");
    app.add_option("--report-lag-ms", reportLag, "Delay of load reports, in milliseconds")->check(CLI::Range(0, 60'000));
    app.add_option("--event-lag-ms", eventLag, "Delay of cache events, in milliseconds")->check(CLI::Range(0, 600'000));
    app.add_option("--event-gap-percent", settings.cache.eventGapPercent, "Percentage of cache events that are lost")->check(CLI::Range(0, 100));
    app.add_option("--order-ms", orderTime, "Duration of an order, in milliseconds")->check(CLI::Range(0, 600'000));
    app.add_flag("--check-fencing", settings.checksFencing, "Reject orders whose fencing number is lower than one already received");
    app.add_option("--seed", settings.cache.seed, "Seed for the selection of lost events");
    CLI11_PARSE(app, argc, argv);
    settings.tokenTime = std::chrono::microseconds(static_cast<int64_t>(tokenMilliseconds * 1000));
    settings.prefillPerToken = std::chrono::microseconds(prefillMicroseconds);
    settings.reportLag = std::chrono::milliseconds(reportLag);
    settings.orderTime = std::chrono::milliseconds(orderTime);
    settings.cache.eventLag = std::chrono::milliseconds(eventLag);
    EngineSimulation simulation(std::move(settings));
    HttpListener listener(listenerLimits(program));
    const EngineServer server(simulation, listener.server());
    return serveUntilStopped(listener, program);
}
