#pragma once

#include "SwimMessage.h"

#include <optional>
#include <span>
#include <string>

namespace borageslip {

/** Encodes membership messages as authenticated datagrams and decodes them.

    A datagram is a 16-byte truncated HMAC-SHA256 followed by a CBOR array. Datagrams are signed with the signing
    key and accepted under either key, so that keys can be rotated without downtime. Immutable and thread-safe. */
class SwimCodec {
public:
    static constexpr size_t maxDatagram = 1400; ///< In bytes.
    static constexpr size_t tagBytes = 16;

    /** @param acceptedKey second key under which datagrams are accepted; empty for none */
    explicit SwimCodec(std::string signingKey, std::string acceptedKey = {});

    std::vector<uint8_t> encode(const SwimMessage&) const;

    /** Returns nullopt if the datagram is not authentic or has an invalid field. */
    std::optional<SwimMessage> decode(std::span<const uint8_t> datagram) const;

    /** Returns the encoded size in bytes. */
    static size_t sizeOf(const MemberUpdate&);
    static size_t sizeOf(const GossipEntry&);

private:
    bool isAuthentic(std::span<const uint8_t> tag, std::span<const uint8_t> body) const;

    std::string m_signingKey;
    std::string m_acceptedKey;
};

}
