#pragma once

#include <borageslip_core/borageslip_core.h>
#include <string>
#include <vector>

namespace borageslip {

/** A workload definition: accounts, classes of requests and the arrival rate over time. Schema: schemas/load-mix.schema.json. */
struct LoadMix {
    /** A range for uniformly distributed random values, both ends included. */
    struct Range {
        double low = 0;
        double high = 0;
    };

    struct Account {
        std::string name;
        std::string key;
        double share = 1;
    };

    enum class Kind {
        Chat,
        Service,
    };

    struct RequestClass {
        std::string name;
        Kind kind = Kind::Chat;
        double weight = 1; ///< Relative share of the arrivals; an arrival starts a conversation or a service call.
        std::string model;
        int priority = 5;
        bool isStreamed = true;
        Range promptTokens;
        Range maxTokens;
        Range turns; ///< Number of requests of a chat.
        Range pauseSeconds; ///< Time between the scheduled starts of two turns of a chat.
        double stragglerPercent = 0; ///< Percentage of requests whose `maxTokens` is multiplied by `stragglerFactor`.
        double stragglerFactor = 1;
        std::string service;
        std::string method;
        std::string path;
        bool isIdempotent = true;
        double repeatPercent = 0; ///< Percentage of non-idempotent calls that are sent a second time with the same idempotency key.
    };

    /** A change of the arrival rate's factor at a given time, for one account or for all. */
    struct Step {
        double atSeconds = 0;
        double factor = 1;
        std::string account; ///< Empty: all accounts.
    };

    std::string name;
    double arrivalsPerSecond = 1;
    std::vector<Account> accounts;
    std::vector<RequestClass> classes;
    std::vector<Step> profile;
};

/** Converts a load mix document.

    @param document must have been validated against the schema; a missing or mistyped field throws a JSON exception. */
LoadMix loadMixFromJson(const nlohmann::json& document);

}
