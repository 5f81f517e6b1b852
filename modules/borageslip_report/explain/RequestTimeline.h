#pragma once

#include <borageslip_core/borageslip_core.h>

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** A parsed log line. */
struct TimelineEntry {
    std::string time;
    std::string process;
    std::string event;
    nlohmann::json fields; ///< The other fields, without time, process, event, level and request.
};

/** Log lines of all instances that concern one request.
    @see readRequestTimeline */
struct RequestTimeline {
    std::string request; ///< Request id.
    std::vector<TimelineEntry> lines; ///< Lines with the request id, sorted by time.
    std::vector<TimelineEntry> dependencyContext; ///< Latest store, configuration and shutdown events of the same instances, sorted by time.
    std::string cause; ///< The last outcome in one sentence, with its detail.
};

/** Builds the timeline of a request from log files with one JSON object a line. Lines that are not JSON objects are skipped.
    Errors: InvalidSettings if a file cannot be opened; NotFound if no line has the request id. */
Result<RequestTimeline> readRequestTimeline(std::string_view request, std::span<const std::string> files);

/** Prints the timeline, the dependency context and the cause as text. */
void printRequestTimeline(std::ostream&, const RequestTimeline&);

}
