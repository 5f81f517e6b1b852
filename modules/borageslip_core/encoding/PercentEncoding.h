#pragma once

#include <string>
#include <string_view>

namespace borageslip {

/** Encodes a text for a path or for the value of a query parameter. Letters, digits and the characters "-._~/" remain as they
    are. */
std::string percentEncode(std::string_view text);

/** Decodes percent-encoded bytes. A percent sign that begins none remains as it is, and so does '+'.
    @see percentEncode */
std::string percentDecode(std::string_view text);

}
