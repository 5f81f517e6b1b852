#pragma once

#include <borageslip_core/borageslip_core.h>

#include <string>
#include <vector>

namespace borageslip {

/** Stored configuration, instances and backend servers of a platform, for printing. */
struct PlatformStatus {
    nlohmann::json json;
    std::string text;
    bool isInForceEverywhere = false; ///< Every registered instance runs the stored configuration version.
};

/** Reads the platform's store and requests the metrics of each instance registered there. Blocks.
    @param store address of the store, "ip:port".
    Errors: InvalidSettings if the address is malformed; StoreUnavailable. */
Result<PlatformStatus> platformStatus(const std::string& store);

/** Kinds of files that checkPlatformFile can check. */
enum class PlatformFile {
    DeployFile,
    Settings,
    Configuration,
};

/** Checks the format of a file before it is deployed to the platform.
    @return the problems found; empty if the file is valid. Errors: InvalidSettings if the file cannot be read. */
Result<std::vector<std::string>> checkPlatformFile(PlatformFile, const std::string& file);

}
