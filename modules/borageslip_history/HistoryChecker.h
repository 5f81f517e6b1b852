#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** A violation of an invariant, with the events and records that prove it. */
struct HistoryViolation {
    std::string invariant; ///< "I1" to "I7" of docs/design.md section 1; "disconnect" for the cancellation rule of its section 7.
    std::string request; ///< Request id; for I4 the idempotency key, for I1 the engine, for I6 and I7 also an entry, router or incarnation.
    std::string description;
    nlohmann::json trace = nlohmann::json::array();
};

/** The recorded events and records of one load run, the input of checkHistory(). */
struct RecordedRun {
    std::vector<nlohmann::json> clientEvents; ///< Events of all history files written by borageslip-load.
    std::vector<nlohmann::json> engines; ///< `GET /records` of each stand-in engine.
    std::vector<nlohmann::json> services; ///< `GET /records` of each stand-in service.
    /** Actions and samples of the tool that drove the run. The type is in `event`, the time in `at_us`:
        "crash" (`entry`, `until_us` when the process had ended), "stopped" (`entry`, `exit_code`), "written" (`revision`), "revision" (`router`, `incarnation`,
        `revision`, `digest`), "caller-gone" (`request`, the chat whose caller disconnected) and "disturbance" (`from_us`, `until_us`; both without `at_us`). */
    std::vector<nlohmann::json> fleetEvents;
};

/** Limits and grace periods that checkHistory() applies. */
struct HistoryRules {
    /** I1: largest allowed multiple of the mean load. */
    double loadBound = 1.25;
    /** I6: entries (`ip:port`) that were killed; streams through them may be truncated. */
    std::set<std::string> crashedEntries;
    /** I5: time during which runs may still start after an engine's state changes to leaving. */
    std::chrono::microseconds leavingGrace { 3'000'000 };
    /** Time within which an engine run must end after its caller disconnects, while no disturbance affects the fleet. */
    std::chrono::microseconds cancelGrace { 1'000'000 };
    /** I7: time within which all routers must apply a written configuration, while no disturbance affects the fleet. */
    std::chrono::microseconds configurationGrace { 8'000'000 };
};

/** Checks a recorded run against the invariants I1 to I7. The result does not depend on the order of the inputs.

    I1 is evaluated whenever an engine accepts a run; it counts the accepted runs that have not ended at each engine of
    the same region and model. I3 and I4 identify service calls by idempotency key and engine runs by the caller's
    request id. I6 allows a truncated response if its entry crashed while the request was open. */
std::vector<HistoryViolation> checkHistory(const RecordedRun&, const HistoryRules&);

/** Parses a history in the JSON Lines format. Empty lines are skipped.

    @param invalidLineCount is increased by the number of lines that are not JSON objects. */
std::vector<nlohmann::json> parseHistory(std::string_view text, size_t& invalidLineCount);

}
