#include "RequestTimeline.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <ostream>
#include <set>

namespace borageslip {

namespace {

    // Lines of an instance that show what it could know; they name no request.
    constexpr std::array<std::string_view, 6> dependencyEvents { "store-call-failed", "store-regained", "store-history-lost", "configuration-in-force", "configuration-invalid", "stop-begun" };

    /** How an outcome reads in one sentence. */
    struct OutcomeDescription {
        std::string_view outcome;
        std::string_view description;
    };
    constexpr std::array outcomeDescriptions {
        OutcomeDescription { "delivered", "The answer was delivered." },
        OutcomeDescription { "cancelled", "The caller left before the answer was complete." },
        OutcomeDescription { "overloaded", "No backend server had a place in time; the request was rejected without being sent." },
        OutcomeDescription { "no-engine-available", "No backend server of the service was in service." },
        OutcomeDescription { "engine-refused", "The backend server stated that it did not take the request." },
        OutcomeDescription { "engine-unreachable", "The backend server could not be reached." },
        OutcomeDescription { "service-unreachable", "No backend server that was tried could be reached." },
        OutcomeDescription { "service-failed", "The request was sent and its answer was lost or broken; it may have run." },
        OutcomeDescription { "deadline-exceeded", "The request was sent and no answer came within its time limit; it may have run." },
        OutcomeDescription { "deadline-before-start", "Its time limit passed before it was sent." },
        OutcomeDescription { "store-unavailable", "The instance had no word from the store for too long to trust keys or a missing route." },
        OutcomeDescription { "unauthenticated", "The configuration in force at the instance does not hold the key." },
        OutcomeDescription { "not-found", "The configuration in force at the instance has no such route." },
        OutcomeDescription { "no-configuration", "The instance had not read a configuration yet." },
        OutcomeDescription { "draining", "The instance was about to end." },
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

    /** Keeps, for each instance of the story, the last line of each dependency event before the story's end. */
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
            return "The logs hold no outcome of the request.";
        const auto outcome = stringField(last->fields, "outcome");
        const auto row = std::find_if(outcomeDescriptions.begin(), outcomeDescriptions.end(), [&](const OutcomeDescription& known) { return known.outcome == outcome; });
        const auto description = row == outcomeDescriptions.end() ? "It ended with \"" + outcome + "\"." : std::string(row->description);
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
        return Error { ErrorKind::NotFound, "no log line names the request " + std::string(request) };
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
    output << "what its instances knew\n";
    std::for_each(timeline.dependencyContext.begin(), timeline.dependencyContext.end(), print);
    output << "cause\n  " << timeline.cause << '\n';
}

}
