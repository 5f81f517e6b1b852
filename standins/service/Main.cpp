#include "ServiceServer.h"
#include "common/StandinProgram.h"

using namespace borageslip;
using namespace borageslip::standin;

namespace {

constexpr auto footer = R"(POST /control accepts any of: slow_ms, silent_after_execution, refuse, drop_before_execution,
drop_after_execution, fault_percent (percentage of calls that the faults affect, default 100).
GET /records returns every execution; DELETE /records discards them.)";

}

int main(int argc, char** argv)
{
    blockStopSignals();
    CLI::App app("Stand-in for a plain service", "standin-service");
    app.footer(footer);
    ProgramOptions program;
    addProgramOptions(app, program);
    std::string name = "service";
    uint64_t seed = 1;
    app.add_option("--name", name, "Name of the service and instance shown in the records");
    app.add_option("--seed", seed, "Seed for the selection of calls that the faults affect");
    CLI11_PARSE(app, argc, argv);
    HttpListener listener(listenerLimits(program));
    ServiceServer server(name, seed, listener.server());
    return serveUntilStopped(listener, program);
}
