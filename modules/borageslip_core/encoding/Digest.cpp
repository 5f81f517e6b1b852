#include "Digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <span>
#include <stdexcept>

namespace borageslip {

namespace {

    std::string hexadecimal(std::span<const unsigned char> bytes)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(bytes.size() * 2);
        for (const auto byte : bytes) {
            text.push_back(digits[byte >> 4]);
            text.push_back(digits[byte & 15]);
        }
        return text;
    }

    const unsigned char* asBytes(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

}

std::string digestOf(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const auto part : parts)
        text.append(std::to_string(part.size())).append(":").append(part);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    return hexadecimal(std::span(digest).first(length));
}

std::string macOf(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac {};
    unsigned length = 0;
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asBytes(text), text.size(), mac.data(), &length) == nullptr)
        throw std::runtime_error("HMAC-SHA256 is not available");
    return hexadecimal(std::span(mac).first(length));
}

std::string randomIdentity()
{
    std::array<unsigned char, 16> bytes {};
    // A predictable identity could be taken for that of another attempt.
    if (RAND_bytes(bytes.data(), bytes.size()) != 1)
        throw std::runtime_error("no random numbers");
    return hexadecimal(bytes);
}

bool equalsInConstantTime(std::string_view first, std::string_view second)
{
    return first.size() == second.size() && CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::string base64Encode(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), asBytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(length));
    return text;
}

bool base64Decode(std::string_view text, std::string& bytes)
{
    bytes.assign(text.size() / 4 * 3, '\0');
    if (text.empty())
        return true;
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), asBytes(text), static_cast<int>(text.size()));
    if (length < 0)
        return false;
    const size_t padding = text.ends_with("==") ? 2 : static_cast<size_t>(text.ends_with('='));
    bytes.resize(static_cast<size_t>(length) - padding);
    return true;
}

}
