#pragma once

#include <map>
#include <string>
#include <string_view>

namespace borageslip {

/** Header field values, keyed by lower-case name. */
using InnerHeaders = std::map<std::string, std::string, std::less<>>;

/** Returns the value of a header, or a default value if the header is absent. */
inline std::string_view headerOr(const InnerHeaders& headers, std::string_view name, std::string_view defaultValue = {})
{
    const auto found = headers.find(name);
    return found == headers.end() ? defaultValue : std::string_view(found->second);
}

/** A request from one daemon to another (an "inner" request). Always sent as POST. */
struct InnerRequest {
    std::string path;
    InnerHeaders headers;
    std::string body;
};

}
