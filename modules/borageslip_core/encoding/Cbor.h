#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

namespace borageslip {

/** Decodes CBOR from a peer. Returns a discarded value for bytes that are no CBOR; never throws. */
nlohmann::json parseCbor(std::span<const uint8_t>);
nlohmann::json parseCbor(std::string_view);

}
