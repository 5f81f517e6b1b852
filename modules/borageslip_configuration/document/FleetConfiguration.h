#pragma once

#include <borageslip_core/borageslip_core.h>

#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace borageslip {

/** A model and the engines that are assigned to serve it. */
struct ModelSettings {
    ModelId id;
    std::string version;
    std::vector<EngineId> engines;
    size_t minimumEngines = 0;
    uint64_t shortMaxTokens = 256; ///< Requests with at most this many tokens are not in the work class Long.
};

struct EngineSettings {
    EngineId id;
    std::string address; ///< "ip:port".
    Region region;
    FailureDomain failureDomain;
    uint32_t slots = 1;
    double weight = 1;
    bool checksFencing = false; ///< Whether the engine rejects orders with an outdated fencing number.
    std::vector<ModelId> models;
};

struct ServiceRoute {
    std::string method;
    std::string pathPrefix;
    bool isIdempotent = false;
};

struct ServiceSettings {
    ServiceId id;
    std::vector<std::string> addresses;
    std::chrono::milliseconds timeout { 30000 };
    std::vector<ServiceRoute> routes;

    /** Returns whether a call may be repeated. The route of the same method with the longest matching path prefix
        decides; if none matches, GET and HEAD are idempotent. A prefix is matched by whole segments of the path, after
        percent-decoding and without dot segments and query. */
    bool isIdempotent(std::string_view method, std::string_view path) const;
};

struct AccountSettings {
    AccountId id;
    std::optional<double> requestsPerSecond; ///< The account has no rate limit if unset.
    std::optional<double> burst;
    double weight = 1;
    int defaultPriority = 5;
    std::optional<std::vector<ModelId>> models; ///< All models are allowed if unset.
    std::optional<std::vector<ServiceId>> services;

    bool mayUse(const ModelId&) const;
    bool mayUse(const ServiceId&) const;
};

struct LimitSettings {
    double loadBound = 1.25;
    double reservedShortShare = 0.25;
    double guaranteedLongShare = 0.2;
    size_t queueLimit = 64; ///< Maximum number of requests in the queue of one engine.
    double retryShare = 0.1;
    double ejectionShare = 0.3;
    std::chrono::milliseconds livenessTimeout { 10000 };
    std::chrono::seconds directoryTtl { 30 };
};

struct ObjectiveSettings {
    std::string name;
    std::optional<AccountId> account;
    std::optional<int> priority;
    std::optional<std::chrono::milliseconds> firstToken;
    std::optional<std::chrono::milliseconds> betweenTokens;
    double target = 0.95;
};

/** The fleet configuration that operators maintain: parsed, checked against its schema and for unresolved references,
    and immutable. Thread-safe.
    @see ConfigurationHolder, schemas/configuration.schema.json */
class FleetConfiguration {
public:
    using Pointer = std::shared_ptr<const FleetConfiguration>;

    /** Parses a configuration document.
        Errors: InvalidSettings, with the path of every invalid field and every unresolved reference. */
    static Result<Pointer> parse(std::string_view text);
    static Result<Pointer> fromDocument(const nlohmann::json&);

    const std::map<ModelId, ModelSettings>& models() const { return m_models; }
    const std::map<EngineId, EngineSettings>& engines() const { return m_engines; }
    const std::map<ServiceId, ServiceSettings>& services() const { return m_services; }
    const std::map<AccountId, AccountSettings>& accounts() const { return m_accounts; }
    const LimitSettings& limits() const { return m_limits; }
    const std::vector<ObjectiveSettings>& objectives() const { return m_objectives; }

    /** Returns null for an unknown name. The pointer is valid as long as the configuration. */
    const ModelSettings* model(const ModelId&) const;
    const EngineSettings* engine(const EngineId&) const;
    const ServiceSettings* service(const ServiceId&) const;
    const AccountSettings* account(const AccountId&) const;

    /** Returns the account that a bearer key belongs to, or null if the key is unknown. */
    const AccountSettings* accountForKey(std::string_view bearerKey) const;

    /** Identity of the plan that wrote the document; empty if no plan wrote it. */
    const std::string& plan() const { return m_plan; }
    const nlohmann::json& document() const { return m_document; }
    /** The document as canonical JSON: without white space, members sorted by name. */
    const std::string& text() const { return m_text; }
    /** Hash of the canonical text. */
    uint64_t digest() const { return m_digest; }

private:
    struct AccountKey {
        std::string sha256;
        AccountId account;
    };

    FleetConfiguration() = default;

    void parseModels(std::vector<FieldProblem>&);
    void parseEngines(std::vector<FieldProblem>&);
    void parseServices();
    void parseAccounts(std::vector<FieldProblem>&);
    void parseLimits();
    void parseObjectives(std::vector<FieldProblem>&);
    nlohmann::json section(const char* name, const nlohmann::json& fallback) const;

    std::map<ModelId, ModelSettings> m_models;
    std::map<EngineId, EngineSettings> m_engines;
    std::map<ServiceId, ServiceSettings> m_services;
    std::map<AccountId, AccountSettings> m_accounts;
    std::unordered_multimap<uint64_t, AccountKey> m_accountKeys;
    LimitSettings m_limits;
    std::vector<ObjectiveSettings> m_objectives;
    std::string m_plan;
    nlohmann::json m_document;
    std::string m_text;
    uint64_t m_digest = 0;
};

/** Returns the SHA-256 hash as 64 lower-case hex digits. */
std::string sha256Hex(std::string_view bytes);

}
