#include <borageslip_daemon/borageslip_daemon.h>

#include <catch2/catch.hpp>

using namespace borageslip;

TEST_CASE("load sums on inner headers arrive unchanged, and malformed ones are rejected")
{
    GossipEntry entry;
    entry.member = MemberId("entry-1");
    entry.version = 1796358738298ULL;
    entry.payload = { 0, 255, 32, 10, 7 };
    const auto decoded = decodeLoadHeader(encodeLoadHeader(entry));
    REQUIRE(isOk(decoded));
    CHECK(value(decoded).member == entry.member);
    CHECK(value(decoded).version == entry.version);
    CHECK(value(decoded).payload == entry.payload);
    CHECK(value(decoded).slot == GossipSlot::Load);
    const std::string tooLong = "a " + std::string(400, 'A') + " 1";
    for (const std::string& text : std::vector<std::string> { "", " ", "a", "a 1", "a AAAA x", " AAAA 1", "a !! 1", "a AAAA -1", "a AAAA 1x", "a AAAA ", tooLong }) {
        INFO(text);
        CHECK_FALSE(isOk(decodeLoadHeader(text)));
    }
}

TEST_CASE("the header of a home without engines does not begin or end with a space, which HTTP/2 forbids")
{
    GossipEntry entry;
    entry.member = MemberId("entry-1");
    entry.version = 3;
    const auto text = encodeLoadHeader(entry);
    CHECK_FALSE(text.starts_with(' '));
    CHECK_FALSE(text.ends_with(' '));
    REQUIRE(isOk(decodeLoadHeader(text)));
    CHECK(value(decodeLoadHeader(text)).payload.empty());
}
