#include "FleetConfiguration.h"

#include "EmbeddedSchemas.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <random>
#include <set>

namespace borageslip {

namespace {

    // Random for each process and kept secret, so that a caller can neither choose keys that collide in one hash bucket
    // nor learn hash bits from timing.
    uint64_t keyIndexSeed()
    {
        static const uint64_t s_seed = [] {
            std::random_device device;
            return (static_cast<uint64_t>(device()) << 32) | device();
        }();
        return s_seed;
    }

    std::string decodePercent(std::string_view text)
    {
        const auto digit = [](char character) {
            constexpr std::string_view digits = "0123456789abcdef";
            const char lower = character >= 'A' && character <= 'F' ? static_cast<char>(character - 'A' + 'a') : character;
            return digits.find(lower);
        };
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size() && digit(text[i + 1]) != std::string_view::npos && digit(text[i + 2]) != std::string_view::npos) {
                decoded += static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2]));
                i += 2;
                continue;
            }
            decoded += text[i];
        }
        return decoded;
    }

    std::vector<std::string> pathSegments(std::string_view path)
    {
        const auto decoded = decodePercent(path.substr(0, path.find_first_of("?#")));
        std::vector<std::string> segments;
        for (size_t start = 0; start < decoded.size();) {
            const auto end = std::min(decoded.find('/', start), decoded.size());
            const auto segment = decoded.substr(start, end - start);
            start = end + 1;
            if (segment == ".." && !segments.empty())
                segments.pop_back();
            else if (!segment.empty() && segment != "." && segment != "..")
                segments.push_back(segment);
        }
        return segments;
    }

    template <typename Id>
    std::vector<Id> parseIds(const nlohmann::json& names)
    {
        std::vector<Id> ids;
        for (const auto& name : names)
            ids.emplace_back(name.get_ref<const std::string&>());
        return ids;
    }

    template <typename T>
    std::optional<T> optionalMember(const nlohmann::json& object, const char* name)
    {
        const auto found = object.find(name);
        return found == object.end() ? std::nullopt : std::optional(found->get<T>());
    }

    std::optional<std::chrono::milliseconds> optionalMilliseconds(const nlohmann::json& object, const char* name)
    {
        const auto count = optionalMember<int64_t>(object, name);
        return count ? std::optional(std::chrono::milliseconds(*count)) : std::nullopt;
    }

    template <typename Id, typename Settings>
    const Settings* findById(const std::map<Id, Settings>& settings, const Id& id)
    {
        const auto found = settings.find(id);
        return found == settings.end() ? nullptr : &found->second;
    }

    std::string describe(const std::vector<FieldProblem>& problems)
    {
        std::string text;
        for (const auto& problem : problems)
            text += (text.empty() ? "" : "; ") + (problem.path.empty() ? "/" : problem.path) + ": " + problem.expected;
        return text;
    }

    template <typename Id, typename Settings>
    void checkReferences(const nlohmann::json& names, const std::map<Id, Settings>& known, const std::string& path, std::string_view kind, std::vector<FieldProblem>& problems)
    {
        for (size_t i = 0; i < names.size(); ++i) {
            const auto& name = names[i].get_ref<const std::string&>();
            if (!known.contains(Id(name)))
                problems.push_back({ path + "/" + std::to_string(i), "unknown " + std::string(kind) + " " + name });
        }
    }

}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view hex = "0123456789abcdef";
    std::string text;
    for (unsigned int i = 0; i < length; ++i) {
        text += hex[digest.at(i) >> 4];
        text += hex[digest.at(i) & 15];
    }
    return text;
}

bool ServiceSettings::isIdempotent(std::string_view method, std::string_view path) const
{
    const auto segments = pathSegments(path);
    const ServiceRoute* bestRoute = nullptr;
    size_t bestPrefixLength = 0;
    for (const auto& route : routes) {
        const auto prefix = pathSegments(route.pathPrefix);
        const bool isMatch = route.method == method && prefix.size() <= segments.size() && std::equal(prefix.begin(), prefix.end(), segments.begin());
        if (!isMatch || (bestRoute && prefix.size() < bestPrefixLength))
            continue;
        // Of two routes with the same prefix, the non-idempotent one decides.
        if (bestRoute && prefix.size() == bestPrefixLength && !bestRoute->isIdempotent)
            continue;
        bestRoute = &route;
        bestPrefixLength = prefix.size();
    }
    return bestRoute ? bestRoute->isIdempotent : method == "GET" || method == "HEAD";
}

