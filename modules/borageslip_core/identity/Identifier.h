#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>

namespace borageslip {

/** A name of one kind of thing, so that an engine's name cannot be passed for a model's. */
template <typename Tag>
class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string_view text)
        : m_text(text)
    {
    }

    const std::string& text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    // clang-tidy 14 takes the zero in rewritten comparisons for a null pointer.
    auto operator<=>(const Identifier&) const = default; // NOLINT(modernize-use-nullptr)

private:
    std::string m_text;
};

using AccountId = Identifier<struct AccountTag>;
using EngineId = Identifier<struct EngineTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
using MemberId = Identifier<struct MemberTag>;
using ModelId = Identifier<struct ModelTag>;
using Region = Identifier<struct RegionTag>;
using RequestId = Identifier<struct RequestTag>;
using ServiceId = Identifier<struct ServiceTag>;

}

template <typename Tag>
struct std::hash<borageslip::Identifier<Tag>> {
    size_t operator()(const borageslip::Identifier<Tag>& id) const noexcept { return std::hash<std::string> {}(id.text()); }
};
