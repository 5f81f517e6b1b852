#pragma once

#include "../reading/ObjectiveReport.h"

namespace borageslip {

/** Returns the report as a self-contained HTML page with tables and inline SVG plots.
    @param title used as the title and the heading of the page. */
std::string reportPage(const ObjectiveReport&, const std::string& title);

/** Escapes the characters with a special meaning in HTML text and attribute values. */
std::string escapeHtml(std::string_view);

}
