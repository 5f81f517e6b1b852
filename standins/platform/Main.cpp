#include "PlatformServer.h"
#include "common/StandinProgram.h"

using namespace borageslip;
using namespace borageslip::standin;

namespace {

constexpr auto footer = R"(PUT /register accepts {"service", "instances":[{"id","address","port","meta","status"}]}, or "put" with one instance, or
"remove" with an id. POST /control accepts any of: outage ("none", "error", "drop", "silent"), slow_ms, lose_answers
(probability that the connection is closed after a write was applied), seed, freeze_health.
GET /records returns the calls by kind and by second; DELETE /records clears them.)";

}

int main(int argc, char** argv)
{
    blockStopSignals();
    CLI::App app("Stand-in for the platform's key-value service, instance lists and weight store", "standin-platform");
    app.footer(footer);
    ProgramOptions program;
    addProgramOptions(app, program);
    PlatformServer::Settings settings;
    int64_t healthLag = 0;
    app.add_option("--writes-per-second", settings.writesPerSecond, "Rate limit of writes; further writes get status 429")->check(CLI::Range(0.1, 1e6));
    app.add_option("--reads-per-second", settings.readsPerSecond, "Rate limit of reads; further reads get status 429")->check(CLI::Range(0.1, 1e6));
    app.add_option("--weights-per-second", settings.weightsPerSecond, "Rate limit of weight downloads; further downloads get status 429")->check(CLI::Range(0.1, 1e6));
    app.add_option("--weight-bytes", settings.weightBytes, "Size of the weights of a model, in bytes")->check(CLI::Range(0, 1 << 28));
    app.add_option("--health-lag-ms", healthLag, "Delay of the instance lists, in milliseconds")->check(CLI::Range(0, 600'000));
    CLI11_PARSE(app, argc, argv);
    settings.healthLag = std::chrono::milliseconds(healthLag);
    HttpListener listener(listenerLimits(program));
    PlatformServer server(settings, listener.server());
    return serveUntilStopped(listener, program);
}
