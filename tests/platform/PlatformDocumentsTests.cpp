#include <platform/ColdShareDocuments.h>
#include <platform/PlatformProtocol.h>
#include <platform/PlatformSettings.h>
#include <platform/StoreDocuments.h>

#include <borageslip_core/time/ManualClock.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace borageslip;
using namespace borageslip::platform;
using nlohmann::json;

namespace {

json serverEntry()
{
    return { { "backend", "pool" }, { "address", "10.0.0.1:80" }, { "zone", "a" }, { "slots", 6 }, { "state", "ready" }, { "born", 1234 } };
}

json settingsDocument()
{
    return json::parse(R"({"node_name":"n","zone":"a","ip":"10.0.0.1","listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
        "internal_ports":[7340,7355],"limits":{"max_fds":4100},"provider":{"address":"10.0.0.9:8"},
        "bounds":{"grace_s":8,"revoke_fail_closed":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_min_retries":58}})");
}

json configurationDocument()
{
    return json::parse(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","route_type":"streaming","timeout_ms":6000,
        "target_latency_ms":800,"priority":0,"traffic_split":[{"backend":"p","weight":90},{"backend":"q","weight":10}],"max_attempts":2,
        "sticky":true,"stream_resume":true,"gap_target_ms":400}],"backends":[{"name":"p","engine":{"slots":96,"kv_capacity":1000}},{"name":"q"}],
        "limits":{"max_header_bytes":100},"tenants":[{"name":"t","api_keys":["k"],"priority":1}],"unknown":{}})");
}

}

TEST_CASE("a configuration document is parsed into a TrafficConfiguration")
{
    const auto parsed = parseConfiguration(configurationDocument().dump());
    REQUIRE(isOk(parsed));
    const auto& configuration = value(parsed);
    CHECK(configuration.version() == 7);
    const auto* route = configuration.route("h", "/a/x");
    REQUIRE(route != nullptr);
    CHECK(route->kind == RequestKind::Stream);
    CHECK(route->services.size() == 2);
    CHECK(route->isResumable);
    CHECK(route->reusesPrefixes);
    CHECK(configuration.service("p")->engine->slots == 96);
    CHECK(configuration.limits().maxHeaderBytes == 100);
    CHECK(configuration.accountForKey("k")->name == "t");
}

// Guards against every request being let in when the last client account is taken away (ROUTE, CONFIG): an empty list of
// accounts is not the same as no list.
TEST_CASE("an empty list of client accounts puts no key in force, and without the list no request needs a key")
{
    initialiseLog(Severity::Error, "tests");
    boost::asio::io_context context;
    const ManualClock clock;
    const PlatformProtocol protocol;
    RequestMetadata metadata;
    metadata.requestId = "r";
    const auto admit = [&](const json& document, const char* path, std::string key) {
        TrafficEngine engine(clock, context.get_executor(), protocol, {});
        // Instances hand the bytes of a configuration on as they are.
        engine.setConfiguration(std::make_shared<const TrafficConfiguration>(value(parseConfiguration(document.dump()))));
        HttpRequest request;
        request.set(boost::beast::http::field::host, "h");
        request.target(path);
        metadata.key = std::move(key);
        return engine.admit(request, metadata);
    };
    const auto isRefused = [](const Result<AdmittedRequest>& admitted) { return !isOk(admitted) && error(admitted).kind == ErrorKind::Unauthenticated; };
    auto document = configurationDocument();
    auto openRoute = document["routes"][0];
    openRoute["path_prefix"] = "/open/";
    openRoute["allow_anonymous"] = true;
    document["routes"].push_back(openRoute);

    CHECK(value(admit(document, "/a/", "k")).account == "t");
    CHECK(isRefused(admit(document, "/a/", "unknown")));
    CHECK(isRefused(admit(document, "/a/", "")));

    auto noAccounts = document;
    noAccounts["tenants"] = json::array();
    auto noKeys = document;
    noKeys["tenants"][0]["api_keys"] = json::array();
    for (const auto& withoutKeys : { noAccounts, noKeys }) {
        for (const auto* key : { "k", "unknown", "" }) {
            CHECK(isRefused(admit(withoutKeys, "/a/", key)));
            CHECK(value(admit(withoutKeys, "/open/", key)).account.empty());
        }
    }

    auto noList = document;
    noList.erase("tenants");
    for (const auto* key : { "k", "unknown", "" }) {
        CHECK(value(admit(noList, "/a/", key)).account.empty());
        CHECK(value(admit(noList, "/open/", key)).account.empty());
    }

    for (const auto& malformed : { json(nullptr), json::object(), json("t"), json(0) }) {
        document["tenants"] = malformed;
        CHECK_FALSE(isOk(parseConfiguration(document.dump())));
    }
}

