#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <catch2/catch.hpp>
#include <cmath>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

/** Protocol without any header fields; the test passes the key to the engine directly. */
class KeyOnlyProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields&) const override { return {}; }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override { return {}; }
};

constexpr Duration keyLifetime = 3s;
constexpr Duration step = 1s;

TrafficConfigurationPtr configurationOf(uint64_t version, bool hasKey)
{
    Route route;
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/a/";
    route.services.push_back({ "pool", 1 });
    Route open = route;
    open.pathPrefix = "/open/";
    open.allowsAnonymous = true;
    const std::vector<std::string> keys = hasKey ? std::vector<std::string> { "key", "other" } : std::vector<std::string> { "other" };
    auto built = TrafficConfigurationBuilder().setVersion(version).addService({ "pool" }).addRoute(route).addRoute(open).addAccount({ "account", 1 }, keys).build();
    return std::make_shared<const TrafficConfiguration>(value(std::move(built)));
}

/** Events between an instance, the store and the operator. */
enum class Event {
    OperatorRevokes, ///< The operator revokes the key, and the store acknowledges it.
    OperatorRestores,
    InstanceReads, ///< The instance reads the newest configuration from the store.
    StaleConfigurationArrives, ///< A delayed store response with the first version arrives.
    TimePasses,
};
constexpr std::array allEvents { Event::OperatorRevokes, Event::OperatorRestores, Event::InstanceReads, Event::StaleConfigurationArrives, Event::TimePasses };

/** Model of one instance and the store, driven by a sequence of events. */
class RevocationModel {
public:
    RevocationModel()
        : m_engine(m_clock, m_context.get_executor(), m_protocol, settings())
    {
        m_engine.setConfiguration(configurationOf(1, true));
        m_engine.confirmConfiguration(m_clock.now());
    }

    void apply(Event event)
    {
        switch (event) {
        case Event::OperatorRevokes:
        case Event::OperatorRestores:
            change(event == Event::OperatorRestores);
            break;
        case Event::InstanceReads:
            m_engine.setConfiguration(configurationOf(m_version, m_hasKey));
            m_engine.confirmConfiguration(m_clock.now());
            break;
        case Event::StaleConfigurationArrives:
            m_engine.setConfiguration(configurationOf(1, true));
            break;
        case Event::TimePasses:
            m_clock.advance(step);
            break;
        }
    }

    void check()
    {
        const auto admitted = admit("/a/x", "key");
        const auto version = m_engine.configuration()->version();
        REQUIRE(version >= m_seenVersion);
        m_seenVersion = version;
        const bool mustRejectKey = !m_hasKey && m_clock.now() - m_changedAt >= keyLifetime;
        if (mustRejectKey)
            REQUIRE_FALSE(isOk(admitted));
        const bool neverRevoked = m_version == 1;
        if (neverRevoked && !isOk(admitted))
            REQUIRE(error(admitted).kind == ErrorKind::StoreUnavailable);
        checkAnonymousRoute(isOk(admitted), neverRevoked);
    }

private:
    Result<AdmittedRequest> admit(std::string_view path, std::string key) const
    {
        RequestMetadata metadata;
        metadata.key = std::move(key);
        HttpRequest request;
        request.set(boost::beast::http::field::host, "h");
        request.target({ path.data(), path.size() });
        return m_engine.admit(request, metadata);
    }

    void checkAnonymousRoute(bool isKeyAccepted, bool neverRevoked) const
    {
        const auto withKey = admit("/open/x", "key");
        // With a key that cannot be verified, the request is for nobody else's account, nor for none.
        REQUIRE(isOk(withKey) == m_engine.canAcceptKeys());
        if (!isOk(withKey))
            REQUIRE(error(withKey).kind == ErrorKind::StoreUnavailable);
        else
            REQUIRE(value(withKey).account == (isKeyAccepted ? "account" : ""));
        if (neverRevoked && isOk(withKey))
            REQUIRE((value(withKey).account == "account" && value(withKey).requestPriority().account == 1 && !value(withKey).isKeyUnknown));
        const auto withUnknownKey = admit("/open/x", "unknown");
        REQUIRE(isOk(withUnknownKey) == m_engine.canAcceptKeys());
        if (isOk(withUnknownKey))
            REQUIRE((value(withUnknownKey).account.empty() && value(withUnknownKey).isKeyUnknown));
        const auto withoutKey = admit("/open/x", "");
        REQUIRE((isOk(withoutKey) && value(withoutKey).account.empty() && !value(withoutKey).isKeyUnknown));
    }

    static TrafficSettings settings()
    {
        TrafficSettings settings;
        settings.keyLifetime = keyLifetime;
        return settings;
    }

    void change(bool hasKey)
    {
        ++m_version;
        if (m_hasKey != hasKey)
            m_changedAt = m_clock.now();
        m_hasKey = hasKey;
    }

    boost::asio::io_context m_context;
    ManualClock m_clock;
    KeyOnlyProtocol m_protocol;
    TrafficEngine m_engine;
    uint64_t m_version = 1;
    uint64_t m_seenVersion = 1;
    bool m_hasKey = true;
    TimePoint m_changedAt {};
};

}

// Guards against requests with a key that run as anonymous ones while keys cannot be verified (UNASKED), besides the rules of
// revoked keys.
TEST_CASE("in every sequence of seven events, no key is accepted beyond the key lifetime after its revocation, and no older configuration replaces a newer one, and no request with a valid key becomes anonymous")
{
    initialiseLog(Severity::Error, "tests");
    constexpr size_t depth = 7;
    size_t explored = 0;
    const auto total = static_cast<size_t>(std::pow(allEvents.size(), depth));
    for (size_t order = 0; order < total; ++order) {
        RevocationModel model;
        auto rest = order;
        for (size_t i = 0; i < depth; ++i) {
            model.apply(allEvents.at(rest % allEvents.size()));
            rest /= allEvents.size();
            model.check();
        }
        ++explored;
    }
    CHECK(explored == 78125);
}
