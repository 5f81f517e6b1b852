#pragma once

#include "../reading/ObjectiveReport.h"

namespace borageslip {

/** Returns the report as text for a terminal. */
std::string reportText(const ObjectiveReport&);

/** Returns a number with these decimals, or "-" without one. */
std::string formatDecimal(std::optional<double>, int decimals);

}
