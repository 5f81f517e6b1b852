#pragma once

#include <borageslip_core/borageslip_core.h>
#include <string>
#include <vector>

namespace borageslip {

/** Options of the report command. */
struct ReportOptions {
    std::vector<std::string> operators; ///< Operator addresses of the routers, "ip:port".
    std::string htmlFile; ///< File for the HTML page; empty to write none.
    bool isJson = false; ///< Prints JSON instead of text.
};

/** Prints the service-level report of the routers to standard output and optionally writes it as an HTML page. Blocks.
    Errors: PeerUnreachable if no router could be included; InvalidSettings if the page cannot be written. */
Status printReport(const ReportOptions&);

}
