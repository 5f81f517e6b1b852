#pragma once

#include "../quarantine/PromptQuarantine.h"

#include <borageslip_core/errors/Result.h>
#include <borageslip_scheduling/placement/MemoryUsage.h>
#include <borageslip_scheduling/placement/ServerUsage.h>

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** Outcomes of one instance's requests at one backend server: totals since the instance first knew the server, or
    increases. */
struct ServerOutcomes {
    uint64_t server = 0; ///< Hash of the server's id.
    uint32_t answers = 0;
    uint32_t failures = 0;

    bool operator==(const ServerOutcomes&) const = default;
};

/** What a backend server has said of its rate limit, as known to the sender. */
struct RateLimitRow {
    uint64_t server = 0; ///< Hash of the server's id.
    double perSecond = 0; ///< 0: it names no limit any more.
    std::chrono::milliseconds age { 0 }; ///< Since the response that said so.

    bool operator==(const RateLimitRow&) const = default;
};

/** Sent to all instances by one at which a response has named another rate limit, or none any more. */
struct RateLimitsNotice {
    std::string sender;
    std::vector<RateLimitRow> limits;

    bool operator==(const RateLimitsNotice&) const = default;
};

constexpr int rateLimitsNoticeKind = 10;

std::vector<uint8_t> encodeRateLimitsNotice(const RateLimitsNotice&);

/** Decodes a CBOR array whose first element is rateLimitsNoticeKind. Errors: InvalidMessage. */
Result<RateLimitsNotice> rateLimitsNoticeFrom(const nlohmann::json&);

/** What a response of a backend server to the sender has stated of its speed. */
struct SlownessRow {
    uint64_t server = 0; ///< Hash of the server's id.
    int percent = 0; ///< Time that work takes there; 100: as usual.
    std::chrono::milliseconds age { 0 }; ///< Since the response.

    bool operator==(const SlownessRow&) const = default;
};

/** State that an instance sends periodically to all others, in one datagram. */
struct PeerReport {
    std::string sender;
    uint64_t incarnation = 0; ///< Identifies the sender's process; increases with each start.
    uint64_t sequence = 0; ///< Increases with each message of the process.
    bool acceptsCallers = false; ///< Whether callers may be directed to the sender.
    std::vector<ServerUsage> usages; ///< Of the backend servers at which the sender has requests.
    std::vector<ServerOutcomes> outcomes {}; ///< Totals of the backend servers at which requests have ended recently.
    std::vector<QuarantinedPrompt> quarantined {}; ///< As known to the sender.
    std::vector<RateLimitRow> rateLimits {}; ///< As known to the sender.
    uint64_t configurationVersion = 0; ///< Of the configuration in force at the sender; 0 for none.
    std::vector<SlownessRow> slowness {}; ///< Of the servers whose responses have stated it since the last report.
    std::optional<std::vector<MemoryUsage>> memory {}; ///< Of the servers at which the sender has requests; absent if it doesn't count memory.

    bool operator==(const PeerReport&) const = default;
};

/** Sent to all instances by one that has read a new configuration or a change of the evacuations from the store. */
struct ConfigurationNotice {
    std::string sender;
    uint64_t version = 0;
    uint64_t evacuationRevision = 0; ///< Store revision of the latest change of the evacuations; 0 if the notice is of a configuration.

    bool operator==(const ConfigurationNotice&) const = default;
};

constexpr int configurationNoticeKind = 9;

std::vector<uint8_t> encodeConfigurationNotice(const ConfigurationNotice&);

/** Decodes a CBOR array whose first element is configurationNoticeKind. Errors: InvalidMessage. */
Result<ConfigurationNotice> configurationNoticeFrom(const nlohmann::json&);

/** Encodes a report as a CBOR array. */
std::vector<uint8_t> encodePeerReport(const PeerReport&);

/** Decodes a report. Errors: InvalidMessage when the bytes are not a valid report. */
Result<PeerReport> decodePeerReport(std::span<const uint8_t>);

}
