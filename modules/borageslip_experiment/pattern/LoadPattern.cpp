#include "LoadPattern.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace borageslip {

namespace {

    using nlohmann::json;
    using Kind = PatternEvent::Kind;

    constexpr std::array<std::pair<const char*, Kind>, 7> kindNames { {
        { "surge", Kind::Surge },
        { "hot-prefix", Kind::HotPrefix },
        { "crash", Kind::Crash },
        { "slow", Kind::Slow },
        { "failing", Kind::Failing },
        { "give-up", Kind::GiveUp },
        { "retry-at-once", Kind::RetryAtOnce },
    } };

    Duration seconds(const json& number)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(number.get<double>()));
    }

    Duration micros(const json& object, const char* name, Duration fallback)
    {
        return object.contains(name) ? Duration(std::chrono::microseconds(object.at(name).get<int64_t>())) : fallback;
    }

    Duration millis(const json& object, const char* name, Duration fallback = {})
    {
        return object.contains(name) ? Duration(std::chrono::milliseconds(object.at(name).get<int64_t>())) : fallback;
    }

    DrawRange range(const json& pair)
    {
        return { pair.at(0).get<int64_t>(), pair.at(1).get<int64_t>() };
    }

    EngineModelSettings engineFrom(const json& object)
    {
        EngineModelSettings engine;
        engine.slots = object.value("slots", engine.slots);
        engine.cacheTokens = object.value("cache_tokens", engine.cacheTokens);
        engine.stepTime = micros(object, "step_us", engine.stepTime);
        engine.stepTimePerRequest = micros(object, "step_us_per_request", engine.stepTimePerRequest);
        engine.prefillTimePerToken = micros(object, "prefill_us_per_token", engine.prefillTimePerToken);
        engine.prefillChunk = object.value("prefill_chunk", engine.prefillChunk);
        return engine;
    }

    EngineSpeeds speedsFrom(const json& object)
    {
        EngineSpeeds speeds;
        speeds.slowEvery = object.value("slow_every", speeds.slowEvery);
        speeds.slowFactor = object.value("slow_factor", speeds.slowFactor);
        speeds.neighbourShare = object.value("neighbour_share", speeds.neighbourShare);
        speeds.neighbourFactor = object.value("neighbour_factor", speeds.neighbourFactor);
        speeds.neighbourTime = millis(object, "neighbour_ms", speeds.neighbourTime);
        return speeds;
    }

    PatternClass classFrom(const json& object)
    {
        PatternClass result;
        result.name = object.at("name").get<std::string>();
        result.account = object.at("account").get<std::string>();
        result.accountPriority = object.value("account_priority", 0);
        result.priority = object.value("priority", 0);
        result.rate = object.at("rate").get<double>();
        result.promptTokens = range(object.at("prompt_tokens"));
        result.outputTokens = range(object.at("output_tokens"));
        result.prefixes = object.value("prefixes", 1);
        result.prefixTokens = object.value("prefix_tokens", int64_t { 0 });
        result.timeout = millis(object, "timeout_ms");
        result.latencyObjective = millis(object, "latency_objective_ms");
        result.mayRunAgain = object.value("may_run_again", true);
        return result;
    }

    PatternEvent eventFrom(const json& object)
    {
        PatternEvent event;
        const auto* const name = std::find_if(kindNames.begin(), kindNames.end(), [&](const auto& entry) { return object.at("kind") == entry.first; });
        event.kind = name == kindNames.end() ? Kind::Surge : name->second;
        event.start = seconds(object.at("at_s"));
        event.end = event.start + seconds(object.at("seconds"));
        event.factor = object.value("factor", 1.0);
        event.share = object.value("share", 1.0);
        event.giveUpAfter = millis(object, "patience_ms");
        event.requestClass = object.value("class", "");
        event.account = object.value("account", "");
        return event;
    }

    Status check(const LoadPattern& pattern)
    {
        const auto isKnown = [&](const std::string& wanted, auto member) {
            return wanted.empty() || std::any_of(pattern.classes.begin(), pattern.classes.end(), [&](const PatternClass& item) { return item.*member == wanted; });
        };
        for (const auto& event : pattern.events) {
            if (!isKnown(event.requestClass, &PatternClass::name))
                return Error { ErrorKind::InvalidSettings, "events: unknown class \"" + event.requestClass + "\"" };
            if (!isKnown(event.account, &PatternClass::account))
                return Error { ErrorKind::InvalidSettings, "events: unknown account \"" + event.account + "\"" };
        }
        for (const auto& item : pattern.classes) {
            if (item.promptTokens.to < item.promptTokens.from || item.outputTokens.to < item.outputTokens.from)
                return Error { ErrorKind::InvalidSettings, "classes: \"" + item.name + "\" has a range whose upper bound is below its lower bound" };
        }
        return ok();
    }

}

Result<LoadPattern> loadPatternFromJson(const json& document)
{
    LoadPattern pattern;
    pattern.name = document.at("name").get<std::string>();
    pattern.length = seconds(document.at("seconds"));
    pattern.warmUp = seconds(document.value("warm_up_s", json(0)));
    pattern.instances = document.value("instances", pattern.instances);
    pattern.engines = document.value("engines", pattern.engines);
    pattern.reportInterval = millis(document, "report_interval_ms", pattern.reportInterval);
    // The product's interval between reports grows with the fleet, so that an instance receives the same number a second.
    pattern.reportInterval = std::max(pattern.reportInterval, millis(document, "report_interval_ms_per_instance") * pattern.instances);
    pattern.callerShares = document.value("caller_shares", pattern.callerShares);
    pattern.speeds = speedsFrom(document.value("engine_speeds", json::object()));
    pattern.coordinators = { document.contains("coordinator_round_trip_us"), micros(document, "coordinator_round_trip_us", {}) };
    pattern.engine = engineFrom(document.value("engine", json::object()));
    for (const auto& object : document.at("classes"))
        pattern.classes.push_back(classFrom(object));
    for (const auto& object : document.value("events", json::array()))
        pattern.events.push_back(eventFrom(object));
    if (const auto checked = check(pattern); !isOk(checked))
        return error(checked);
    return pattern;
}

}
