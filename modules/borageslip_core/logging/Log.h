#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace borageslip {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/** Where log lines go, and how many. */
struct LogOptions {
    enum class Destination {
        StandardError,
        /** Never waits for the reader: a line that a full pipe does not take is dropped and counted. */
        StandardOutput,
    };

    Destination destination = Destination::StandardError;
    double linesPerSecond = 0; ///< Of one kind of event, see LogBudget; 0: not bounded.
};

/** Sends log lines to the destination, one JSON object a line, and drops lines below the level.
    @param process name of the program and instance, added to each line. */
void initialiseLog(Severity minimum, std::string_view process, const LogOptions& = {});

/** Log lines that a full pipe did not take since the start. */
uint64_t droppedLogLines();

/** Parses "debug", "info", "warning" or "error"; anything else yields Info. */
Severity severityFromName(std::string_view name);

/** Whether lines of this severity are written; ask before building costly fields. Thread-safe. */
bool isLogged(Severity);

/** Writes one line: time, level, event and the fields given. Thread-safe.
    @param fields an object; never put keys, bodies or prompts into it. */
void logEvent(Severity, std::string_view event, const nlohmann::json& fields = nlohmann::json::object());

}
