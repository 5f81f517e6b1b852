#pragma once

#include <compare>

namespace borageslip {

/** Priority of a waiting request: compared by client account first, then by route. Lower values are more urgent; 0 is
    the most urgent. */
struct RequestPriority {
    int account = 0;
    int route = 0;

    // clang-tidy 14 mistakes the zero in rewritten comparisons for a null pointer.
    auto operator<=>(const RequestPriority&) const = default; // NOLINT(modernize-use-nullptr)
};

}
