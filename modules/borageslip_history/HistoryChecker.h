#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** A rule that a run broke, with the events and records that show it. */
struct HistoryViolation {
    std::string invariant; ///< "I1" to "I7" of docs/design.md section 1; "disconnect" for its section 7.
    std::string request; ///< The request or key concerned; the engine for I1.
    std::string description;
    nlohmann::json trace = nlohmann::json::array();
};

/** What a run left behind. */
struct RecordedRun {
    std::vector<nlohmann::json> clientEvents; ///< Lines of all history files of borageslip-load.
    std::vector<nlohmann::json> engines; ///< `GET /records` of each stand-in engine.
    std::vector<nlohmann::json> services; ///< `GET /records` of each stand-in service.
    /** What the driver of the run did and sampled, by `event`, with the time `at_us`:
        "crash" (`entry`, `until_us` when the process had gone), "stopped" (`entry`, `exit_code`), "written" (`revision`), "revision" (`router`, `incarnation`,
        `revision`, `digest`), "caller-gone" (`request`, the chat whose caller closed its connection) and "disturbance" (`from_us`, `until_us`; both without `at_us`). */
    std::vector<nlohmann::json> fleetEvents;
};

struct HistoryRules {
    double loadBound = 1.25;
    /** Entries (`ip:port`) that were killed: streams through them may be cut. */
    std::set<std::string> crashedEntries;
    /** Time after an engine was set leaving in which runs may still start. */
    std::chrono::microseconds leavingGrace { 3'000'000 };
    /** Time after a caller closed its connection in which its run ends at the engine, while nothing disturbs the fleet. */
    std::chrono::microseconds cancelGrace { 1'000'000 };
    /** Time in which a written configuration comes into force everywhere while nothing disturbs the fleet. */
    std::chrono::microseconds configurationGrace { 8'000'000 };
};

/** Checks a recorded run against the invariants I1 to I7. The result does not depend on the order of the inputs.

    I1 counts the runs accepted and not ended at each engine of a model and region whenever one is accepted. I3 and I4
    hold by idempotency key for services and by the caller's request id for engines. An answer may be cut by a crash of
    its entry while the request was open. */
std::vector<HistoryViolation> checkHistory(const RecordedRun&, const HistoryRules&);

/** Parses JSON lines. Lines that are not JSON objects are counted in `invalidLineCount`. */
std::vector<nlohmann::json> parseHistory(std::string_view text, size_t& invalidLineCount);

}
