#include <CLI/CLI.hpp>
#include <algorithm>
#include <borageslip_core/borageslip_core.h>
#include <borageslip_history/borageslip_history.h>
#include <cmath>
#include <iostream>
#include <map>
#include <set>

using namespace borageslip;

namespace {

constexpr size_t maxPrintedPerInvariant = 20;

bool readRecords(const std::vector<std::string>& files, std::vector<nlohmann::json>& records)
{
    for (const auto& file : files) {
        const auto record = readSettings(file, nlohmann::json::object());
        if (!isOk(record)) {
            std::cerr << error(record).detail << '\n';
            return false;
        }
        records.push_back(value(record));
    }
    return true;
}

bool readHistories(const std::vector<std::string>& files, std::vector<nlohmann::json>& events)
{
    for (const auto& file : files) {
        const auto text = readFile(file);
        if (!isOk(text)) {
            std::cerr << error(text).detail << '\n';
            return false;
        }
        size_t invalidLineCount = 0;
        auto parsed = parseHistory(value(text), invalidLineCount);
        if (invalidLineCount > 0) {
            std::cerr << file << ": " << invalidLineCount << " lines are not JSON objects\n";
            return false;
        }
        events.insert(events.end(), std::make_move_iterator(parsed.begin()), std::make_move_iterator(parsed.end()));
    }
    return true;
}

}

int main(int argc, char** argv)
{
    CLI::App app("Checks recorded histories against the invariants I1 to I7. Exit status 0: no violations; 1: violations; 2: invalid input", "borageslip-check");
    app.set_version_flag("--version", BORAGESLIP_VERSION);
    std::vector<std::string> histories;
    std::vector<std::string> engines;
    std::vector<std::string> services;
    std::vector<std::string> fleetFiles;
    std::vector<std::string> crashedEntries;
    std::set<std::string> deciding;
    HistoryRules rules;
    app.add_option("--history", histories, "History files of borageslip-load");
    app.add_option("--engine", engines, "Files with the response of GET /records of a stand-in engine");
    app.add_option("--service", services, "Files with the response of GET /records of a stand-in service");
    app.add_option("--fleet", fleetFiles, "JSON lines with crashes, stops, disturbances and configuration revisions (tools/failure_run.py)");
    app.add_option("--crashed-entry", crashedEntries, "ip:port of an entry that was killed; its streams may be truncated");
    app.add_option("--load-bound", rules.loadBound, "I1: largest allowed multiple of the mean load")->check(CLI::Range(1.0, 1000.0));
    const auto addGrace = [&app](const char* option, std::chrono::microseconds& grace, const char* description) {
        app.add_option_function<double>(
               option, [&grace](double seconds) { grace = std::chrono::microseconds(std::llround(seconds * 1e6)); }, description)
            ->check(CLI::Range(0.0, 3600.0));
    };
    addGrace("--leaving-grace-s", rules.leavingGrace, "I5: time during which runs may still start on a leaving engine; default 3");
    addGrace("--configuration-grace-s", rules.configurationGrace, "I7: time within which a configuration must be applied; default 8");
    addGrace("--cancel-grace-s", rules.cancelGrace, "Time within which a run must end after its caller disconnects; default 1");
    app.add_option("--deciding", deciding, "Invariants whose violations set the exit status; default: all. Violations of the others are still printed");
    CLI11_PARSE(app, argc, argv);
    rules.crashedEntries.insert(crashedEntries.begin(), crashedEntries.end());
    RecordedRun run;
    if (!readHistories(histories, run.clientEvents) || !readHistories(fleetFiles, run.fleetEvents) || !readRecords(engines, run.engines) || !readRecords(services, run.services))
        return 2;
    const auto violations = checkHistory(run, rules);
    std::map<std::string, size_t> counts;
    for (const auto& violation : violations) {
        if (++counts[violation.invariant] > maxPrintedPerInvariant)
            continue;
        std::cout << violation.invariant << ' ' << violation.request << ": " << violation.description << '\n';
        for (const auto& event : violation.trace)
            std::cout << "    " << event.dump() << '\n';
    }
    for (const auto& [invariant, count] : counts)
        std::cout << invariant << ": " << count << " violations\n";
    std::cout << run.clientEvents.size() << " client events, " << run.engines.size() << " engines, " << run.services.size() << " services: " << violations.size() << " violations\n";
    const auto decides = [&](const HistoryViolation& violation) { return deciding.empty() || deciding.contains(violation.invariant); };
    return std::none_of(violations.begin(), violations.end(), decides) ? 0 : 1;
}