bool AccountSettings::mayUse(const ModelId& model) const
{
    return !models || std::ranges::find(*models, model) != models->end();
}

bool AccountSettings::mayUse(const ServiceId& service) const
{
    return !services || std::ranges::find(*services, service) != services->end();
}

Result<FleetConfiguration::Pointer> FleetConfiguration::parse(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
        return Error { ErrorKind::InvalidSettings, "the configuration is not valid JSON" };
    return fromDocument(document);
}

Result<FleetConfiguration::Pointer> FleetConfiguration::fromDocument(const nlohmann::json& document)
{
    auto problems = validateAgainstSchema(document, embeddedSchema("configuration"));
    if (!problems.empty())
        return Error { ErrorKind::InvalidSettings, "configuration: " + describe(problems) };
    const std::shared_ptr<FleetConfiguration> configuration(new FleetConfiguration);
    configuration->m_document = document;
    configuration->m_text = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    configuration->m_digest = hashBytes(configuration->m_text);
    configuration->m_plan = document.value("plan", "");
    configuration->parseEngines(problems);
    configuration->parseModels(problems);
    configuration->parseServices();
    configuration->parseAccounts(problems);
    configuration->parseLimits();
    configuration->parseObjectives(problems);
    if (!problems.empty())
        return Error { ErrorKind::InvalidSettings, "configuration: " + describe(problems) };
    return configuration;
}

nlohmann::json FleetConfiguration::section(const char* name, const nlohmann::json& fallback) const
{
    const auto found = m_document.find(name);
    return found == m_document.end() ? fallback : *found;
}

void FleetConfiguration::parseEngines(std::vector<FieldProblem>& problems)
{
    std::map<std::string, std::string> engineByAddress;
    const auto engineSection = section("engines", nlohmann::json::object());
    for (const auto& [name, body] : engineSection.items()) {
        EngineSettings engine;
        engine.id = EngineId(name);
        engine.address = body["address"];
        engine.region = Region(body.value("region", ""));
        engine.failureDomain = FailureDomain(body.value("failure_domain", ""));
        engine.slots = body["slots"];
        engine.weight = body.value("weight", engine.weight);
        engine.checksFencing = body.value("checks_fencing", false);
        const auto [other, isNew] = engineByAddress.emplace(engine.address, name);
        if (!isNew)
            problems.push_back({ "/engines/" + name + "/address", "address is already used by engine " + other->second });
        m_engines.emplace(engine.id, std::move(engine));
    }
}

void FleetConfiguration::parseModels(std::vector<FieldProblem>& problems)
{
    const auto modelSection = section("models", nlohmann::json::object());
    for (const auto& [name, body] : modelSection.items()) {
        ModelSettings model;
        model.id = ModelId(name);
        model.version = body.value("version", "");
        model.engines = parseIds<EngineId>(body["engines"]);
        model.minimumEngines = body.value("minimum_engines", model.minimumEngines);
        model.shortMaxTokens = body.value("short_max_tokens", model.shortMaxTokens);
        checkReferences(body["engines"], m_engines, "/models/" + name + "/engines", "engine", problems);
        std::set<EngineId> listed;
        for (const auto& id : model.engines) {
            if (!listed.insert(id).second)
                problems.push_back({ "/models/" + name + "/engines", "duplicate engine " + id.text() });
            if (const auto engine = m_engines.find(id); engine != m_engines.end())
                engine->second.models.push_back(model.id);
        }
        m_models.emplace(model.id, std::move(model));
    }
}

void FleetConfiguration::parseServices()
{
    const auto serviceSection = section("services", nlohmann::json::object());
    for (const auto& [name, body] : serviceSection.items()) {
        ServiceSettings service;
        service.id = ServiceId(name);
        service.addresses = body["addresses"].get<std::vector<std::string>>();
        service.timeout = optionalMilliseconds(body, "timeout_ms").value_or(service.timeout);
        for (const auto& route : body.value("routes", nlohmann::json::array()))
            service.routes.push_back({ route["method"], route["path_prefix"], route["idempotent"] });
        m_services.emplace(service.id, std::move(service));
    }
}

