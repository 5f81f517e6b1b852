#include "PlatformServer.h"

#include "common/ConnectionDrop.h"
#include "common/StandinProgram.h"

#include <algorithm>
#include <charconv>
#include <openssl/evp.h>

namespace borageslip::standin {

namespace {

    constexpr std::chrono::milliseconds pollTime { 50 };
    constexpr size_t maxValueBytes = 1 << 20;
    constexpr std::chrono::milliseconds defaultWait { 300'000 };
    constexpr size_t maxSeconds = 100'000;

    std::string base64(std::string_view bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<size_t>(length));
        return text;
    }

    std::optional<uint64_t> numberParameter(const httplib::Request& request, const char* name)
    {
        if (!request.has_param(name))
            return std::nullopt;
        const auto text = request.get_param_value(name);
        uint64_t number = 0;
        const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
        return failure == std::errc {} ? std::optional(number) : std::nullopt;
    }

    // Parses Go-style durations such as "500ms", "10s" and "5m".
    std::chrono::milliseconds parseDuration(const std::string& text, std::chrono::milliseconds fallback)
    {
        double number = 0;
        const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (failure != std::errc {})
            return fallback;
        const std::string_view unit(rest, static_cast<size_t>(text.data() + text.size() - rest));
        const double factor = unit == "ms" ? 1 : unit == "m" ? 60'000
                                                             : 1000;
        return std::chrono::milliseconds(static_cast<int64_t>(number * factor));
    }

    struct Wait {
        uint64_t afterIndex;
        std::chrono::milliseconds time;
    };

    Wait waitOf(const httplib::Request& request)
    {
        return { numberParameter(request, "index").value_or(0), parseDuration(request.get_param_value("wait"), defaultWait) };
    }

    std::string kvPutKind(const httplib::Request& request)
    {
        for (const char* kind : { "cas", "acquire", "release" }) {
            if (request.has_param(kind))
                return std::string("kv_") + kind;
        }
        return "kv_put";
    }

    void respondWithText(httplib::Response& response, const char* text, int status = 200)
    {
        response.status = status;
        response.set_content(text, "application/json");
    }

