#include "Cbor.h"

namespace borageslip {

nlohmann::json parseCbor(std::span<const uint8_t> bytes)
{
    try {
        return nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const nlohmann::json::exception&) {
        // An announced size over the address space is thrown even where exceptions are switched off.
        return nlohmann::json::value_t::discarded;
    }
}

nlohmann::json parseCbor(std::string_view bytes)
{
    return parseCbor(std::span(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()));
}

}
