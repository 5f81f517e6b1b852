#include "../../platform/PlatformProtocol.h"
#include "../../platform/StoreDocuments.h"
#include "../../platform/StoreKeys.h"
#include "../../platform/StoreRefresher.h"
#include "ScriptedStore.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace borageslip;
using namespace borageslip::platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

using nlohmann::json;

std::string configurationText(uint64_t version)
{
    return json { { "version", version }, { "backends", json::array() }, { "routes", json::array() } }.dump();
}

/** The configuration of a store or of an instance, at one revision. */
class ConfigurationSource {
public:
    ConfigurationSource(asio::io_context& context, uint64_t initialEra, uint64_t initialVersion)
        : era(initialEra)
        , version(initialVersion)
        , store(context, [this](const std::string& target) { return respond(target); })
    {
    }

    uint64_t era;
    uint64_t version;
    ScriptedStore store;

private:
    static constexpr uint64_t revision = 50;

    StatusResponse respond(const std::string& target) const
    {
        const bool isOfOtherEra = target.find("&era=") != std::string::npos && target.find("&era=" + std::to_string(era)) == std::string::npos;
        if (isOfOtherEra)
            return { 410, {}, {}, { { storeEraHeader, std::to_string(era) } } };
        const bool isRange = target.find("kv-range") != std::string::npos;
        auto items = json::array();
        if (isRange)
            items.push_back({ { "key", configurationKey }, { "value", base64Encode(configurationText(version)) }, { "revision", revision } });
        const json document { { isRange ? "items" : "events", std::move(items) }, { "as_of", revision } };
        return { 200, "application/json", document.dump(), { { storeEraHeader, std::to_string(era) } } };
    }
};

/** An instance that has read version 7 from the store in its era 2, and that hears of version 8 from another one. */
class ReaderCase final : private StoreWatcher::Listener, private StoreRefresher::Host {
public:
    ReaderCase()
    {
        m_watcher.start();
        REQUIRE(runUntil(context, 3s, [this] { return engine.configurationVersion() == 7; }));
        reader.start();
    }

    asio::io_context context;
    SystemClock clock;
    ConfigurationSource storeSource { context, 2, 7 };
    ConfigurationSource other { context, 2, 8 };

private:
    static TrafficSettings settings()
    {
        TrafficSettings traffic;
        traffic.maxConfigurationAge = 1500ms;
        return traffic;
    }

    void keyWritten(std::string_view key, std::string_view bytes) override
    {
        if (key == configurationKey)
            engine.setConfiguration(std::make_shared<const TrafficConfiguration>(value(parseConfiguration(bytes))));
    }
    void keyRemoved(std::string_view, bool) override { }
    void storeRestored(uint64_t) override { }
    void keyRestored(std::string_view key, std::string_view bytes) override { keyWritten(key, bytes); }
    bool isNewer(std::string_view, std::string_view, std::string_view) const override { return false; }
    void synchronised(TimePoint knownAt) override { engine.confirmConfiguration(knownAt); }
    std::vector<StoreSource> storeSources() const override { return { std::nullopt }; }
    size_t instanceCount() const override { return 2; }

    PlatformProtocol m_protocol;
    StoreCallCounts m_counts;

public:
    TrafficEngine engine { clock, context.get_executor(), m_protocol, settings() };
    StoreEras eras { clock };

private:
    StoreWatcher m_watcher { clock, context.get_executor(), storeSource.store.endpoint(), m_counts, eras, *this };

public:
    StoreRefresher reader { engine, m_watcher, { "own", storeSource.store.endpoint(), 2000ms, 2000ms, 0 }, m_counts, eras, *this };
};

}

// Guards against an instance that started after the return and keeps the older configuration of the copy, at whose revision
// the others keep the newer one: a revoked key would be accepted.
TEST_CASE("a newer configuration that another instance has kept is read from it")
{
    ReaderCase test;
    test.reader.recordAnnouncement(test.other.store.endpoint(), 8);
    CHECK(runUntil(test.context, 4s, [&] { return test.engine.configurationVersion() == 8; }));
    CHECK(test.other.store.count("kv-range") >= 1);
}

// Guards against a configuration of an earlier era that an instance takes from another one after the change, and that it
// regards as confirmed.
TEST_CASE("a configuration of an earlier era is not applied")
{
    ReaderCase test;
    test.other.era = 1;
    test.reader.recordAnnouncement(test.other.store.endpoint(), 8);
    CHECK(runUntil(test.context, 4s, [&] { return test.other.store.count("kv-") >= 2; }));
    test.context.run_for(300ms);
    CHECK(test.engine.configurationVersion() == 7);
    // The announcement is forgotten at the next change, so that no further reads are due.
    test.storeSource.era = 3;
    CHECK(runUntil(test.context, 3s, [&] { return test.eras.current() == 3; }));
    CHECK(test.reader.newestAnnounced() == 0);
}
