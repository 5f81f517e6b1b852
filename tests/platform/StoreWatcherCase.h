#pragma once

#include "../../platform/StoreKeys.h"
#include "../../platform/StoreWatcher.h"
#include "ScriptedStore.h"

#include <borageslip_core/time/ManualClock.h>

#include <nlohmann/json.hpp>

namespace borageslip::platform {

using nlohmann::json;

constexpr std::chrono::seconds caseLimit(6);

inline const std::map<std::string, std::string> s_initial { { "a", "1" }, { "b", "1" } }; ///< Keys of all sources at the begin of a case.

inline StatusResponse withEra(uint64_t era, const json& document)
{
    return { 200, "application/json", document.dump(), { { storeEraHeader, std::to_string(era) } } };
}

inline json row(const std::string& key, const std::string& bytes, uint64_t revision)
{
    return { { "key", key }, { "value", base64Encode(bytes) }, { "revision", revision } };
}

/** Records what a watcher reports. */
class RecordingListener final : public StoreWatcher::Listener {
public:
    explicit RecordingListener(std::vector<StoreSource> sourcesToUse)
        : sources(std::move(sourcesToUse))
    {
    }

    void keyWritten(std::string_view key, std::string_view bytes) override { values[std::string(key)] = bytes; }
    void keyRemoved(std::string_view key, bool isAfterOutage) override
    {
        values.erase(std::string(key));
        mayReturn[std::string(key)] = isAfterOutage;
    }
    void storeRestored(uint64_t era) override { eras.push_back(era); }
    void keyRestored(std::string_view key, std::string_view bytes) override { values[std::string(key)] = bytes; }
    bool isNewer(std::string_view, std::string_view, std::string_view) const override { return false; }
    void synchronised(TimePoint) override { ++synchronisations; }
    std::vector<StoreSource> storeSources() const override { return sources; }

    std::vector<StoreSource> sources;
    std::map<std::string, std::string> values;
    std::map<std::string, bool> mayReturn;
    std::vector<uint64_t> eras;
    int synchronisations = 0;
};

/** Keys of a store or of an instance that serves them. */
class KeyStore {
public:
    explicit KeyStore(boost::asio::io_context& context)
        : store(context, [this](const std::string& target) { return respond(target); })
    {
    }

    void set(uint64_t newEra, uint64_t asOf, json newItems)
    {
        era = newEra;
        revision = asOf;
        items = std::move(newItems);
    }

    uint64_t era = 1;
    uint64_t revision = 100;
    json items = json::array();
    bool changesEraBetweenPages = false;
    bool isFailing = false; ///< Answers 503.
    bool refusesRanges = false; ///< Answers 410 to reads of all keys.
    std::string refusedPrefix; ///< Answers 400 to calls for this prefix, unless it is empty.
    json changes = json::array(); ///< Events that it still has of revisions before the present one.
    uint64_t heldAfter = 0; ///< The revision after which it states to hold all changes; 0 if it states none.
    int64_t ageMs = 0; ///< Of the keys, as the answers to watches state it.
    std::function<void()> callHandler; ///< Called at the beginning of each call.
    ScriptedStore store;

private:
    StatusResponse respondToWatch(const std::string& target) const
    {
        const bool isUpToDate = target.find("after=" + std::to_string(revision)) != std::string::npos;
        if (isUpToDate || !changes.empty())
            return withEra(era, { { "events", isUpToDate ? json::array() : changes }, { "as_of", revision }, { "confirmed_age_ms", ageMs } });
        StatusResponse gone { 410, {}, {}, { { storeEraHeader, std::to_string(era) } } };
        if (heldAfter != 0)
            gone.fields.emplace_back(changesHeldAfterHeader, std::to_string(heldAfter));
        return gone;
    }

    StatusResponse respond(const std::string& target)
    {
        if (callHandler)
            callHandler();
        if (isFailing)
            return { 503 };
        if (!refusedPrefix.empty() && target.find("path_prefix=" + refusedPrefix) != std::string::npos)
            return { 400 };
        const bool isRange = target.find("kv-range") != std::string::npos;
        if (isRange && refusesRanges)
            return { 410 };
        if (!isRange)
            return respondToWatch(target);
        const bool isFirstOfTwo = changesEraBetweenPages && target.find("after=") == std::string::npos;
        auto page = json { { "items", items }, { "as_of", revision }, { "more_pages", isFirstOfTwo } };
        const auto stated = era;
        if (isFirstOfTwo) {
            changesEraBetweenPages = false;
            set(era + 1, 50, json::array({ row("new", "2", 40) }));
        }
        return withEra(stated, page);
    }
};

/** A watcher that reads its keys from a store and, if wanted, from instances before it. */
struct WatcherCase {
    /** What the watcher reads from. */
    enum class Sources {
        Store,
        Reader, ///< Or the store, if that fails.
        TwoReaders, ///< Or the store, if both fail.
    };

    explicit WatcherCase(Sources sources = Sources::Store)
        : listener(endpointsOf(sources))
    {
        for (auto* keys : { &store, &reader, &secondReader })
            keys->set(1, 100, json::array({ row("a", "1", 90), row("b", "1", 95) }));
    }

    bool hasValues(const std::map<std::string, std::string>& expected)
    {
        return runUntil(context, caseLimit, [&] { return listener.values == expected; });
    }

    boost::asio::io_context context;
    ManualClock clock;
    StoreEras eras { clock };
    StoreCallCounts counts;
    KeyStore store { context };
    KeyStore reader { context };
    KeyStore secondReader { context };
    RecordingListener listener;
    StoreWatcher watcher { clock, context.get_executor(), store.store.endpoint(), counts, eras, listener };

private:
    std::vector<StoreSource> endpointsOf(Sources sources)
    {
        std::vector<StoreSource> endpoints;
        if (sources != Sources::Store)
            endpoints.emplace_back(reader.store.endpoint());
        if (sources == Sources::TwoReaders)
            endpoints.emplace_back(secondReader.store.endpoint());
        endpoints.emplace_back(std::nullopt);
        return endpoints;
    }
};

}
