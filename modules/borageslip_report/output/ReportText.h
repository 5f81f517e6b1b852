#pragma once

#include "../reading/ObjectiveReport.h"

namespace borageslip {

/** Formats the report as plain text for a terminal. */
std::string reportText(const ObjectiveReport&);

/** Formats a number with the given number of decimals; "-" for nullopt. */
std::string formatDecimal(std::optional<double>, int decimals);

}
