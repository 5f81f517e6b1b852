#pragma once

#include "ExperimentOutcome.h"

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** The runs of one strategy on one pattern. */
struct ExperimentSeries {
    std::string pattern;
    std::string strategy;
    std::vector<ExperimentOutcome> runs; ///< One for each seed.
};

/** One line for each series: means over the seeds, and half of the range of the share on time. Markdown. */
std::string experimentTable(std::span<const ExperimentSeries>);

/** One line for each series and class: shares of its requests. Markdown. */
std::string experimentClassTable(std::span<const ExperimentSeries>);

/** All runs, for a results file. */
nlohmann::json experimentJson(std::span<const ExperimentSeries>);

}
