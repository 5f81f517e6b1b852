#pragma once

#include <borageslip_core/borageslip_core.h>

#include <string>
#include <vector>

namespace borageslip {

/** How far the configuration of a platform's store is in force. */
struct PlatformStatus {
    nlohmann::json json;
    std::string text;
    bool isInForceEverywhere = false;
};

/** Reads the platform's store and asks each listed instance for its metrics.
    Errors: InvalidSettings for a malformed address, StoreUnavailable. */
Result<PlatformStatus> platformStatus(const std::string& store);

/** A file whose format the platform defines. */
enum class PlatformFile {
    DeployFile,
    Settings,
    Configuration,
};

/** Checks a file before the platform sees it.
    @return what is wrong, empty when nothing is. Errors: InvalidSettings when the file cannot be read. */
Result<std::vector<std::string>> checkPlatformFile(PlatformFile, const std::string& file);

}