void FleetConfiguration::parseAccounts(std::vector<FieldProblem>& problems)
{
    std::map<std::string, std::string> accountByKey;
    const auto accountSection = section("accounts", nlohmann::json::object());
    for (const auto& [name, body] : accountSection.items()) {
        const auto path = "/accounts/" + name;
        AccountSettings account;
        account.id = AccountId(name);
        account.requestsPerSecond = optionalMember<double>(body, "requests_per_second");
        account.burst = optionalMember<double>(body, "burst");
        account.weight = body.value("weight", account.weight);
        account.defaultPriority = body.value("default_priority", account.defaultPriority);
        if (const auto models = body.find("models"); models != body.end()) {
            account.models = parseIds<ModelId>(*models);
            checkReferences(*models, m_models, path + "/models", "model", problems);
        }
        if (const auto services = body.find("services"); services != body.end()) {
            account.services = parseIds<ServiceId>(*services);
            checkReferences(*services, m_services, path + "/services", "service", problems);
        }
        for (const auto& key : body["key_sha256"]) {
            const auto& digest = key.get_ref<const std::string&>();
            const auto [other, isNew] = accountByKey.emplace(digest, name);
            if (!isNew && other->second != name)
                problems.push_back({ path + "/key_sha256", "key already belongs to account " + other->second });
            if (isNew)
                m_accountKeys.emplace(hashBytes(digest, keyIndexSeed()), AccountKey { digest, account.id });
        }
        m_accounts.emplace(account.id, std::move(account));
    }
}

void FleetConfiguration::parseLimits()
{
    const auto body = section("limits", nlohmann::json::object());
    m_limits.loadBound = body.value("load_bound", m_limits.loadBound);
    m_limits.reservedShortShare = body.value("reserved_short_share", m_limits.reservedShortShare);
    m_limits.guaranteedLongShare = body.value("guaranteed_long_share", m_limits.guaranteedLongShare);
    m_limits.queueLimit = body.value("queue_limit", m_limits.queueLimit);
    m_limits.retryShare = body.value("retry_share", m_limits.retryShare);
    m_limits.ejectionShare = body.value("ejection_share", m_limits.ejectionShare);
    m_limits.livenessTimeout = optionalMilliseconds(body, "liveness_timeout_ms").value_or(m_limits.livenessTimeout);
    m_limits.directoryTtl = std::chrono::seconds(body.value("directory_lifetime_s", m_limits.directoryTtl.count()));
}

void FleetConfiguration::parseObjectives(std::vector<FieldProblem>& problems)
{
    const auto objectives = section("objectives", nlohmann::json::array());
    for (size_t i = 0; i < objectives.size(); ++i) {
        const auto& body = objectives[i];
        ObjectiveSettings objective;
        objective.name = body["name"];
        if (const auto name = optionalMember<std::string>(body, "account")) {
            objective.account = AccountId(*name);
            if (!m_accounts.contains(*objective.account))
                problems.push_back({ "/objectives/" + std::to_string(i) + "/account", "unknown account " + *name });
        }
        objective.priority = optionalMember<int>(body, "priority");
        objective.firstToken = optionalMilliseconds(body, "first_token_ms");
        objective.betweenTokens = optionalMilliseconds(body, "between_tokens_ms");
        objective.target = body.value("target", objective.target);
        m_objectives.push_back(std::move(objective));
    }
}

const ModelSettings* FleetConfiguration::model(const ModelId& id) const
{
    return findById(m_models, id);
}

const EngineSettings* FleetConfiguration::engine(const EngineId& id) const
{
    return findById(m_engines, id);
}

const ServiceSettings* FleetConfiguration::service(const ServiceId& id) const
{
    return findById(m_services, id);
}

const AccountSettings* FleetConfiguration::account(const AccountId& id) const
{
    return findById(m_accounts, id);
}

const AccountSettings* FleetConfiguration::accountForKey(std::string_view bearerKey) const
{
    const auto digest = sha256Hex(bearerKey);
    // The index finds candidates by a hash with a per-process seed; the digests are then compared in constant time.
    const auto [first, last] = m_accountKeys.equal_range(hashBytes(digest, keyIndexSeed()));
    const AccountSettings* found = nullptr;
    for (auto entry = first; entry != last; ++entry) {
        const auto& key = entry->second;
        if (key.sha256.size() == digest.size() && CRYPTO_memcmp(key.sha256.data(), digest.data(), digest.size()) == 0)
            found = account(key.account);
    }
    return found;
}

}
