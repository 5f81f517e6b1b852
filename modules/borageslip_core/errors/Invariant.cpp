#include "Invariant.h"

#include "../logging/Log.h"

#include <atomic>

namespace borageslip {

namespace {
    std::atomic<uint64_t> s_violations { 0 };
}

void reportInvariantViolation(std::string_view invariant, std::string_view detail, std::string_view file, int line)
{
    ++s_violations;
    logEvent(Severity::Error, "invariant-violated", { { "invariant", invariant }, { "detail", detail }, { "file", file.substr(file.find_last_of('/') + 1) }, { "line", line } });
}

uint64_t invariantViolations()
{
    return s_violations;
}

}