    const char* boolText(bool isTrue)
    {
        return isTrue ? "true" : "false";
    }

}

bool PlatformServer::Bucket::tryAcquire(std::chrono::steady_clock::time_point now)
{
    const std::chrono::duration<double> passed = now - lastRefill;
    lastRefill = now;
    // The bucket holds the tokens of one second, so that many calls may arrive in a burst.
    tokens = std::min(std::max(rate, 1.0), tokens + rate * passed.count());
    if (tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

PlatformServer::PlatformServer(Settings settings, httplib::Server& server)
    : m_settings(settings)
    , m_health(settings.healthLag)
{
    const auto now = std::chrono::steady_clock::now();
    m_buckets = {
        { CallKind::Read, { settings.readsPerSecond, settings.readsPerSecond, now } },
        { CallKind::Write, { settings.writesPerSecond, settings.writesPerSecond, now } },
        { CallKind::Weights, { settings.weightsPerSecond, settings.weightsPerSecond, now } },
    };
    server.Get(R"(/v1/kv/(.*))", withFaults(CallKind::Read, "", &PlatformServer::readKey));
    server.Put(R"(/v1/kv/(.*))", withFaults(CallKind::Write, "", &PlatformServer::writeKey));
    server.Delete(R"(/v1/kv/(.*))", withFaults(CallKind::Write, "kv_delete", &PlatformServer::removeKey));
    server.Put("/v1/session/create", withFaults(CallKind::Write, "session_create", &PlatformServer::createSession));
    server.Put(R"(/v1/session/renew/(.+))", withFaults(CallKind::Write, "session_renew", &PlatformServer::renewSession));
    server.Put(R"(/v1/session/destroy/(.+))", withFaults(CallKind::Write, "session_destroy", &PlatformServer::destroySession));
    server.Get(R"(/v1/health/service/(.+))", withFaults(CallKind::Read, "health", &PlatformServer::readHealth));
    server.Get(R"(/weights/([^/]+)/([^/]+))", withFaults(CallKind::Weights, "weights", &PlatformServer::readWeights));
    server.Put("/register", [this](const httplib::Request& request, httplib::Response& response) { registerInstances(request, response); });
    server.Post("/control", [this](const httplib::Request& request, httplib::Response& response) {
        if (const auto changes = parseObject(request, response))
            respondWithJson(response, control(*changes));
    });
    server.Get("/records", [this](const httplib::Request&, httplib::Response& response) { respondWithJson(response, records()); });
    server.Delete("/records", [this](const httplib::Request&, httplib::Response& response) {
        clearRecords();
        response.status = 204;
    });
}

httplib::Server::Handler PlatformServer::withFaults(CallKind kind, std::string name, Handler handler)
{
    return [this, kind, name = std::move(name), handler](const httplib::Request& request, httplib::Response& response) {
        const auto current = faults();
        if (current.outage == Outage::Error) {
            count("outage");
            return respondWithText(response, "\"no cluster leader\"", 503);
        }
        if (current.outage == Outage::Drop) {
            count("outage");
            return dropConnection(request);
        }
        if (current.outage == Outage::Silent) {
            count("outage");
            while (faults().outage == Outage::Silent)
                std::this_thread::sleep_for(pollTime);
            return dropConnection(request);
        }
        auto countedAs = name;
        if (countedAs.empty() && kind == CallKind::Write)
            countedAs = kvPutKind(request);
        else if (countedAs.empty())
            countedAs = request.has_param("index") ? "kv_watch" : request.has_param("recurse") || request.has_param("keys") ? "kv_list"
                                                                                                                            : "kv_get";
        if (!admit(kind, countedAs, response))
            return;
        std::this_thread::sleep_for(current.slow);
        (this->*handler)(request, response);
        if (kind == CallKind::Write && shouldDropResponse()) {
            count("lost_answer");
            dropConnection(request);
        }
    };
}

bool PlatformServer::admit(CallKind kind, const std::string& name, httplib::Response& response)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[name];
    if (kind != CallKind::Weights && m_perSecond.size() < maxSeconds) {
        auto& counts = m_perSecond[wallMicroseconds() / 1'000'000];
        ++(kind == CallKind::Write ? counts.writes : counts.reads);
    }
    if (m_buckets.at(kind).tryAcquire(std::chrono::steady_clock::now()))
        return true;
    ++m_counts["rejected"];
    response.set_header("Retry-After", "1");
    respondWithText(response, "\"rate limit exceeded\"", 429);
    return false;
}

bool PlatformServer::shouldDropResponse()
{
    const std::lock_guard lock(m_mutex);
    return m_faults.dropResponseProbability > 0 && std::uniform_real_distribution(0.0, 1.0)(m_random) < m_faults.dropResponseProbability;
}

PlatformServer::Faults PlatformServer::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

void PlatformServer::count(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[name];
}

void PlatformServer::readKey(const httplib::Request& request, httplib::Response& response)
{
    const std::string key = request.matches[1];
    const bool listsKeys = request.has_param("keys");
    const auto scope = listsKeys || request.has_param("recurse") ? PlatformStore::Scope::Prefix : PlatformStore::Scope::Key;
    const auto wait = waitOf(request);
    const auto result = m_store.read(key, scope, wait.afterIndex, wait.time);
    response.set_header("X-Consul-Index", std::to_string(result.index));
    if (result.entries.empty())
        return respondWithText(response, "", 404);
    auto body = nlohmann::json::array();
    for (const auto& [name, entry] : result.entries) {
        if (listsKeys) {
            body.push_back(name);
            continue;
        }
        nlohmann::json item {
            { "Key", name },
            { "Value", base64(entry.value) },
            { "ModifyIndex", entry.modifyIndex },
            { "CreateIndex", entry.createIndex },
            { "LockIndex", entry.lockIndex },
            { "Flags", 0 },
        };
        if (!entry.session.empty())
            item["Session"] = entry.session;
        body.push_back(std::move(item));
    }
    respondWithJson(response, body);
}

void PlatformServer::writeKey(const httplib::Request& request, httplib::Response& response)
{
    const std::string key = request.matches[1];
    if (request.body.size() > maxValueBytes)
        return respondWithText(response, "\"value too large\"", 413);
    for (const auto& [parameter, change] : { std::pair { "acquire", &PlatformStore::acquire }, std::pair { "release", &PlatformStore::release } }) {
        if (!request.has_param(parameter))
            continue;
        const auto outcome = (m_store.*change)(key, request.body, request.get_param_value(parameter));
        if (outcome == PlatformStore::LockOutcome::UnknownSession)
            return respondWithText(response, "\"invalid session\"", 500);
        return respondWithText(response, boolText(outcome == PlatformStore::LockOutcome::Done));
    }
    respondWithText(response, boolText(m_store.write(key, request.body, numberParameter(request, "cas"))));
}

void PlatformServer::removeKey(const httplib::Request& request, httplib::Response& response)
{
    const auto scope = request.has_param("recurse") ? PlatformStore::Scope::Prefix : PlatformStore::Scope::Key;
    respondWithText(response, boolText(m_store.remove(request.matches[1], scope, numberParameter(request, "cas"))));
}

void PlatformServer::createSession(const httplib::Request& request, httplib::Response& response)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        body = nlohmann::json::object();
    const auto behavior = body.value("Behavior", "release") == "delete" ? PlatformStore::Behavior::Delete : PlatformStore::Behavior::Release;
    const auto timeToLive = parseDuration(body.value("TTL", ""), std::chrono::milliseconds(0));
    const auto lockDelay = parseDuration(body.value("LockDelay", "15s"), std::chrono::milliseconds(15'000));
    respondWithJson(response, { { "ID", m_store.createSession(timeToLive, lockDelay, behavior) } });
}

void PlatformServer::renewSession(const httplib::Request& request, httplib::Response& response)
{
    const std::string session = request.matches[1];
    if (!m_store.renewSession(session))
        return respondWithText(response, "\"unknown session\"", 404);
    respondWithJson(response, nlohmann::json::array({ { { "ID", session } } }));
}

void PlatformServer::destroySession(const httplib::Request& request, httplib::Response& response)
{
    m_store.destroySession(request.matches[1]);
    respondWithText(response, "true");
}

void PlatformServer::readHealth(const httplib::Request& request, httplib::Response& response)
{
    const auto filter = request.has_param("passing") ? HealthList::Filter::PassingOnly : HealthList::Filter::All;
    const auto wait = waitOf(request);
    const auto result = m_health.read(request.matches[1], filter, wait.afterIndex, wait.time);
    response.set_header("X-Consul-Index", std::to_string(result.index));
    respondWithJson(response, result.instances);
}

void PlatformServer::readWeights(const httplib::Request&, httplib::Response& response)
{
    response.set_content(std::string(m_settings.weightBytes, 'w'), "application/octet-stream");
}

void PlatformServer::registerInstances(const httplib::Request& request, httplib::Response& response)
{
    const auto body = parseObject(request, response);
    if (!body)
        return;
    const auto service = body->value("service", "");
    if (body->contains("instances"))
        m_health.set(service, body->at("instances"));
    if (body->contains("put"))
        m_health.put(service, body->at("put"));
    if (body->contains("remove"))
        m_health.remove(service, body->at("remove").get<std::string>());
    response.status = 204;
}

nlohmann::json PlatformServer::control(const nlohmann::json& changes)
{
    static const std::map<std::string, Outage> s_outages { { "none", Outage::None }, { "error", Outage::Error }, { "drop", Outage::Drop }, { "silent", Outage::Silent } };
    const std::lock_guard lock(m_mutex);
    if (changes.contains("outage"))
        m_faults.outage = s_outages.at(changes.at("outage").get<std::string>());
    m_faults.slow = std::chrono::milliseconds(std::max<int64_t>(0, changes.value("slow_ms", m_faults.slow.count())));
    m_faults.dropResponseProbability = changes.value("lose_answers", m_faults.dropResponseProbability);
    if (changes.contains("seed"))
        m_random.seed(changes.at("seed").get<uint64_t>());
    if (changes.contains("freeze_health"))
        m_health.setFrozen(changes.at("freeze_health").get<bool>());
    return { { "slow_ms", m_faults.slow.count() }, { "lose_answers", m_faults.dropResponseProbability }, { "outage", static_cast<int>(m_faults.outage) } };
}

nlohmann::json PlatformServer::records() const
{
    const std::lock_guard lock(m_mutex);
    auto seconds = nlohmann::json::array();
    for (const auto& [second, counts] : m_perSecond)
        seconds.push_back({ { "second", second }, { "reads", counts.reads }, { "writes", counts.writes } });
    return { { "calls", m_counts }, { "per_second", std::move(seconds) }, { "sessions", m_store.sessions() } };
}

void PlatformServer::clearRecords()
{
    const std::lock_guard lock(m_mutex);
    m_counts.clear();
    m_perSecond.clear();
}

}
