#include "ReportText.h"

#include <iomanip>
#include <sstream>

namespace borageslip {

namespace {

    void writeCauses(std::ostream& text, const char* title, const std::vector<BurnCause>& causes)
    {
        if (causes.empty())
            return;
        text << "    " << std::left << std::setw(10) << title;
        for (const auto& cause : causes)
            text << cause.name << " " << cause.slow << " (" << cause.fast << ")  ";
        text << '\n';
    }

    std::string formatPercent(std::optional<double> share, int decimals = 1)
    {
        return share ? formatDecimal(*share * 100, decimals) + "%" : "-";
    }

}

std::string formatDecimal(std::optional<double> number, int decimals)
{
    if (!number)
        return "-";
    std::ostringstream text;
    text << std::fixed << std::setprecision(decimals) << *number;
    return text.str();
}

std::string reportText(const ObjectiveReport& report)
{
    std::ostringstream text;
    text << "objectives over " << report.instances << " routers, longest uptime " << report.longestUptime.count() << " s\n\n"
         << std::left << std::setw(24) << "objective" << std::setw(28) << "scope" << std::right << std::setw(8) << "target" << std::setw(14) << "budget left" << std::setw(12) << "burn 5 min" << std::setw(10) << "burn 1 h" << std::setw(12) << "missed 1 h" << std::setw(12) << "events 1 h" << '\n';
    for (const auto& row : report.objectives) {
        text << std::left << std::setw(24) << row.name << std::setw(28) << row.scope() << std::right << std::setw(8) << formatPercent(row.target) << std::setw(14) << formatPercent(row.budgetLeft())
             << std::setw(12) << formatDecimal(row.burnRate(row.fast), 2) << std::setw(10) << formatDecimal(row.burnRate(row.slow), 2) << std::setw(12) << row.slow.missed << std::setw(12) << row.slow.total() << '\n';
        writeCauses(text, "kinds", row.kinds);
        writeCauses(text, "accounts", row.accounts);
        writeCauses(text, "engines", row.engines);
    }
    text << "\nCauses: missed events within 1 h (within 5 min).\n";
    for (const auto& [address, reason] : report.failures)
        text << "excluded: " << address << ": " << reason << '\n';
    return text.str();
}

}
