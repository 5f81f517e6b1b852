#include "PercentEncoding.h"

#include <openssl/crypto.h>

namespace borageslip {

namespace {

    constexpr std::string_view unencodedMarks = "-._~/";

    bool isUnencoded(char character)
    {
        const bool isDigit = character >= '0' && character <= '9';
        const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        return isDigit || isLetter || unencodedMarks.find(character) != std::string_view::npos;
    }

}

// Not by cpp-httplib, which the instances on the users' platform do not load otherwise: it would add to their memory.
std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (isUnencoded(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    constexpr size_t encodedSize = 3; // A percent sign and two digits.
    std::string decoded;
    while (!text.empty()) {
        const bool maybeEncoded = text.front() == '%' && text.size() >= encodedSize;
        const int high = maybeEncoded ? OPENSSL_hexchar2int(static_cast<unsigned char>(text[1])) : -1;
        const int low = maybeEncoded ? OPENSSL_hexchar2int(static_cast<unsigned char>(text[2])) : -1;
        const bool isEncoded = high >= 0 && low >= 0;
        decoded += isEncoded ? static_cast<char>(high << 4 | low) : text.front();
        text.remove_prefix(isEncoded ? encodedSize : 1);
    }
    return decoded;
}

}