// Guards against a name from the store that writes header fields of requests.
TEST_CASE("an entry whose name cannot be the value of a header field is no backend server")
{
    for (const auto* name : { "w-1", "w 1", "w=1&x", "+", "#%41", "\"w\\", "w\xc3\xa4", "w\tb" }) {
        const auto parsed = parseServerEntry(name, serverEntry().dump());
        REQUIRE(isOk(parsed));
        CHECK(value(parsed).id == name);
    }
    const std::vector<std::string> unusable { "", " ", "w ", " w", "\tw", "w\r\nX-A: b", "w\rX-A: b", "w\nb", "w\n", std::string("w\0b", 3), "w\x7f", "w\x1b[2J" };
    for (const auto& name : unusable)
        CHECK_FALSE(isOk(parseServerEntry(name, serverEntry().dump())));
}

// Guards against the same by the name of a client account, and against a configuration that one such name keeps out of force.
TEST_CASE("a client account whose name cannot be the value of a header field is left out")
{
    initialiseLog(Severity::Error, "tests");
    auto document = configurationDocument();
    for (const auto* name : { "t\r\nX-A: b", "t\n", "\x01", " t" }) {
        document["tenants"].push_back(document["tenants"][0]);
        document["tenants"].back()["name"] = name;
        document["tenants"].back()["api_keys"] = { std::string("key of ") + name };
    }
    const auto parsed = parseConfiguration(document.dump());
    REQUIRE(isOk(parsed));
    CHECK(value(parsed).keyCount() == 1);
    CHECK(value(parsed).unusableAccounts().size() == 4);
    CHECK(value(parsed).unusableAccounts()[0] == "t\r\nX-A: b");
    CHECK(value(parsed).accountForKey("k")->name == "t");
    document["tenants"].erase(0);
    const auto withoutAccounts = parseConfiguration(document.dump());
    REQUIRE(isOk(withoutAccounts));
    CHECK(value(withoutAccounts).requiresKeys());
}

// Guards against an evacuation by a malformed value, and against one at a deployment whose settings do not know of it.
TEST_CASE("the documents of an evacuation are parsed, and evacuation is disabled without its setting", "[evacuation]")
{
    CHECK(isOk(parseEvacuation("{}")));
    CHECK(isOk(parseEvacuation(R"({"reason":"power"})")));
    for (const auto* text : { "", "[]", "{", "null", "1", "\"{}\"" })
        CHECK_FALSE(isOk(parseEvacuation(text)));

    auto document = settingsDocument();
    CHECK_FALSE(value(parseSettings(document.dump())).maxEvacuationDelay);
    CHECK(value(parseSettings(document.dump())).maxOperatorDelay() == std::chrono::milliseconds(2000));
    document["bounds"]["evacuate_ms"] = 1500;
    document["zones"] = { { "a", "north" }, { "b", "south" } };
    document["region"] = "north";
    const auto settings = value(parseSettings(document.dump()));
    CHECK(settings.maxEvacuationDelay == std::chrono::milliseconds(1500));
    CHECK(settings.maxOperatorDelay() == std::chrono::milliseconds(1500));
    CHECK(settings.regionOfDomain.at("b") == "south");
    CHECK(settings.region == "north");

    auto configuration = configurationDocument();
    configuration["backends"][0]["cold_start_s"] = 1.5;
    const auto parsed = parseConfiguration(configuration.dump());
    CHECK(value(parsed).service("p")->coldStart == std::chrono::milliseconds(1500));
    CHECK(value(parsed).service("q")->coldStart == std::chrono::milliseconds(0));
}

