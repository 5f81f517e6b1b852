#pragma once

#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace borageslip {

/** Writes a client history in the JSON Lines format. Thread-safe. */
class HistoryWriter {
public:
    /** @param path the file to overwrite; if it is empty, nothing is written. */
    explicit HistoryWriter(const std::string& path);

    /** Appends an event, with the current time in microseconds since the Unix epoch as `at_us`. */
    void write(nlohmann::json event);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

}
