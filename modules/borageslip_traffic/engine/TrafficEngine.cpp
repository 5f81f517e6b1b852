#include "TrafficEngine.h"

#include <borageslip_scheduling/limits/RetryAfter.h>
#include <borageslip_scheduling/placement/ServerMemory.h>

#include <borageslip_core/identity/Hash.h>
#include <borageslip_core/logging/Log.h>

#include <algorithm>

namespace borageslip {

namespace {

    // Seed of affinity hashes. It is not zero, because an affinity of 0 means "none".
    constexpr uint64_t affinitySeed = 0x62736c70;

    std::string_view hostWithoutPort(std::string_view host)
    {
        return host.substr(0, host.find(':'));
    }

    std::string_view pathWithoutQuery(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }

    const std::string& selectService(const Route& route, uint64_t requestHash)
    {
        uint64_t total = 0;
        for (const auto& part : route.services)
            total += part.weight;
        if (total == 0)
            return route.services.front().service;
        auto point = requestHash % total;
        for (const auto& part : route.services) {
            if (point < part.weight)
                return part.service;
            point -= part.weight;
        }
        return route.services.back().service;
    }

    /** Hashes the prompt parts that other requests share: all but the last one, which is specific to the request. */
    uint64_t affinityHash(const RequestMetadata& metadata)
    {
        if (metadata.promptParts.empty())
            return 0;
        const size_t shared = std::max<size_t>(metadata.promptParts.size() - 1, 1);
        uint64_t affinity = hashBytes(metadata.model, affinitySeed);
        for (size_t i = 0; i < shared; ++i)
            affinity = hashPair(affinity, metadata.promptParts[i].id);
        return affinity | 1;
    }

    uint64_t promptPartTokens(const RequestMetadata& metadata)
    {
        uint64_t tokens = 0;
        for (const auto& part : metadata.promptParts)
            tokens += part.tokens;
        return tokens;
    }

