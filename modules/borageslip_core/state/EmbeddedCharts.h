#pragma once

#include <span>
#include <string_view>

namespace borageslip {

/** A chart file of charts/, compiled into the program so that an instance needs no files beside its binary. */
struct EmbeddedChart {
    std::string_view name;
    std::string_view json;
};

std::span<const EmbeddedChart> embeddedCharts();

}
