#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace borageslip {

/** SHA-256 in hexadecimal over the parts, each preceded by its length, so that no two lists of parts collide. */
std::string digestOf(std::initializer_list<std::string_view> parts);

/** HMAC-SHA256 in hexadecimal. */
std::string macOf(std::string_view key, std::string_view text);

/** 128 random bits in hexadecimal, from the operating system's generator. */
std::string randomIdentity();

/** Compares without a dependence of the time on the content. */
bool equalsInConstantTime(std::string_view, std::string_view);

std::string base64Encode(std::string_view bytes);

/** Returns false for text that is not base64. */
bool base64Decode(std::string_view text, std::string& bytes);

}
