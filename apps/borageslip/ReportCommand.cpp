#include "ReportCommand.h"

#include <borageslip_report/borageslip_report.h>
#include <fstream>
#include <iostream>

namespace borageslip {

namespace {
    constexpr std::chrono::milliseconds routerTimeout { 2000 };
}

Status printReport(const ReportOptions& options)
{
    const auto report = ObjectiveReport::merge(scrapeInstances(options.operators, routerTimeout));
    if (report.instances == 0)
        return Error { ErrorKind::PeerUnreachable, "no router could be included in the report" + (report.failures.empty() ? "" : "; " + report.failures.front().first + ": " + report.failures.front().second) };
    if (!options.htmlFile.empty()) {
        std::ofstream file(options.htmlFile);
        file << reportPage(report, "Service-level report");
        if (!file.flush())
            return Error { ErrorKind::InvalidSettings, "cannot write " + options.htmlFile };
    }
    std::cout << (options.isJson ? report.toJson().dump(4) : reportText(report)) << '\n';
    return ok();
}

}
