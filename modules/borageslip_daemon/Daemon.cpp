#include "Daemon.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace borageslip {

namespace {

    constexpr std::chrono::milliseconds loopInterval { 100 };
    constexpr std::chrono::seconds housekeepingInterval { 1 };
    // Time for all members to learn of a new one. Until then it becomes the home of no engine, so that few engines have two
    // homes at the same time.
    constexpr std::chrono::seconds settlingTime { 5 };
    constexpr std::chrono::seconds seedingInterval { 30 };
    constexpr std::chrono::milliseconds peerTimeout { 2000 };
    constexpr size_t maxDocumentBytes = 2 << 20;
    constexpr size_t outcomePartBytes = 1 << 20;
    constexpr size_t maxTraceBytes = 8 << 20;
    constexpr size_t operatorThreads = 16;
    constexpr auto latencySlot = GossipSlot::Opaque0;
    constexpr std::string_view routerService = "borageslip";

    MembershipService::Settings membershipSettings(const DaemonSettings& settings, const Member& self)
    {
        MembershipService::Settings membership;
        membership.self = self;
        membership.signingKey = settings.innerKeys.front();
        membership.acceptedKey = settings.innerKeys.size() > 1 ? settings.innerKeys[1] : "";
        membership.seeds = settings.seeds;
        return membership;
    }

    ConfigurationWatcher::Settings watcherSettings(const DaemonSettings& settings, const MemberId& self)
    {
        ConfigurationWatcher::Settings watcher;
        watcher.self = self;
        watcher.region = settings.region;
        watcher.seed = hashBytes(self.text());
        return watcher;
    }

    ConsulConnection::Settings storeSettings(const DaemonSettings& settings)
    {
        ConsulConnection::Settings store;
        store.host = settings.store.host;
        store.port = settings.store.port;
        return store;
    }

    HttpListener::Limits callerLimits(const DaemonSettings& settings)
    {
        HttpListener::Limits limits;
        limits.pool.maxThreads = settings.callerThreads;
        limits.maxBodyBytes = settings.maxBodyBytes;
        return limits;
    }

    TicketIssuer::Keys ticketKeys(const std::vector<std::string>& keys)
    {
        return { keys.front(), keys.size() > 1 ? std::optional(keys[1]) : std::nullopt };
    }

    InnerClient::Options innerOptions(const DaemonSettings& settings)
    {
        InnerClient::Options options;
        options.key = settings.innerKeys.front();
        return options;
    }

    InnerServer::Options innerServerOptions(const DaemonSettings& settings)
    {
        InnerServer::Options options;
        options.acceptedKeys = settings.innerKeys;
        return options;
    }

    void respondWithProblem(InnerResponder& responder, const Error& error)
    {
        responder.respond(errorTraits(error.kind).httpStatus, { { "x-decision", "refuse" }, { "content-type", "application/problem+json" } }, problemDetails(error, ""));
    }

    uint64_t wallMilliseconds(const Clock& clock)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallTime().time_since_epoch()).count());
    }

    /** Returns 0 if the text is not a number. */
    uint64_t parseNumber(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    struct ControlKindName {
        ControlKind kind;
        std::string_view name;
    };

    constexpr std::array<ControlKindName, ControlBudget::kindCount> controlKindNames { {
        { ControlKind::BulkGossip, "gossip" },
        { ControlKind::Synchronisation, "synchronisation" },
        { ControlKind::Suspicion, "suspicion" },
        { ControlKind::Probe, "probe" },
        { ControlKind::Leaving, "leaving" },
    } };

    constexpr std::string_view stateName(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return "alive";
        case MemberState::Suspect:
            return "suspect";
        case MemberState::Leaving:
            return "leaving";
        case MemberState::Dead:
            return "dead";
        }
        return "unknown";
    }

}

