#include "ReportPage.h"

#include "ReportText.h"

#include <algorithm>
#include <sstream>

namespace borageslip {

namespace {

    constexpr double plotWidth = 600;
    constexpr double plotHeight = 120;
    constexpr const char* style = "body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse;margin:.5em 0}"
                                  "td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child{text-align:left}"
                                  ".over{color:#b00020;font-weight:bold}svg{background:#fafafa;border:1px solid #ddd}text{font-size:10px;fill:#666}";

    std::string cell(const std::string& text, bool isHighlighted = false) { return std::string(isHighlighted ? "<td class=\"over\">" : "<td>") + text + "</td>"; }

    void writePlotStart(std::ostream& page, const std::string& label)
    {
        page << "<svg role=\"img\" aria-label=\"" << escapeHtml(label) << "\" width=\"" << plotWidth << "\" height=\"" << plotHeight << "\" viewBox=\"0 0 " << plotWidth << ' ' << plotHeight << "\">";
    }

    /** Plots the burn rate of each interval and a dashed line at 1. */
    void writeBurnPlot(std::ostream& page, const ObjectiveRow& row)
    {
        double highest = 2;
        for (const auto& counts : row.intervals)
            highest = std::max(highest, row.burnRate(counts).value_or(0));
        const double width = plotWidth / static_cast<double>(std::max<size_t>(row.intervals.size(), 1));
        writePlotStart(page, "burn rate of " + row.name + " over the last hour");
        for (size_t i = 0; i < row.intervals.size(); ++i) {
            const auto rate = row.burnRate(row.intervals[i]);
            const double height = rate.value_or(0) / highest * plotHeight;
            if (height > 0)
                page << "<rect x=\"" << formatDecimal(static_cast<double>(i) * width, 1) << "\" y=\"" << formatDecimal(plotHeight - height, 1) << "\" width=\"" << formatDecimal(width, 1)
                     << "\" height=\"" << formatDecimal(height, 1) << "\" fill=\"" << (*rate > 1 ? "#b00020" : "#3a7ca5") << "\"/>";
        }
        const auto line = formatDecimal(plotHeight - plotHeight / highest, 1);
        page << "<line x1=\"0\" x2=\"" << plotWidth << "\" y1=\"" << line << "\" y2=\"" << line << "\" stroke=\"#888\" stroke-dasharray=\"4\"/>"
             << "<text x=\"4\" y=\"12\">" << formatDecimal(highest, 1) << "</text><text x=\"4\" y=\"" << line << "\">1</text></svg>\n";
    }

    /** Plots the share of events in each bucket; a bar's tooltip shows the number of events. */
    void writeHistogram(std::ostream& page, const MergedHistogram& histogram, const std::string& label)
    {
        page << "<h2>" << escapeHtml(label) << " since the start, " << histogram.count() << " events</h2>\n";
        if (histogram.count() == 0)
            return;
        const auto& cumulative = histogram.cumulative();
        const double width = plotWidth / static_cast<double>(cumulative.size());
        writePlotStart(page, label);
        for (size_t i = 0; i < cumulative.size(); ++i) {
            const auto events = cumulative[i] - (i > 0 ? cumulative[i - 1] : 0);
            const double height = static_cast<double>(events) / static_cast<double>(histogram.count()) * (plotHeight - 20);
            const bool isLast = i + 1 == cumulative.size();
            std::ostringstream boundary;
            boundary << histogram.boundaries()[i];
            page << "<rect x=\"" << formatDecimal(static_cast<double>(i) * width, 1) << "\" y=\"" << formatDecimal(plotHeight - 16 - height, 1) << "\" width=\"" << formatDecimal(width - 1, 1)
                 << "\" height=\"" << formatDecimal(height, 1) << "\" fill=\"#3a7ca5\"><title>" << events << "</title></rect><text x=\"" << formatDecimal(static_cast<double>(i) * width, 1)
                 << "\" y=\"" << plotHeight - 4 << "\">" << (isLast ? "more" : boundary.str()) << "</text>";
        }
        page << "</svg>\n";
    }

    void writeCauses(std::ostream& page, const char* title, const std::vector<BurnCause>& causes)
    {
        if (causes.empty())
            return;
        page << "<table><tr><th>" << title << "</th><th>missed 1 h</th><th>missed 5 min</th></tr>\n";
        for (const auto& cause : causes)
            page << "<tr>" << cell(escapeHtml(cause.name)) << cell(std::to_string(cause.slow)) << cell(std::to_string(cause.fast)) << "</tr>\n";
        page << "</table>\n";
    }

    std::optional<double> toPercent(std::optional<double> share) { return share ? std::optional(*share * 100) : std::nullopt; }

}

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        case '\'':
            escaped += "&#39;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string reportPage(const ObjectiveReport& report, const std::string& title)
{
    std::ostringstream page;
    page << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" << escapeHtml(title) << "</title><style>" << style << "</style></head><body>\n<h1>" << escapeHtml(title) << "</h1>\n<p>"
         << report.instances << " routers, longest uptime " << report.longestUptime.count() << " s.</p>\n"
         << "<table><tr><th>objective</th><th>scope</th><th>target</th><th>budget left</th><th>burn 5 min</th><th>burn 1 h</th><th>missed 1 h</th><th>events 1 h</th></tr>\n";
    for (const auto& row : report.objectives) {
        const auto left = row.budgetLeft();
        const auto fast = row.burnRate(row.fast);
        const auto slow = row.burnRate(row.slow);
        page << "<tr>" << cell(escapeHtml(row.name)) << cell(escapeHtml(row.scope())) << cell(formatDecimal(row.target * 100, 1) + "%") << cell(left ? formatDecimal(toPercent(left), 1) + "%" : "-", left.value_or(1) < 0)
             << cell(formatDecimal(fast, 2), fast.value_or(0) > 1) << cell(formatDecimal(slow, 2), slow.value_or(0) > 1) << cell(std::to_string(row.slow.missed)) << cell(std::to_string(row.slow.total())) << "</tr>\n";
    }
    page << "</table>\n";
    for (const auto& row : report.objectives) {
        page << "<h2>" << escapeHtml(row.name) << ", " << escapeHtml(row.scope()) << ": burn rate, last hour</h2>\n";
        writeBurnPlot(page, row);
        writeCauses(page, "error kind", row.kinds);
        writeCauses(page, "account", row.accounts);
        writeCauses(page, "engine", row.engines);
    }
    writeHistogram(page, report.firstToken, "Time to the first token (s)");
    writeHistogram(page, report.betweenTokens, "Time between tokens (s)");
    if (!report.failures.empty()) {
        page << "<h2>Excluded routers</h2>\n<ul>\n";
        for (const auto& [address, reason] : report.failures)
            page << "<li>" << escapeHtml(address) << ": " << escapeHtml(reason) << "</li>\n";
        page << "</ul>\n";
    }
    page << "</body></html>\n";
    return page.str();
}

}