TEST_CASE("a configuration with a missing field or a field of the wrong type is an error, not a default")
{
    for (const auto* name : { "version", "routes", "backends" }) {
        auto document = configurationDocument();
        document.erase(name);
        CHECK_FALSE(isOk(parseConfiguration(document.dump())));
        document[name] = "text";
        CHECK_FALSE(isOk(parseConfiguration(document.dump())));
    }
    auto unknownKind = configurationDocument();
    unknownKind["routes"][0]["route_type"] = "other";
    CHECK_FALSE(isOk(parseConfiguration(unknownKind.dump())));
}

TEST_CASE("a backend server entry with a missing field, a field of the wrong type or an unknown state is an error")
{
    REQUIRE(isOk(parseServerEntry("i", serverEntry().dump())));
    CHECK(value(parseServerEntry("i", serverEntry().dump())).startedAtMs == 1234);
    for (const auto* name : { "backend", "address", "zone", "slots", "state" }) {
        auto entry = serverEntry();
        entry.erase(name);
        CHECK_FALSE(isOk(parseServerEntry("i", entry.dump())));
        entry[name] = json::array();
        CHECK_FALSE(isOk(parseServerEntry("i", entry.dump())));
    }
    auto entry = serverEntry();
    entry["state"] = "resting";
    CHECK_FALSE(isOk(parseServerEntry("i", entry.dump())));
}

TEST_CASE("settings with a missing field are refused with an error that names it")
{
    REQUIRE(isOk(parseSettings(settingsDocument().dump())));
    CHECK(value(parseSettings(settingsDocument().dump())).revocationFailsClosed);
    for (const auto* name : { "node_name", "zone", "ip", "listen", "internal_ports", "limits", "provider", "bounds" }) {
        auto document = settingsDocument();
        document.erase(name);
        const auto parsed = parseSettings(document.dump());
        REQUIRE_FALSE(isOk(parsed));
        CHECK(error(parsed).kind == ErrorKind::InvalidSettings);
        CHECK(error(parsed).detail.find(name) != std::string::npos);
    }
}

// Guards against a deployment without the contract that is served differently than before, and against one with it that is
// not guarded.
TEST_CASE("the memory of servers is guarded only where the settings' contracts contain pressure")
{
    auto document = settingsDocument();
    CHECK_FALSE(value(parseSettings(document.dump())).guardsServerMemory);
    document["contracts"] = { "base", "drain" };
    CHECK_FALSE(value(parseSettings(document.dump())).guardsServerMemory);
    document["contracts"] = { "base", "pressure" };
    CHECK(value(parseSettings(document.dump())).guardsServerMemory);
    document["contracts"] = "pressure";
    CHECK_FALSE(value(parseSettings(document.dump())).guardsServerMemory);
}

TEST_CASE("parsers of external input accept arbitrary bytes without crashing")
{
    std::minstd_rand random(20261204);
    const std::string texts[] { configurationDocument().dump(), serverEntry().dump(), settingsDocument().dump() };
    for (int round = 0; round < 6000; ++round) {
        auto text = texts[random() % 3];
        for (size_t changes = random() % 6; changes > 0; --changes) {
            const auto position = random() % text.size();
            if (random() % 2 == 0)
                text[position] = static_cast<char>(random());
            else
                text.erase(position, random() % 8);
            if (text.empty())
                break;
        }
        parseConfiguration(text);
        parseServerEntry("i", text);
        parseSettings(text);
        parseMemberRecord("m", text);
    }
    SUCCEED();
}

TEST_CASE("a member record is parsed back into an equal member")
{
    const Member member { "n", "a", { boost::asio::ip::make_address("10.0.0.1"), 5 }, { boost::asio::ip::make_address("10.0.0.1"), 6 }, { boost::asio::ip::make_address("10.0.0.1"), 7 } };
    const auto parsed = parseMemberRecord("n", serializeMemberRecord(member));
    REQUIRE(isOk(parsed));
    CHECK(value(parsed) == member);
}