Daemon::Daemon(DaemonSettings settings, const Clock& clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_startIncarnation(wallMilliseconds(clock))
    , m_id(m_settings.id)
    , m_incarnation(incarnationOf(m_id, m_startIncarnation))
    , m_objectives(clock.now())
    , m_traces(maxTraceBytes)
    , m_lifecycle(clock)
    , m_limits(clock, m_id)
    , m_callBudget(clock, CallBudget::Limits {})
    , m_store(storeSettings(m_settings), m_callBudget)
    , m_instances(storeSettings(m_settings), m_callBudget)
    , m_watcher(watcherSettings(m_settings, m_id), clock, m_store, *this, m_configuration)
    , m_controlBudget(ControlBudget::Settings {}, clock.now())
    , m_loadGossip(m_membership, m_controlBudget, clock)
    , m_tickets(clock, ticketKeys(m_settings.ticketKeys))
    , m_outcomes(clock, m_incarnation, OutcomeTable::Settings {})
    , m_claims(m_store, clock, m_incarnation, ClaimCoordinator::Settings {})
    , m_executor(clock, m_tickets, m_outcomes, m_claims, [this](std::string_view incarnation) { return resolveIncarnation(incarnation); })
    , m_innerClient(innerOptions(m_settings))
    , m_router(clock, m_innerClient, m_fleet, m_loadGossip, m_metrics)
    , m_chats(clock, *this, m_fleet, m_router, m_limits, m_metrics, m_objectives, m_traces, m_settings.requestDeadline)
    , m_serviceClient(clock, ServiceClient::Settings {})
    , m_services({ clock, *this, m_fleet, m_executor, m_innerClient, m_serviceClient, m_limits, m_metrics, m_objectives }, m_settings.requestDeadline)
    , m_directory(
          m_fleet, [this] { return m_membership->members(); }, m_tickets, m_settings.region)
    , m_operators({ [this] { return m_lifecycle.isIn("serving"); }, [this] { return m_metrics.text(); }, [this] { return status(); },
                      [this] { return m_objectives.describe(m_clock.now()); }, [this](const std::string& request) { return m_traces.find(request); }, [this] { beginStop(); } },
          m_settings.operatorKeys)
    , m_homeWorkers({ m_settings.homeThreads, 4 })
    , m_innerServer(innerServerOptions(m_settings), [this](InnerRequest request, std::shared_ptr<InnerResponder> responder) { handleInner(std::move(request), std::move(responder)); })
    , m_callerListener(callerLimits(m_settings))
    , m_operatorListener({ .pool = { operatorThreads, 1 } })
    , m_startedAt(clock.now())
{
    // The work-stealing scheduler polls: its two threads woke up 6,000 times a second in an idle daemon. The sharing
    // scheduler waits on a condition variable.
    m_actorSettings.set("scheduler.policy", caf::atom("sharing"));
    m_actorSettings.set("scheduler.max-threads", 2);
    m_configuration.addListener(m_differences);
}

Daemon::~Daemon()
{
    m_backgroundThread.request_stop();
    if (m_backgroundThread.joinable())
        m_backgroundThread.join();
    m_watcher.stop();
    if (m_monitor)
        m_monitor->stop();
    m_callerListener.stop();
    m_operatorListener.stop();
    m_homeWorkers.shutdown();
    m_innerServer.stop();
    m_innerClient.stop();
    if (m_home)
        m_home->stop();
    m_home.reset();
    m_actors.reset();
}

Member Daemon::selfMember() const
{
    Member member;
    member.id = m_id;
    member.incarnation = m_startIncarnation;
    member.startIncarnation = m_startIncarnation;
    member.region = m_settings.region;
    member.failureDomain = m_settings.failureDomain;
    member.callerAddress = m_settings.callers.text();
    member.innerAddress = m_settings.inner.text();
    member.gossipAddress = m_settings.gossip.text();
    member.operatorAddress = m_settings.operators.text();
    member.isPlaceable = false;
    return member;
}

Status Daemon::start()
{
    auto membership = MembershipService::start(membershipSettings(m_settings, selfMember()), m_controlBudget, m_clock, nullptr);
    if (!isOk(membership))
        return error(membership);
    m_membership = value(std::move(membership));
    startHome();
    if (auto started = startListeners(); !isOk(started))
        return started;
    m_watcher.start();
    m_monitor->start();
    m_backgroundThread = std::jthread([this](const std::stop_token& stop) { runBackgroundTasks(stop); });
    logEvent(Severity::Info, "started", { { "id", m_id.text() }, { "incarnation", m_incarnation }, { "callers", m_settings.callers.text() } });
    return ok();
}

void Daemon::startHome()
{
    m_actors = std::make_unique<caf::actor_system>(m_actorSettings);
    const LoadExchange exchange {
        [this](std::span<const ModelLoad> loads) { m_membership->publishLoads(loads); },
        [this](const ModelId& model) { return m_membership->meanLoad(model, m_settings.region); },
        [this](const LatencySummary& summary) { m_membership->publish(latencySlot, summary.encode()); },
        [this] { return peerLatencies(); },
    };
    m_home = std::make_unique<HomeClient>(*m_actors, spawnHomeActor(*m_actors, m_id, m_clock, exchange));
    m_homeChat = std::make_unique<HomeChatHandler>(m_clock, *m_home, m_metrics);
    m_monitor = std::make_unique<EngineMonitor>(*m_home, m_clock);
}

std::vector<LatencySummary> Daemon::peerLatencies() const
{
    std::set<MemberId> region;
    for (const auto& member : *m_membership->members()) {
        if (member.region == m_settings.region && member.id != m_id)
            region.insert(member.id);
    }
    std::vector<LatencySummary> summaries;
    for (const auto& entry : m_membership->valuesOf(latencySlot)) {
        const auto summary = LatencySummary::decode(entry.payload);
        if (isOk(summary) && region.contains(entry.member))
            summaries.push_back(value(summary));
    }
    return summaries;
}

Status Daemon::startListeners()
{
    m_chats.registerRoutes(m_callerListener.server());
    m_services.registerRoutes(m_callerListener.server());
    m_directory.registerRoutes(m_callerListener.server());
    m_operators.registerRoutes(m_operatorListener.server());
    if (const auto port = m_innerServer.start(m_settings.inner.host, m_settings.inner.port); !isOk(port))
        return error(port);
    if (const auto port = m_operatorListener.start(m_settings.operators.host, m_settings.operators.port); !isOk(port))
        return error(port);
    if (const auto port = m_callerListener.start(m_settings.callers.host, m_settings.callers.port); !isOk(port))
        return error(port);
    return ok();
}

std::optional<Error> Daemon::refusal() const
{
    if (m_lifecycle.isAccepting())
        return std::nullopt;
    if (m_lifecycle.isIn("starting"))
        return Error { ErrorKind::NoConfiguration, "the instance is starting", std::chrono::milliseconds(1000) };
    return Error { ErrorKind::Draining, "the instance is shutting down; query the directory for another instance", std::chrono::milliseconds(0) };
}

void Daemon::beginStop()
{
    const auto fleet = m_fleet.current();
    const auto lifetime = fleet ? fleet->configuration().limits().directoryTtl : std::chrono::seconds(0);
    m_lifecycle.beginStop(m_lifecycle.isIn("starting") ? std::chrono::seconds(0) : lifetime);
    if (m_membership)
        m_membership->leave();
    m_wake.notify_all();
}

void Daemon::run()
{
    bool hasTransferredOutcomes = false;
    while (!m_lifecycle.isIn("stopped")) {
        const auto now = m_clock.now();
        refreshFleet();
        becomeReadyWhenPossible();
        if (now >= m_nextMetricsRefresh) {
            m_nextMetricsRefresh = now + housekeepingInterval;
            refreshMetrics();
        }
        if (now >= m_nextSeeding) {
            m_nextSeeding = now + seedingInterval;
            updateSeeds();
        }
        const int inProgress = m_metrics.inProgress() + m_innerInProgress;
        if (m_lifecycle.isIn("draining") && inProgress == 0 && !hasTransferredOutcomes) {
            hasTransferredOutcomes = true;
            transferOutcomes();
        }
        m_lifecycle.advance(inProgress, m_settings.drainDeadline);
        std::unique_lock lock(m_wakeMutex);
        m_wake.wait_for(lock, loopInterval);
    }
}

void Daemon::runBackgroundTasks(const std::stop_token& stop)
{
    // Runs on a separate thread, so that an unreachable peer or store does not delay member and configuration changes.
    TimePoint nextReport {};
    while (!stop.stop_requested()) {
        if (const auto now = m_clock.now(); now >= nextReport) {
            nextReport = now + housekeepingInterval;
            reportUsage();
            m_executor.flushWriteBacks();
        } else if (m_limits.isReportDue()) {
            reportUsage();
        }
        std::mutex mutex;
        std::unique_lock lock(mutex);
        std::condition_variable_any().wait_for(lock, stop, loopInterval, [] { return false; });
    }
}

void Daemon::refreshFleet()
{
    const auto applied = m_configuration.current();
    const auto members = m_membership->members();
    const uint64_t revision = applied ? applied->revision : 0;
    for (const auto& member : *members) {
        if (const auto mark = m_membership->configurationOf(member.id))
            m_watcher.setPeerRevision(member.id, mark->revision);
    }
    if (revision == m_appliedRevision && members == m_appliedMembers)
        return;
    if (members != m_appliedMembers) {
        std::vector<MemberId> region;
        for (const auto& member : *members) {
            if (member.region == m_settings.region && member.state != MemberState::Leaving)
                region.push_back(member.id);
        }
        m_watcher.setRegionMembers(region);
    }
    m_appliedRevision = revision;
    m_appliedMembers = members;
    if (!applied)
        return;
    m_membership->publishConfiguration({ revision, applied->configuration->digest() });
    applyObjectives(*applied->configuration);
    auto view = std::make_shared<const FleetView>(applied->configuration, members, m_settings.region);
    m_home->update(view);
    m_monitor->setTargets(enginesAtHome(*view));
    m_fleet.set(std::move(view));
}

std::map<EngineId, std::string> Daemon::enginesAtHome(const FleetView& fleet) const
{
    std::map<EngineId, std::string> addresses;
    for (const auto& engine : fleet.engines()) {
        const auto* home = fleet.homeOf(engine);
        if (home && home->id == m_id)
            addresses.emplace(engine, fleet.configuration().engines().at(engine).address);
    }
    return addresses;
}

void Daemon::applyObjectives(const FleetConfiguration& configuration)
{
    std::vector<Objective> objectives;
    for (const auto& settings : configuration.objectives())
        objectives.push_back({ settings.name, std::nullopt, settings.account, settings.priority, settings.firstToken, settings.betweenTokens, settings.target });
    m_objectives.setObjectives(std::move(objectives));
    for (const auto& objective : *m_objectives.objectives())
        m_metrics.setObjectiveTarget(objective.name, objective.target);
}

void Daemon::becomeReadyWhenPossible()
{
    const auto fleet = m_fleet.current();
    if (!m_lifecycle.isIn("starting") || !fleet || m_clock.now() - m_startedAt < settlingTime)
        return;
    m_membership->setPlaceable(true);
    if (fleet->hasHomes())
        m_lifecycle.becomeReady();
}

void Daemon::reportUsage()
{
    const auto fleet = m_fleet.current();
    if (!fleet)
        return;
    for (const auto& report : m_limits.takeReports(*fleet)) {
        if (report.home == m_id) {
            m_limits.applyShares(m_limits.allocateShares(*fleet, m_id, report.rows));
            continue;
        }
        const auto body = AccountLimits::encode(m_id, report.rows);
        const auto stream = m_innerClient.start(report.address, { "/inner/usage", {}, body });
        const auto answer = readAll(*stream, maxDocumentBytes, peerTimeout);
        if (!isOk(answer))
            continue;
        if (const auto shares = AccountLimits::decode(value(answer)); isOk(shares))
            m_limits.applyShares(value(shares).rows);
    }
}

void Daemon::refreshMetrics()
{
    m_metrics.setConfigurationRevision(m_configuration.revision());
    std::map<MemberState, size_t> counts { { MemberState::Alive, 0 }, { MemberState::Suspect, 0 }, { MemberState::Leaving, 0 } };
    for (const auto& member : *m_membership->members())
        ++counts[member.state];
    for (const auto& [state, count] : counts)
        m_metrics.setMembers(stateName(state), count);
    const auto calls = m_callBudget.counts();
    for (size_t kind = 0; kind < platformCallKinds; ++kind)
        m_metrics.setStoreCalls(platformCallName(static_cast<PlatformCall>(kind)), calls.at(kind));
    for (const auto& [kind, name] : controlKindNames)
        m_metrics.setControlBytes(name, "sent", m_controlBudget.bytesSpent(kind));
    // A datagram contains several kinds, so received bytes are not split by kind.
    m_metrics.setControlBytes("membership", "received", m_membership->bytesReceived());
    m_metrics.setControlBytes("engine-reports", "both", m_monitor->bytesExchanged());
    if (const auto home = m_home->status()) {
        int running = 0;
        size_t queued = 0;
        for (const auto& engine : home->engines) {
            running += engine.running;
            queued += engine.queued;
        }
        m_metrics.setEngine(running, queued, home->engines.size());
    }
}

void Daemon::updateSeeds()
{
    const auto instances = m_instances.fetch(routerService);
    if (!isOk(instances))
        return;
    std::vector<std::string> seeds = m_settings.seeds;
    for (const auto& instance : value(instances)) {
        const auto gossip = instance.meta.find("gossip");
        if (gossip != instance.meta.end() && gossip->second != m_settings.gossip.text())
            seeds.push_back(gossip->second);
    }
    m_membership->setSeeds(std::move(seeds));
}

std::optional<std::string> Daemon::resolveIncarnation(std::string_view incarnation) const
{
    if (incarnation == m_incarnation || m_outcomes.hasInherited(incarnation))
        return m_incarnation;
    const auto fleet = m_fleet.current();
    if (!fleet)
        return std::nullopt;
    if (const auto* member = memberOfIncarnation(*fleet, incarnation))
        return incarnationOf(member->id, member->startIncarnation);
    const auto successors = successorsOf(*fleet, incarnation);
    if (successors.empty() || successors.front()->id == m_id)
        return std::nullopt;
    return incarnationOf(successors.front()->id, successors.front()->startIncarnation);
}

void Daemon::transferOutcomes()
{
    m_outcomes.close();
    const auto fleet = m_fleet.current();
    if (!fleet)
        return;
    const auto parts = m_outcomes.exportParts(outcomePartBytes);
    for (const auto* successor : successorsOf(*fleet, m_incarnation)) {
        for (const auto& part : parts) {
            const auto stream = m_innerClient.start(successor->innerAddress, { "/inner/outcomes", {}, part });
            const auto head = stream->head(peerTimeout);
            logEvent(Severity::Info, "outcomes-handed-over", { { "to", successor->id.text() }, { "bytes", part.size() }, { "accepted", isOk(head) && value(head).status == 204 } });
        }
    }
}

Result<ConfigurationWatcher::FetchedDocument> Daemon::fetchFromPeer(const MemberId& peer, const AppliedConfiguration* held)
{
    const auto members = m_membership->members();
    const auto found = std::find_if(members->begin(), members->end(), [&](const Member& member) { return member.id == peer; });
    if (found == members->end())
        return Error { ErrorKind::PeerUnreachable, "unknown member " + peer.text() };
    auto answer = requestConfiguration(*found, held ? held->revision : 0);
    if (!isOk(answer))
        return error(answer);
    auto document = value(answer).resolveDocument(held);
    if (!isOk(document) && value(answer).kind == ConfigurationResponse::Kind::Difference) {
        logEvent(Severity::Info, "configuration-difference-rejected", { { "peer", peer.text() }, { "revision", value(answer).revision }, { "detail", error(document).detail } });
        answer = requestConfiguration(*found, 0);
        if (!isOk(answer))
            return error(answer);
        document = value(answer).resolveDocument(nullptr);
    }
    if (!isOk(document))
        return error(document);
    const auto& received = value(answer);
    logEvent(Severity::Debug, "configuration-pulled", { { "peer", peer.text() }, { "revision", received.revision }, { "content", ConfigurationResponse::kindName(received.kind) }, { "bytes", received.body.size() } });
    return ConfigurationWatcher::FetchedDocument { received.revision, value(std::move(document)) };
}

Result<ConfigurationResponse> Daemon::requestConfiguration(const Member& peer, uint64_t heldRevision)
{
    const auto stream = m_innerClient.start(peer.innerAddress, { "/inner/configuration", { { "x-revision", std::to_string(heldRevision) } }, "" });
    const auto head = stream->head(peerTimeout);
    if (!isOk(head))
        return error(head);
    auto body = readAll(*stream, maxDocumentBytes, peerTimeout);
    if (!isOk(body))
        return error(body);
    const auto& headers = value(head).headers;
    const auto kind = ConfigurationResponse::kindFromName(headerOr(headers, "x-content"));
    const uint64_t revision = parseNumber(headerOr(headers, "x-revision"));
    if (value(head).status != 200 || !kind || revision == 0)
        return Error { ErrorKind::NoConfiguration, peer.id.text() + " has no configuration" };
    return ConfigurationResponse { *kind, revision, parseNumber(headerOr(headers, "x-digest")), value(std::move(body)) };
}

void Daemon::handleInner(InnerRequest request, std::shared_ptr<InnerResponder> responder)
{
    ++m_innerInProgress;
    m_homeWorkers.enqueue([this, request = std::move(request), responder = std::move(responder)]() mutable {
        if (BoundedTaskQueue::isOverflowThread())
            respondWithProblem(*responder, { ErrorKind::Overloaded, "the home has too many concurrent streams", std::chrono::milliseconds(500) });
        else
            dispatchInner(std::move(request), *responder);
        --m_innerInProgress;
    });
}

void Daemon::dispatchInner(InnerRequest request, InnerResponder& responder)
{
    using Serve = void (Daemon::*)(const InnerRequest&, InnerResponder&);
    static const std::map<std::string_view, Serve> s_routes {
        { "/inner/configuration", &Daemon::serveConfiguration },
        { "/inner/usage", &Daemon::serveUsage },
        { "/inner/outcomes", &Daemon::serveOutcomes },
        { "/inner/service", &Daemon::serveService },
        { "/inner/placed", &Daemon::servePlaced },
    };
    if (request.path == "/inner/chat")
        return serveChat(std::move(request), responder);
    const auto route = s_routes.find(request.path);
    if (route == s_routes.end())
        return respondWithProblem(responder, { ErrorKind::NotFound, "unknown inner path " + request.path });
    (this->*route->second)(request, responder);
}

void Daemon::serveChat(InnerRequest request, InnerResponder& responder)
{
    const auto fleet = m_fleet.current();
    if (!fleet)
        return respondWithProblem(responder, { ErrorKind::NoConfiguration, "no configuration is in force at the home" });
    m_loadGossip.receiveFrom(request.headers);
    LoadAttachingResponder attaching(responder, m_loadGossip);
    m_homeChat->run(std::move(request), attaching, fleet->configuration().limits().livenessTimeout);
}

void Daemon::servePlaced(const InnerRequest& request, InnerResponder& responder)
{
    const auto notice = ChatPlacedNotice::fromInnerRequest(request);
    if (!isOk(notice))
        return respondWithProblem(responder, error(notice));
    m_home->recordPlacement(value(notice).chat, value(notice).servedAt);
    responder.respond(204, {}, "");
}

void Daemon::serveService(const InnerRequest& request, InnerResponder& responder)
{
    m_services.runForwarded(request, responder);
}

void Daemon::serveConfiguration(const InnerRequest& request, InnerResponder& responder)
{
    const auto answer = m_differences.responseFor(parseNumber(headerOr(request.headers, "x-revision")));
    if (!isOk(answer))
        return respondWithProblem(responder, error(answer));
    const auto& [kind, revision, digest, body] = value(answer);
    responder.respond(200, { { "x-revision", std::to_string(revision) }, { "x-content", std::string(ConfigurationResponse::kindName(kind)) }, { "x-digest", std::to_string(digest) } }, body);
}

void Daemon::serveUsage(const InnerRequest& request, InnerResponder& responder)
{
    const auto fleet = m_fleet.current();
    const auto report = AccountLimits::decode(request.body);
    if (!fleet || !isOk(report))
        return respondWithProblem(responder, { ErrorKind::InvalidMessage, "malformed usage report, or no configuration is in force" });
    const auto shares = m_limits.allocateShares(*fleet, value(report).reporter, value(report).rows);
    responder.respond(200, {}, AccountLimits::encode(m_id, shares));
}

void Daemon::serveOutcomes(const InnerRequest& request, InnerResponder& responder)
{
    const auto received = m_outcomes.importPart(request.body);
    if (!isOk(received))
        return respondWithProblem(responder, error(received));
    responder.respond(204, {}, "");
}

nlohmann::json Daemon::status() const
{
    const auto applied = m_configuration.current();
    nlohmann::json body {
        { "id", m_id.text() },
        { "incarnation", m_incarnation },
        { "region", m_settings.region.text() },
        { "failure_domain", m_settings.failureDomain.text() },
        { "state", m_lifecycle.state() },
        { "revision", applied ? applied->revision : 0 },
        { "digest", applied ? applied->configuration->digest() : 0 },
        { "calls_in_progress", m_metrics.inProgress() },
        { "inner_in_progress", m_innerInProgress.load() },
        { "invariant_violations", invariantViolations() },
        { "is_watching", m_watcher.isWatching() },
    };
    for (const auto& member : *m_membership->members())
        body["members"].push_back({ { "id", member.id.text() }, { "state", stateName(member.state) }, { "placeable", member.isPlaceable }, { "operators", member.operatorAddress } });
    if (const auto home = m_home->status()) {
        for (const auto& engine : home->engines)
            body["engines"].push_back({ { "id", engine.engine.text() }, { "running", engine.running }, { "queued", engine.queued }, { "capacity", engine.capacity }, { "weight", engine.weight }, { "available", engine.isAvailable } });
    }
    return body;
}

}
