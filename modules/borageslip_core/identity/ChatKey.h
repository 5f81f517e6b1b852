#pragma once

#include "Hash.h"
#include "Identifier.h"

namespace borageslip {

/** Identity of a chat: a hash of the account and of the key that the caller gave. */
struct ChatKey {
    uint64_t hash = 0;

    static ChatKey of(const AccountId& account, std::string_view callerKey) { return { hashBytes(callerKey, hashBytes(account.text())) }; }

    auto operator<=>(const ChatKey&) const = default;
};

}

template <>
struct std::hash<borageslip::ChatKey> {
    size_t operator()(borageslip::ChatKey key) const noexcept { return key.hash; }
};
