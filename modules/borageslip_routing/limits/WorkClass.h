#pragma once

#include <cstddef>

namespace borageslip {

/** Class of a request, by how long it is expected to hold a slot and how soon its caller needs it. */
enum class WorkClass {
    Urgent,
    Standard,
    Long,
};

constexpr size_t workClassCount = 3;

constexpr size_t indexOf(WorkClass workClass) { return static_cast<size_t>(workClass); }

}
