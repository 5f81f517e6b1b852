#include <borageslip_core/encoding/Cbor.h>

#include <catch2/catch.hpp>
#include <random>

using namespace borageslip;

TEST_CASE("bytes from a peer that announce a size over the address space are no CBOR and end no process")
{
    // An array, a text and a map, each of 2^64 - 1 items; nlohmann_json throws here although exceptions are off.
    for (const uint8_t type : { 0x9b, 0x7b, 0xbb }) {
        std::vector<uint8_t> bytes(9, 0xff);
        bytes[0] = type;
        CHECK(parseCbor(bytes).is_discarded());
    }
    CHECK(parseCbor(std::string_view()).is_discarded());
    CHECK(parseCbor(std::string_view("\x82\x01\x02")) == nlohmann::json::array({ 1, 2 }));
}

TEST_CASE("random bytes never throw from the CBOR parser")
{
    std::minstd_rand random(5);
    for (int round = 0; round < 20'000; ++round) {
        std::vector<uint8_t> bytes(random() % 40);
        for (auto& byte : bytes)
            byte = static_cast<uint8_t>(random());
        CHECK_NOTHROW(parseCbor(bytes));
    }
}