    /** Prompt tokens of the parts that other requests share. */
    uint64_t sharedTokens(const RequestMetadata& metadata)
    {
        if (metadata.promptParts.empty())
            return 0;
        const int64_t own = metadata.promptParts.back().tokens;
        return static_cast<uint64_t>(std::max<int64_t>(0, static_cast<int64_t>(metadata.promptTokens) - own));
    }

}

TrafficEngine::TrafficEngine(const Clock& clock, const boost::asio::any_io_executor& executor, const CallerProtocol& protocol, TrafficSettings settings)
    : m_clock(clock)
    , m_executor(executor)
    , m_protocol(protocol)
    , m_settings(std::move(settings))
    , m_memory(m_settings.bufferBytes)
    , m_servers(clock, executor)
    , m_evacuation(clock, m_servers, m_settings.evacuableDomains, [this](std::string_view service) { return coldStartOf(service); })
    , m_coldServers(clock, m_servers, m_counts, m_settings.coldBound)
    , m_quarantine(clock)
    , m_crashDetector(clock, executor, m_quarantine)
{
    m_servers.setRestartHandler([this](const BackendServer& server) { m_crashDetector.serverRestarted(server); });
    m_evacuation.setChangeHandler([this] {
        if (m_reservationBroker != nullptr)
            m_reservationBroker->onEvacuationChanged();
    });
    m_crashDetector.setCrashHandler([this](const BackendServer& server) {
        if (const auto listed = m_servers.find(server.hash()))
            m_coldServers.recordUnreachable(*listed);
    });
}

Duration TrafficEngine::coldStartOf(std::string_view service) const
{
    const auto* known = m_configuration ? m_configuration->service(service) : nullptr;
    return known == nullptr ? Duration::zero() : Duration(known->coldStart);
}

void TrafficEngine::setPromptHealthListener(PromptHealthListener* listener)
{
    m_promptHealthListener = listener;
    m_crashDetector.setListener(listener);
}

void TrafficEngine::recordProgress(std::span<const PromptFingerprint> fingerprints, TimePoint begunAt)
{
    for (const auto& fingerprint : fingerprints)
        notifyOfCleared(m_quarantine.recordProgress(fingerprint, begunAt));
}

void TrafficEngine::notifyOfCleared(const PromptFingerprint& cleared)
{
    constexpr size_t maxPartsOfNotice = 512; ///< Bounds the size of a datagram.
    if (m_promptHealthListener == nullptr)
        return;
    for (std::span parts(cleared.parts); !parts.empty(); parts = parts.subspan(std::min(parts.size(), maxPartsOfNotice))) {
        const auto noticed = parts.first(std::min(parts.size(), maxPartsOfNotice));
        m_promptHealthListener->partsCleared({ cleared.model, { noticed.begin(), noticed.end() } });
    }
}

void TrafficEngine::setConfiguration(TrafficConfigurationPtr configuration)
{
    if (m_configuration && configuration->version() <= m_configuration->version()) {
        if (configuration->version() < m_configuration->version())
            logEvent(Severity::Warning, "configuration-ignored", { { "version", configuration->version() }, { "in_force", m_configuration->version() } });
        return;
    }
    m_configuration = std::move(configuration);
    m_coldServers.setConfiguration(*m_configuration);
    logEvent(Severity::Info, "configuration-in-force", { { "version", m_configuration->version() }, { "routes", m_configuration->routes().size() }, { "requires_keys", m_configuration->requiresKeys() }, { "keys", m_configuration->keyCount() } });
}

void TrafficEngine::confirmConfiguration(TimePoint at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
    if (!isConfigurationFresh())
        return;
    for (auto* event : m_confirmationWaiters)
        event->notify();
}

TrafficEngine::ConfirmationWaiter::ConfirmationWaiter(TrafficEngine& engine, AutoResetEvent& event)
    : m_engine(engine)
    , m_event(event)
{
    m_engine.m_confirmationWaiters.insert(&m_event);
}

TrafficEngine::ConfirmationWaiter::~ConfirmationWaiter()
{
    m_engine.m_confirmationWaiters.erase(&m_event);
}

bool TrafficEngine::canAcceptKeys() const
{
    return !m_settings.keyLifetime || m_clock.now() - m_confirmedAt < *m_settings.keyLifetime;
}

Result<AdmittedRequest> TrafficEngine::admit(const HttpRequest& request, const RequestMetadata& metadata) const
{
    if (!m_configuration)
        return Error { ErrorKind::NoConfiguration, "this instance has not received a configuration yet" };
    const auto host = request[boost::beast::http::field::host];
    const auto target = request.target();
    const auto* route = m_configuration->route(hostWithoutPort({ host.data(), host.size() }), pathWithoutQuery({ target.data(), target.size() }));
    if (route == nullptr && !canAcceptKeys())
        return Error { ErrorKind::StoreUnavailable, "no route matches, and the configuration may be out of date" };
    if (route == nullptr)
        return Error { ErrorKind::NotFound, "no route matches this host and path" };

    const auto hash = hashBytes(metadata.requestId);
    AdmittedRequest admitted { m_configuration, route, {}, 0, selectService(*route, hash), hash, affinityHash(metadata), sharedTokens(metadata) };
    const bool isAnonymous = metadata.key.empty() && route->allowsAnonymous;
    if (!m_configuration->requiresKeys() || isAnonymous)
        return admitted;
    // A request with a key is not served as an anonymous one because the key cannot be verified.
    if (!canAcceptKeys())
        return Error { ErrorKind::StoreUnavailable, "keys cannot be verified: the store has not confirmed the configuration recently" };
    const auto* account = metadata.key.empty() ? nullptr : m_configuration->accountForKey(metadata.key);
    if (account == nullptr && !route->allowsAnonymous)
        return Error { ErrorKind::Unauthenticated, "the API key is missing or unknown" };
    if (account == nullptr) {
        admitted.isKeyUnknown = true;
        return admitted;
    }
    admitted.account = account->name;
    admitted.accountPriority = account->priority;
    return admitted;
}

void TrafficEngine::countPrompt(const RequestMetadata& metadata, int64_t uncached)
{
    if (metadata.promptParts.empty())
        return;
    m_counts.promptTokens += metadata.promptTokens;
    m_counts.promptTokensCached += static_cast<uint64_t>(std::max<int64_t>(0, metadata.promptTokens - uncached));
}

uint64_t TrafficEngine::serverMemory(std::string_view service) const
{
    const auto* known = m_settings.guardsServerMemory && m_configuration ? m_configuration->service(service) : nullptr;
    return known != nullptr && known->engine ? static_cast<uint64_t>(std::max<int64_t>(0, known->engine->cacheTokens)) : 0;
}

RequestMemory TrafficEngine::requestMemory(const RequestMetadata& metadata, const AdmittedRequest& admitted) const
{
    if (!m_settings.guardsServerMemory)
        return {};
    const uint64_t prompt = std::max<uint64_t>(metadata.promptTokens, promptPartTokens(metadata));
    const auto shared = admitted.affinity == 0 ? 0 : std::min(prompt, admitted.prefixTokens);
    return { prompt - shared + metadata.maxOutputTokens, { shared == 0 ? 0 : admitted.affinity, shared } };
}

Status TrafficEngine::checkServerMemory(const RequestMetadata& metadata, const AdmittedRequest& admitted)
{
    const auto capacity = serverMemory(admitted.service);
    const auto tokens = requestMemory(metadata, admitted).total();
    if (capacity == 0 || tokens <= ServerMemory::maxRequestTokens(capacity))
        return ok();
    ++m_counts.memoryRejections;
    return Error { ErrorKind::NoEngineAvailable, "the request can hold " + std::to_string(tokens) + " tokens, more than a server of \"" + admitted.service + "\" has memory for" };
}

ReservationLimits TrafficEngine::reservationLimits(const BackendServer& server, const AdmittedRequest& admitted)
{
    const int slots = server.description().slots;
    const bool keepsReserve = serviceState(admitted.service).priorityReserve.appliesTo(admitted.requestPriority(), m_clock.now());
    const bool hasAffinity = admitted.route->reusesPrefixes && admitted.affinity != 0;
    return { static_cast<uint32_t>(keepsReserve ? PriorityReserve::unreservedSlots(slots) : slots), hasAffinity ? static_cast<uint64_t>(m_settings.choice.pendingPrefill) : 0 };
}

bool TrafficEngine::usesServiceQueue(const AdmittedRequest& admitted) const
{
    return m_reservationBroker != nullptr && !admitted.configuration->reusesPrefixes(admitted.service);
}

bool TrafficEngine::hasServersInService(std::string_view service) const
{
    const auto servers = m_servers.ofService(service);
    return std::any_of(servers.begin(), servers.end(), [](const auto& server) { return server->isInService(); });
}

Duration TrafficEngine::pauseOf(std::string_view service) const
{
    const auto now = m_clock.now();
    std::optional<Duration> shortest;
    for (const auto& server : m_servers.ofService(service)) {
        if (!server->isInService())
            continue;
        const auto pause = std::max(Duration::zero(), server->allowance().pausedUntil() - now);
        shortest = shortest ? std::min(*shortest, pause) : pause;
    }
    return shortest.value_or(Duration::zero());
}

std::vector<uint64_t> TrafficEngine::unavailableServers(std::string_view service) const
{
    const auto now = m_clock.now();
    std::vector<uint64_t> unavailable;
    for (const auto& server : m_servers.ofService(service)) {
        if (server->allowance().isLeaving() || server->isEvacuated() || server->allowance().isPaused(now))
            unavailable.push_back(server->hash());
    }
    return unavailable;
}

std::vector<uint64_t> TrafficEngine::rateLimitedServers(std::string_view service) const
{
    const auto now = m_clock.now();
    std::vector<uint64_t> limited;
    for (const auto& server : m_servers.ofService(service)) {
        if (server->allowance().rateLimit(now))
            limited.push_back(server->hash());
    }
    return limited;
}

double TrafficEngine::meanInFlight(std::string_view service) const
{
    const auto now = m_clock.now();
    const bool countsEvacuated = m_evacuation.countsInMean(service);
    const auto mean = [&](bool includesRateLimited) -> std::optional<double> {
        int total = 0;
        int count = 0;
        for (const auto& server : m_servers.ofService(service)) {
            const bool isCounted = server->isInService() || (countsEvacuated && server->isEvacuated());
            if (!isCounted || (!includesRateLimited && server->allowance().rateLimit(now)))
                continue;
            total += server->inFlight();
            ++count;
        }
        return count == 0 ? std::nullopt : std::optional(static_cast<double>(total) / count);
    };
    // Servers at their rate limits have few requests, however many the others have to take.
    const auto unlimited = mean(false);
    return unlimited ? *unlimited : mean(true).value_or(0);
}

TrafficEngine::ChosenServer TrafficEngine::choose(const AdmittedRequest& admitted, std::span<const uint64_t> excluded)
{
    const auto now = m_clock.now();
    const auto& health = m_servers.health(admitted.service);
    const bool keepsReserve = serviceState(admitted.service).priorityReserve.appliesTo(admitted.requestPriority(), now);
    m_candidates.clear();
    m_candidateServers.clear();
    const bool mayHavePermits = m_coldServers.mayHavePermits(admitted.service);
    const bool countsEvacuated = m_evacuation.countsInMean(admitted.service);
    for (const auto& server : m_servers.ofService(admitted.service)) {
        const bool isInService = server->isInService();
        if (!isInService && !(countsEvacuated && server->isEvacuated()))
            continue;
        // A server at its rate limit is left out, so that the load cap of the others counts only what they share.
        if (server->isDeferred(admitted.prefixTokens, now))
            continue;
        const bool isLimited = m_coldServers.isLimited(*server);
        const bool isExcluded = !isInService || server->allowance().isPaused(now) || (isLimited && !mayHavePermits) || std::find(excluded.begin(), excluded.end(), server->hash()) != excluded.end();
        const bool isEjected = server->isEjected(now) || health.isAvoided(server->hash(), admitted.hash, now);
        const int slots = keepsReserve ? PriorityReserve::unreservedSlots(server->description().slots) : server->description().slots;
        m_candidates.push_back({ server->hash(), server->inFlight(), slots, server->pendingPrefill(), isExcluded, isEjected, server->isCold(now),
            server->description().failureDomain == m_settings.failureDomain, m_reservationBroker != nullptr && server->isLoadOutdated(), isLimited, server->slowness().factor(now) });
        m_candidateServers.push_back(server);
    }
    const auto affinity = admitted.route->reusesPrefixes ? admitted.affinity : 0;
    auto limits = m_settings.choice;
    if (m_servers.statesSlowness(admitted.service))
        limits.leastLoadedRule = leastLoadedRuleFor(loadAge());
    const auto choice = chooseServer(m_candidates, affinity, admitted.hash, limits);
    if (!choice)
        return {};
    ++m_counts.placements.at(static_cast<size_t>(choice->reason));
    return { m_candidateServers[choice->index], choice->reason };
}

void TrafficEngine::recordServerLoad(BackendServer& server, const ResponseMetadata& metadata)
{
    const bool isStated = !metadata.isMisdirected && metadata.load && metadata.load->slownessPercent;
    if (isStated && !m_servers.recordSlowness(server, *metadata.load->slownessPercent))
        ++m_counts.invalidSlowness;
}

size_t TrafficEngine::waitingCount() const
{
    size_t count = 0;
    for (const auto& [service, state] : m_services)
        count += state.waitQueue.size();
    return count;
}

TrafficEngine::ServiceState& TrafficEngine::serviceState(const std::string& service)
{
    const auto [found, isNew] = m_services.try_emplace(service, m_settings.retryBudget);
    if (isNew)
        found->second.retryBudget.setInstanceCount(m_instanceCount);
    return found->second;
}

void TrafficEngine::recordArrival(const AdmittedRequest& admitted)
{
    auto& state = serviceState(admitted.service);
    state.retryBudget.recordRequest(m_clock.now());
    state.priorityReserve.recordArrival(admitted.requestPriority(), m_clock.now());
}

void TrafficEngine::setInstanceCount(size_t instances)
{
    m_instanceCount = instances;
    for (auto& [service, state] : m_services)
        state.retryBudget.setInstanceCount(instances);
}

void TrafficEngine::recordServiceTime(const std::string& service, Duration duration)
{
    constexpr int smoothing = 16; // The moving average adapts to a change within some tens of requests.
    auto& average = serviceState(service).serviceTime;
    average = average == Duration::zero() ? duration : average + (duration - average) / smoothing;
}

void TrafficEngine::onReservationReleased(const std::string& service)
{
    serviceState(service).waitQueue.wakeFirst();
}

std::chrono::milliseconds TrafficEngine::retryAfter(std::chrono::milliseconds timeLeft, std::chrono::milliseconds expectedWait)
{
    return jitteredRetryAfter(timeLeft, m_random, expectedWait);
}

std::chrono::milliseconds TrafficEngine::retryAfterStop(std::chrono::milliseconds timeLeft)
{
    using std::chrono::milliseconds;
    constexpr milliseconds maxRedirectDelay { 50 }; ///< Spreads the callers of one instance over the time of a few requests.
    if (m_othersAcceptCallers || !m_stop)
        return std::min(timeLeft, milliseconds(std::uniform_int_distribution<int64_t>(0, maxRedirectDelay.count())(m_random)));
    const auto left = std::chrono::duration_cast<milliseconds>(m_stop->endAt() - m_clock.now());
    return retryAfter(timeLeft, std::max(left, maxRedirectDelay));
}

}
