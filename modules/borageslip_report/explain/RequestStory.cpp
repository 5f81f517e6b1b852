#include "RequestStory.h"

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
    struct CauseRow {
        std::string_view outcome;
        std::string_view sentence;
    };
    constexpr std::array causeRows {
        CauseRow { "delivered", "The answer was delivered." },
        CauseRow { "cancelled", "The caller left before the answer was complete." },
        CauseRow { "overloaded", "No backend server had a place in time; the request was rejected without being sent." },
        CauseRow { "no-engine-available", "No backend server of the service was in service." },
        CauseRow { "engine-refused", "The backend server stated that it did not take the request." },
        CauseRow { "engine-unreachable", "The backend server could not be reached." },
        CauseRow { "service-unreachable", "No backend server that was tried could be reached." },
        CauseRow { "service-failed", "The request was sent and its answer was lost or broken; it may have run." },
        CauseRow { "deadline-exceeded", "The request was sent and no answer came within its time limit; it may have run." },
        CauseRow { "deadline-before-start", "Its time limit passed before it was sent." },
        CauseRow { "store-unavailable", "The instance had no word from the store for too long to trust keys or a missing route." },
        CauseRow { "unauthenticated", "The configuration in force at the instance does not hold the key." },
        CauseRow { "not-found", "The configuration in force at the instance has no such route." },
        CauseRow { "no-configuration", "The instance had not read a configuration yet." },
        CauseRow { "draining", "The instance was about to end." },
    };

    std::string textOf(const nlohmann::json& line, const char* name)
    {
        const auto found = line.find(name);
        return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    StoryLine storyLineFrom(nlohmann::json line)
    {
        StoryLine story { textOf(line, "time"), textOf(line, "process"), textOf(line, "event"), std::move(line) };
        for (const auto* name : { "time", "process", "event", "level", "request" })
            story.fields.erase(name);
        return story;
    }

    bool isDependencyEvent(std::string_view event)
    {
        return std::find(dependencyEvents.begin(), dependencyEvents.end(), event) != dependencyEvents.end();
    }

    /** Keeps, for each instance of the story, the last line of each dependency event before the story's end. */
    std::vector<StoryLine> surroundingsOf(const std::vector<StoryLine>& story, const std::vector<StoryLine>& candidates)
    {
        std::set<std::string> processes;
        for (const auto& line : story)
            processes.insert(line.process);
        std::map<std::pair<std::string, std::string>, StoryLine> latest;
        for (const auto& line : candidates) {
            if (processes.contains(line.process) && line.time <= story.back().time)
                latest[{ line.process, line.event }] = line;
        }
        std::vector<StoryLine> lines;
        lines.reserve(latest.size());
        for (auto& [key, line] : latest)
            lines.push_back(std::move(line));
        return lines;
    }

    std::string causeOf(const std::vector<StoryLine>& lines)
    {
        const auto last = std::find_if(lines.rbegin(), lines.rend(), [](const StoryLine& line) { return line.fields.contains("outcome"); });
        if (last == lines.rend())
            return "The logs hold no outcome of the request.";
        const auto outcome = textOf(last->fields, "outcome");
        const auto row = std::find_if(causeRows.begin(), causeRows.end(), [&](const CauseRow& known) { return known.outcome == outcome; });
        const auto sentence = row == causeRows.end() ? "It ended with \"" + outcome + "\"." : std::string(row->sentence);
        const auto detail = textOf(last->fields, "detail");
        return detail.empty() ? sentence : sentence + " Detail: " + detail + ".";
    }

    void sortByTime(std::vector<StoryLine>& lines)
    {
        std::stable_sort(lines.begin(), lines.end(), [](const StoryLine& first, const StoryLine& second) { return first.time < second.time; });
    }

}

Result<RequestStory> readRequestStory(std::string_view request, std::span<const std::string> files)
{
    RequestStory story { std::string(request), {}, {}, {} };
    std::vector<StoryLine> dependencies;
    for (const auto& file : files) {
        std::ifstream input(file);
        if (!input)
            return Error { ErrorKind::InvalidSettings, "cannot read " + file };
        for (std::string text; std::getline(input, text);) {
            auto line = nlohmann::json::parse(text, nullptr, false);
            if (!line.is_object())
                continue;
            if (textOf(line, "request") == request)
                story.lines.push_back(storyLineFrom(std::move(line)));
            else if (isDependencyEvent(textOf(line, "event")))
                dependencies.push_back(storyLineFrom(std::move(line)));
        }
    }
    if (story.lines.empty())
        return Error { ErrorKind::NotFound, "no log line names the request " + std::string(request) };
    sortByTime(story.lines);
    sortByTime(dependencies);
    story.surroundings = surroundingsOf(story.lines, dependencies);
    sortByTime(story.surroundings);
    story.cause = causeOf(story.lines);
    return story;
}

void printRequestStory(std::ostream& output, const RequestStory& story)
{
    const auto print = [&](const StoryLine& line) {
        output << "  " << line.time << "  " << line.process << "  " << line.event << "  " << line.fields.dump() << '\n';
    };
    output << "request " << story.request << '\n';
    std::for_each(story.lines.begin(), story.lines.end(), print);
    output << "what its instances knew\n";
    std::for_each(story.surroundings.begin(), story.surroundings.end(), print);
    output << "cause\n  " << story.cause << '\n';
}

}
