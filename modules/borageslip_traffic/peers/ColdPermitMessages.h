#pragma once

#include <borageslip_core/errors/Result.h>

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace borageslip {

/** Sent to the holder of a quota share to request a permit for one request to a cold server. */
struct ColdPermitRequest {
    std::string sender;
    uint64_t sequence = 0; ///< Not used again by the sender, also after a restart.
    std::string service;
    std::vector<uint64_t> servers; ///< Hashes, in order of preference.

    bool operator==(const ColdPermitRequest&) const = default;
};

struct ColdPermitReply {
    std::string sender;
    uint64_t sequence = 0; ///< Of the request.
    uint64_t server = 0; ///< Hash of the server for which the request may be used; 0 if there is no permit.
    std::chrono::milliseconds nextIn { 0 }; ///< Without a permit: time until the holder may have one.

    bool operator==(const ColdPermitReply&) const = default;
};

/** Sent to all instances by one that has observed that a server is cold. */
struct ColdServerNotice {
    std::string sender;
    uint64_t server = 0;
    std::chrono::milliseconds left { 0 }; ///< Zero if the server was not reachable.

    bool operator==(const ColdServerNotice&) const = default;
};

std::vector<uint8_t> encodeColdPermitRequest(const ColdPermitRequest&);
std::vector<uint8_t> encodeColdPermitReply(const ColdPermitReply&);
std::vector<uint8_t> encodeColdServerNotice(const ColdServerNotice&);

/** Decode a CBOR array whose first element is the message kind below. Errors: InvalidMessage when it is not a valid
    message of that kind. */
Result<ColdPermitRequest> coldPermitRequestFrom(const nlohmann::json&);
Result<ColdPermitReply> coldPermitReplyFrom(const nlohmann::json&);
Result<ColdServerNotice> coldServerNoticeFrom(const nlohmann::json&);

constexpr int coldPermitRequestKind = 20;
constexpr int coldPermitReplyKind = 21;
constexpr int coldServerNoticeKind = 22;

}
