#pragma once

#include <cstdint>
#include <string_view>

namespace borageslip {

/** Logs and counts a violated invariant. Use BORAGESLIP_INVARIANT. */
void reportInvariantViolation(std::string_view invariant, std::string_view detail, std::string_view file, int line);

/** Number of violations reported in this process since it started. */
uint64_t invariantViolations();

}

/** Asserts an invariant of docs/design.md section 1 in every build type. A violation is logged and counted and the
    program goes on: ending the process would cut the requests that it carries. */
#define BORAGESLIP_INVARIANT(condition, invariant, detail)                                     \
    do {                                                                                       \
        if (!(condition)) [[unlikely]]                                                         \
            ::borageslip::reportInvariantViolation((invariant), (detail), __FILE__, __LINE__); \
    } while (false)
