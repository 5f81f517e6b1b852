#include "OpenRequest.h"

#include <array>

namespace borageslip {

std::string_view requestPhaseName(RequestPhase phase)
{
    constexpr std::array<std::string_view, 7> names { "receiving", "admission", "waiting", "connecting", "awaiting-head", "awaiting-body", "responding" };
    static_assert(names.size() == static_cast<size_t>(RequestPhase::Responding) + 1);
    return names.at(static_cast<size_t>(phase));
}

}
