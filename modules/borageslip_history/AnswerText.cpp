#include "AnswerText.h"

#include <array>
#include <borageslip_core/borageslip_core.h>

namespace borageslip {

namespace {

    constexpr std::string_view digits = "0123456789abcdefghijklmnopqrstuvwxyz";

}

std::string answerToken(std::string_view answerSeed, size_t index)
{
    uint64_t hash = hashBytes(answerSeed, index);
    std::string token = "w     ";
    for (size_t i = 1; i < token.size(); ++i) {
        token[i] = digits[hash % digits.size()];
        hash /= digits.size();
    }
    return token + ' ';
}

std::string answerText(std::string_view answerSeed, size_t tokens)
{
    std::string text;
    for (size_t i = 0; i < tokens; ++i)
        text += answerToken(answerSeed, i);
    return text;
}

std::string answerDigest(std::string_view text)
{
    uint64_t hash = hashBytes(text, 0);
    std::string digest(16, '0');
    for (auto& character : digest) {
        character = digits[hash % 16];
        hash /= 16;
    }
    return digest;
}

}
