#include "RequestTimeline.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <ostream>
#include <set>

namespace borageslip {

namespace {

    // Log events that show whether an instance had its store and a configuration; they carry no request id.
    constexpr std::array<std::string_view, 6> dependencyEvents { "store-call-failed", "store-regained", "store-history-lost", "configuration-in-force", "configuration-invalid", "stop-begun" };

    /** Maps an outcome in the log to a sentence for the operator. */
    struct OutcomeDescription {
        std::string_view outcome;
        std::string_view description;
    };
    constexpr std::array outcomeDescriptions {
        OutcomeDescription { "delivered", "The response was delivered." },
        OutcomeDescription { "cancelled", "The caller disconnected before the response was complete." },
        OutcomeDescription { "overloaded", "No backend server had free capacity in time; the request was rejected without being sent." },
        OutcomeDescription { "no-engine-available", "The service had no backend server in service." },
        OutcomeDescription { "engine-refused", "The backend server reported that it did not take the request." },
        OutcomeDescription { "engine-unreachable", "The backend server could not be reached." },
        OutcomeDescription { "service-unreachable", "No backend server that was tried could be reached." },
        OutcomeDescription { "service-failed", "The request was sent, but its response was lost or malformed; it may have run." },
        OutcomeDescription { "deadline-exceeded", "The request was sent, but no response arrived before its deadline; it may have run." },
        OutcomeDescription { "deadline-before-start", "The deadline of the request passed before it was sent." },
        OutcomeDescription { "store-unavailable", "The instance had no word from the store for so long that it could no longer accept keys or rule out a new route." },
        OutcomeDescription { "unauthenticated", "The key is not in the configuration in force at the instance." },
        OutcomeDescription { "not-found", "The configuration in force at the instance has no matching route." },
        OutcomeDescription { "no-configuration", "The instance had not loaded a configuration yet." },
        OutcomeDescription { "draining", "The instance was shutting down." },
    };

    std::string stringField(const nlohmann::json& line, const char* name)
    {
        const auto found = line.find(name);
        return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    TimelineEntry makeTimelineEntry(nlohmann::json line)
    {
        TimelineEntry entry { stringField(line, "time"), stringField(line, "process"), stringField(line, "event"), std::move(line) };
        for (const auto* name : { "time", "process", "event", "level", "request" })
            entry.fields.erase(name);
        return entry;
    }

    bool isDependencyEvent(std::string_view event)
    {
        return std::find(dependencyEvents.begin(), dependencyEvents.end(), event) != dependencyEvents.end();
    }

    /** Returns, for each instance in the timeline, the latest line of each dependency event up to the timeline's last entry. */
    std::vector<TimelineEntry> latestDependencyEvents(const std::vector<TimelineEntry>& timeline, const std::vector<TimelineEntry>& candidates)
    {
        std::set<std::string> processes;
        for (const auto& line : timeline)
            processes.insert(line.process);
        std::map<std::pair<std::string, std::string>, TimelineEntry> latest;
        for (const auto& line : candidates) {
            if (processes.contains(line.process) && line.time <= timeline.back().time)
                latest[{ line.process, line.event }] = line;
        }
        std::vector<TimelineEntry> lines;
        lines.reserve(latest.size());
        for (auto& [key, line] : latest)
            lines.push_back(std::move(line));
        return lines;
    }

    std::string describeCause(const std::vector<TimelineEntry>& lines)
    {
        const auto last = std::find_if(lines.rbegin(), lines.rend(), [](const TimelineEntry& line) { return line.fields.contains("outcome"); });
        if (last == lines.rend())
            return "The logs contain no outcome for the request.";
        const auto outcome = stringField(last->fields, "outcome");
        const auto row = std::find_if(outcomeDescriptions.begin(), outcomeDescriptions.end(), [&](const OutcomeDescription& known) { return known.outcome == outcome; });
        const auto description = row == outcomeDescriptions.end() ? "The request ended with the outcome \"" + outcome + "\"." : std::string(row->description);
        const auto detail = stringField(last->fields, "detail");
        return detail.empty() ? description : description + " Detail: " + detail + ".";
    }

    void sortByTime(std::vector<TimelineEntry>& lines)
    {
        std::stable_sort(lines.begin(), lines.end(), [](const TimelineEntry& first, const TimelineEntry& second) { return first.time < second.time; });
    }

}

Result<RequestTimeline> readRequestTimeline(std::string_view request, std::span<const std::string> files)
{
    RequestTimeline timeline { std::string(request), {}, {}, {} };
    std::vector<TimelineEntry> dependencies;
    for (const auto& file : files) {
        std::ifstream input(file);
        if (!input)
            return Error { ErrorKind::InvalidSettings, "cannot read " + file };
        for (std::string text; std::getline(input, text);) {
            auto line = nlohmann::json::parse(text, nullptr, false);
            if (!line.is_object())
                continue;
            if (stringField(line, "request") == request)
                timeline.lines.push_back(makeTimelineEntry(std::move(line)));
            else if (isDependencyEvent(stringField(line, "event")))
                dependencies.push_back(makeTimelineEntry(std::move(line)));
        }
    }
    if (timeline.lines.empty())
        return Error { ErrorKind::NotFound, "no log line has the request id " + std::string(request) };
    sortByTime(timeline.lines);
    sortByTime(dependencies);
    timeline.dependencyContext = latestDependencyEvents(timeline.lines, dependencies);
    sortByTime(timeline.dependencyContext);
    timeline.cause = describeCause(timeline.lines);
    return timeline;
}

void printRequestTimeline(std::ostream& output, const RequestTimeline& timeline)
{
    const auto print = [&](const TimelineEntry& line) {
        output << "  " << line.time << "  " << line.process << "  " << line.event << "  " << line.fields.dump() << '\n';
    };
    output << "request " << timeline.request << '\n';
    std::for_each(timeline.lines.begin(), timeline.lines.end(), print);
    output << "store and configuration state of its instances\n";
    std::for_each(timeline.dependencyContext.begin(), timeline.dependencyContext.end(), print);
    output << "cause\n  " << timeline.cause << '\n';
}

}
