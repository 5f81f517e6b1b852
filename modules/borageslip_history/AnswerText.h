#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace borageslip {

/** Returns token `index` of the response that the stand-in engine generates for a request.

    The text depends only on the seed, so a checker can detect a truncated response or one that belongs to another request. */
std::string answerToken(std::string_view answerSeed, size_t index);

/** Returns the first `tokens` tokens of the response for this seed. @see answerToken */
std::string answerText(std::string_view answerSeed, size_t tokens);

/** Returns a 64-bit digest of a response text as 16 hexadecimal digits, for comparison in histories. */
std::string answerDigest(std::string_view text);

}
