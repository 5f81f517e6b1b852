#pragma once

#include <borageslip_configuration/borageslip_configuration.h>

namespace borageslip {

/** Returns a configuration with one model on three engines, one service, and the accounts "a" and "b" with the bearer keys
    "key-a" and "key-b". */
inline nlohmann::json sampleDocument()
{
    auto document = nlohmann::json::parse(R"({
        "models": { "large": { "version": "1", "engines": ["e1", "e2", "e3"], "minimum_engines": 2 } },
        "engines": {
            "e1": { "address": "10.0.0.1:80", "slots": 8, "region": "r" },
            "e2": { "address": "10.0.0.2:80", "slots": 8, "region": "r", "checks_fencing": true },
            "e3": { "address": "10.0.0.3:80", "slots": 8, "region": "r" } },
        "services": { "booking": { "addresses": ["10.0.0.9:80"], "routes": [
            { "method": "POST", "path_prefix": "/swaps", "idempotent": false },
            { "method": "POST", "path_prefix": "/swaps/quote", "idempotent": true },
            { "method": "GET", "path_prefix": "/charge", "idempotent": false } ] } },
        "accounts": { "a": { "key_sha256": [], "models": ["large"] }, "b": { "key_sha256": [], "services": ["booking"] } }
    })");
    document["accounts"]["a"]["key_sha256"].push_back(sha256Hex("key-a"));
    document["accounts"]["b"]["key_sha256"].push_back(sha256Hex("key-b"));
    return document;
}

}
