#pragma once

#include <borageslip_core/borageslip_core.h>

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** One log line that concerns a request. */
struct TimelineEntry {
    std::string time;
    std::string process;
    std::string event;
    nlohmann::json fields;
};

/** What the logs of all instances tell of one request.
    @see readRequestTimeline */
struct RequestTimeline {
    std::string request;
    std::vector<TimelineEntry> lines; ///< In order of time.
    std::vector<TimelineEntry> dependencyContext; ///< Lost and regained dependencies of the same instances within a few seconds.
    std::string cause; ///< In one sentence.
};

/** Reads the JSON lines of log files and picks out those that concern the request. Other lines are passed over.
    Errors: InvalidSettings for a file that cannot be read, NotFound when no line names the request. */
Result<RequestTimeline> readRequestTimeline(std::string_view request, std::span<const std::string> files);

void printRequestTimeline(std::ostream&, const RequestTimeline&);

}
