#pragma once

#include "ExperimentOutcome.h"

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** All runs of one placement strategy on one load pattern. */
struct ExperimentSeries {
    std::string pattern;
    std::string strategy;
    std::vector<ExperimentOutcome> runs; ///< One for each seed.
};

/** Returns a Markdown table with a row for each series: means over the seeds, and half the range of the on-time share. */
std::string experimentTable(std::span<const ExperimentSeries>);

/** Returns a Markdown table with a row for each series and class: outcomes as shares of the offered requests. */
std::string experimentClassTable(std::span<const ExperimentSeries>);

/** Returns the outcomes of all runs for the results file. */
nlohmann::json experimentJson(std::span<const ExperimentSeries>);

}
