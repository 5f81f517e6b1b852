#include <borageslip_core/borageslip_core.h>

#include <catch2/catch.hpp>

using namespace borageslip;

TEST_CASE("any bytes survive percent-encoding, in characters that a request line may have")
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte)
        bytes += static_cast<char>(byte);
    const auto encoded = percentEncode(bytes);
    CHECK(percentDecode(encoded) == bytes);
    const auto mayStand = [](char character) { return character > ' ' && character < '\x7f' && std::string_view("&+#=?;\"\\").find(character) == std::string_view::npos; };
    CHECK(std::all_of(encoded.begin(), encoded.end(), mayStand));
    CHECK(percentEncode(std::string(3, '\0')) == "%00%00%00");
    CHECK(percentEncode("%41 b") == "%2541%20b");
}

TEST_CASE("a slash remains, also at the ends and in series")
{
    CHECK(percentEncode("op/config") == "op/config");
    CHECK(percentEncode("/a//b c/") == "/a//b%20c/");
    CHECK(percentEncode("/") == "/");
    CHECK(percentEncode("").empty());
}

TEST_CASE("decoding leaves what is not encoded")
{
    for (const auto* text : { "", "%", "%4", "a%zz", "100%", "%%", "a+b", "&=#?;" })
        CHECK(percentDecode(text) == text);
    CHECK(percentDecode("%2F%2f%%41") == "//%A");
}
