#include "LoadMix.h"

namespace borageslip {

namespace {

    LoadMix::Range range(const nlohmann::json& object, const char* name, LoadMix::Range fallback)
    {
        const auto found = object.find(name);
        if (found == object.end())
            return fallback;
        return { found->at(0).get<double>(), found->at(1).get<double>() };
    }

    LoadMix::RequestClass requestClass(const nlohmann::json& object)
    {
        LoadMix::RequestClass result;
        result.name = object.at("name").get<std::string>();
        result.kind = object.at("kind") == "chat" ? LoadMix::Kind::Chat : LoadMix::Kind::Service;
        result.weight = object.at("weight").get<double>();
        result.model = object.value("model", "");
        result.priority = object.value("priority", result.priority);
        result.isStreamed = object.value("stream", result.isStreamed);
        result.promptTokens = range(object, "prompt_tokens", { 50, 200 });
        result.maxTokens = range(object, "max_tokens", { 32, 64 });
        result.turns = range(object, "turns", { 1, 1 });
        result.pauseSeconds = range(object, "pause_s", { 10, 60 });
        result.stragglerPercent = object.value("straggler_percent", result.stragglerPercent);
        result.stragglerFactor = object.value("straggler_factor", result.stragglerFactor);
        result.service = object.value("service", "");
        result.method = object.value("method", "POST");
        result.path = object.value("path", "/");
        result.isIdempotent = object.value("idempotent", result.isIdempotent);
        result.repeatPercent = object.value("repeat_percent", result.repeatPercent);
        return result;
    }

}

LoadMix loadMixFromJson(const nlohmann::json& document)
{
    LoadMix mix;
    mix.name = document.at("name").get<std::string>();
    mix.arrivalsPerSecond = document.at("arrivals_per_second").get<double>();
    for (const auto& account : document.at("accounts"))
        mix.accounts.push_back({ account.at("name"), account.at("key"), account.value("share", 1.0) });
    for (const auto& object : document.at("classes"))
        mix.classes.push_back(requestClass(object));
    for (const auto& step : document.value("profile", nlohmann::json::array()))
        mix.profile.push_back({ step.at("at_s"), step.at("factor"), step.value("account", "") });
    return mix;
}

}
