#pragma once

#include <string>
#include <utility>
#include <vector>

namespace borageslip {

/** The response of a backend server, as returned to the caller and to later calls with the same idempotency key. */
struct RecordedOutcome {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers {};
    std::string body {};

    bool operator==(const RecordedOutcome&) const = default;
};

}
