#include <borageslip_request/borageslip_request.h>

#include <catch2/catch.hpp>

using namespace borageslip;

TEST_CASE("chunks whose id is the request id prefixed with chatcmpl- are not dropped as another request's")
{
    StreamChunk chunk;
    chunk.id = "chatcmpl-r1";
    CHECK(isChunkOf(chunk, "r1"));
    CHECK(isChunkOf(chunk, "chatcmpl-r1"));
    CHECK_FALSE(isChunkOf(chunk, "r2"));
    chunk.id = "r1";
    CHECK(isChunkOf(chunk, "r1"));
    CHECK_FALSE(isChunkOf(chunk, "chatcmpl-r1"));
    chunk.id = "chatcmpl-";
    CHECK_FALSE(isChunkOf(chunk, "r1"));
}