TEST_CASE("a member record of an earlier release, without a metrics address, can still be parsed")
{
    const auto parsed = parseMemberRecord("n", R"({"failure_domain":"a","caller_address":"10.0.0.1:5","peer_address":"10.0.0.1:6"})");
    REQUIRE(isOk(parsed));
    CHECK(value(parsed).metricsAddress.port() == 0);
}

TEST_CASE("header fields of requests and responses are parsed, and malformed fields are treated as absent")
{
    const PlatformProtocol protocol;
    HttpFields request;
    request.insert("X-Request-Id", "id");
    request.insert("X-Deadline-Ms", "600x");
    request.insert("X-Token-Usage", "1460,80");
    request.insert("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
    const auto facts = protocol.requestMetadata(request);
    CHECK_FALSE(facts.timeLeft);
    CHECK(facts.promptTokens == 1460);
    REQUIRE(facts.promptParts.size() == 2);
    CHECK(facts.promptParts[1].id == 0x91bd3f06);

    HttpFields answer;
    answer.insert("X-Instance-Load", "3,0,8,120");
    const auto stated = protocol.responseMetadata(421, answer);
    CHECK(stated.isMisdirected);
    REQUIRE(stated.load);
    CHECK(stated.load->slownessPercent == 120);
    for (const unsigned status : { 408, 421, 429, 503 })
        CHECK(protocol.responseMetadata(status, answer).hasNotRunStatus);
    for (const unsigned status : { 200, 400, 404, 500, 502, 504 })
        CHECK_FALSE(protocol.responseMetadata(status, answer).hasNotRunStatus);
}

// Guards against a limit for cold servers that is lost on the way from the operator's documents.
TEST_CASE("the figures for cold servers are parsed, and are off by default")
{
    auto document = configurationDocument();
    document["backends"][0]["cold_per_s"] = 18;
    document["backends"][0]["cold_start_s"] = 2.5;
    const auto configuration = parseConfiguration(document.dump());
    REQUIRE(isOk(configuration));
    CHECK(value(configuration).service("p")->coldRequestsPerSecond == 18);
    CHECK(value(configuration).service("p")->coldStart == std::chrono::milliseconds(2500));
    CHECK(value(configuration).service("q")->coldRequestsPerSecond == 0);
    auto settings = settingsDocument();
    settings["bounds"]["cold_overage"] = 1.25;
    settings["bounds"]["cold_slack"] = 7;
    const auto parsed = parseSettings(settings.dump());
    REQUIRE(isOk(parsed));
    CHECK(value(parsed).coldBound.overage == 1.25);
    CHECK(value(parsed).coldBound.slack == 7);
    HttpFields fields;
    CHECK_FALSE(PlatformProtocol().responseMetadata(200, fields).coldTimeLeft);
    fields.set("X-Cold-Ms", "1500");
    CHECK(PlatformProtocol().responseMetadata(200, fields).coldTimeLeft == std::chrono::milliseconds(1500));
}

// Guards against keys of quota shares that another instance does not find, and against markers that are taken for shares.
TEST_CASE("keys and records of quota shares are read as they were written")
{
    const ColdShareId id { "a/b", 7 };
    CHECK(parseColdShareId(coldShareKey(id)) == id);
    CHECK(parseColdShareMarker(coldShareMarkerKey(id)) == id);
    CHECK_FALSE(parseColdShareId(coldShareMarkerKey(id)));
    CHECK_FALSE(parseColdShareMarker(coldShareKey(id)));
    for (const auto* key : { "borageslip/cold/", "borageslip/cold/7", "borageslip/cold/a/", "borageslip/cold/a/-1", "borageslip/cold/a/1x", "servers/a/1" })
        CHECK_FALSE(parseColdShareId(key));
    const ColdShareRecord record { "entry-1", { boost::asio::ip::make_address("10.0.0.1"), 7340 }, "c0ffee" };
    const auto parsed = parseColdShareRecord(serializeColdShareRecord(record));
    REQUIRE(isOk(parsed));
    CHECK(value(parsed).holder == record.holder);
    CHECK(value(parsed).peerAddress == record.peerAddress);
    CHECK(value(parsed).claim == record.claim);
    const auto malformed = parseColdShareKey(coldShareKey(id), "[]", 4);
    REQUIRE(malformed);
    CHECK(malformed->claim.empty());
}
