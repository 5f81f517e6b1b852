#include "TrafficMetrics.h"

#include <borageslip_core/errors/Invariant.h>
#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <prometheus/text_serializer.h>
#include <unistd.h>

namespace borageslip {

namespace {

    using prometheus::ClientMetric;
    using prometheus::MetricFamily;
    using prometheus::MetricType;

    /** A counter and the value of the "outcome" label under which it is exported. */
    struct OutcomeRow {
        const char* outcome;
        uint64_t TrafficCounts::*count;
    };
    constexpr std::array outcomeRows {
        OutcomeRow { "answered", &TrafficCounts::answered },
        OutcomeRow { "refused", &TrafficCounts::refused },
        OutcomeRow { "failed", &TrafficCounts::failed },
        OutcomeRow { "caller-left", &TrafficCounts::callersDisconnected },
    };

    MetricFamily makeFamily(const char* name, const char* help, MetricType type)
    {
        return { name, help, type, {} };
    }

    MetricFamily gauge(const char* name, const char* help, double value)
    {
        auto family = makeFamily(name, help, MetricType::Gauge);
        ClientMetric metric;
        metric.gauge.value = value;
        family.metric.push_back(metric);
        return family;
    }

    MetricFamily counter(const char* name, const char* help, uint64_t value)
    {
        auto family = makeFamily(name, help, MetricType::Counter);
        ClientMetric metric;
        metric.counter.value = static_cast<double>(value);
        family.metric.push_back(metric);
        return family;
    }

    /** Adds a sample with one label to a family of counters or gauges. */
    void addSample(MetricFamily& family, const char* label, const char* name, double value)
    {
        ClientMetric metric;
        metric.label.push_back({ label, name });
        (family.type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
        family.metric.push_back(std::move(metric));
    }

    MetricFamily outcomes(const TrafficCounts& counts)
    {
        auto family = makeFamily("borageslip_entry_outcomes_total", "Requests that have ended, by outcome", MetricType::Counter);
        for (const auto& row : outcomeRows)
            addSample(family, "outcome", row.outcome, static_cast<double>(counts.*row.count));
        return family;
    }

    MetricFamily histogram(const char* name, const char* help, const DurationHistogram& durations)
    {
        auto family = makeFamily(name, help, MetricType::Histogram);
        ClientMetric metric;
        uint64_t cumulative = 0;
        for (size_t i = 0; i < DurationHistogram::bucketCount; ++i) {
            cumulative += durations.count(i);
            metric.histogram.bucket.push_back({ cumulative, DurationHistogram::upperBound(i) });
        }
        metric.histogram.sample_count = cumulative;
        metric.histogram.sample_sum = std::chrono::duration<double>(durations.sum()).count();
        family.metric.push_back(std::move(metric));
        return family;
    }

    MetricFamily memoryDenials(const TrafficCounts& counts)
    {
        auto family = makeFamily("borageslip_entry_memory_denials_total", "Reservations that this coordinator denied because of the memory of a server", MetricType::Counter);
        addSample(family, "reason", "full", static_cast<double>(counts.memoryDecisions.at(static_cast<size_t>(MemoryDecision::Full))));
        addSample(family, "reason", "unsettled", static_cast<double>(counts.memoryDecisions.at(static_cast<size_t>(MemoryDecision::Unsettled))));
        return family;
    }

    MetricFamily placements(const TrafficCounts& counts)
    {
        auto family = makeFamily("borageslip_entry_placements_total", "Choices of a backend server, by reason", MetricType::Counter);
        for (size_t i = 0; i < choiceReasonCount; ++i)
            addSample(family, "reason", choiceReasonName(static_cast<ChoiceReason>(i)), static_cast<double>(counts.placements.at(i)));
        return family;
    }

    MetricFamily reservationRequests(const TrafficCounts& counts)
    {
        constexpr std::array<const char*, reservationOutcomeCount> names { "granted", "denied", "unanswered" };
        auto family = makeFamily("borageslip_entry_place_requests_total", "Requests for places that other instances keep, by outcome", MetricType::Counter);
        for (size_t i = 0; i < names.size(); ++i)
            addSample(family, "outcome", names.at(i), static_cast<double>(counts.reservationRequests.at(i)));
        return family;
    }

    MetricFamily coldPermitRequests(const TrafficCounts& counts)
    {
        constexpr std::array<const char*, reservationOutcomeCount> names { "granted", "denied", "unanswered" };
        auto family = makeFamily("borageslip_entry_cold_permit_requests_total", "Permits for cold servers requested from other instances, by outcome", MetricType::Counter);
        for (size_t i = 0; i < names.size(); ++i)
            addSample(family, "outcome", names.at(i), static_cast<double>(counts.coldPermitRequests.at(i)));
        return family;
    }

    MetricFamily slotRequests(const TrafficCounts& counts)
    {
        constexpr std::array<const char*, SlotTicket::outcomeCount> names { "withdrawn", "granted", "rejected", "unanswered" };
        auto family = makeFamily("borageslip_entry_slot_requests_total", "Requests for slots from the queue of a service, by outcome", MetricType::Counter);
        for (size_t i = 0; i < names.size(); ++i)
            addSample(family, "outcome", names.at(i), static_cast<double>(counts.slotRequests.at(i)));
        return family;
    }

    MetricFamily quarantines(TrafficEngine& engine)
    {
        auto family = makeFamily("borageslip_entry_quarantine_seconds", "Time until the quarantine of a combination of prompt parts ends, unless a request with it arrives", MetricType::Gauge);
        for (const auto& entry : engine.quarantine().quarantined()) {
            ClientMetric metric;
            metric.label = { { "model", entry.prompt.model }, { "parts", partsText(entry.prompt) } };
            metric.gauge.value = std::chrono::duration<double>(entry.timeLeft).count();
            family.metric.push_back(std::move(metric));
        }
        return family;
    }

    /** Resident memory of this process in bytes; 0 if it cannot be read. */
    double residentBytes()
    {
        std::ifstream file("/proc/self/statm");
        uint64_t total = 0;
        uint64_t resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

    size_t rateLimitedServers(TrafficEngine& engine)
    {
        const auto now = engine.clock().now();
        const auto& servers = engine.servers().all();
        return static_cast<size_t>(std::count_if(servers.begin(), servers.end(), [now](const auto& row) { return row.second->allowance().rateLimit(now).has_value(); }));
    }

    constexpr double slowFactor = 1.1; ///< Smaller differences hardly change a server's share.

    size_t slowServers(TrafficEngine& engine)
    {
        const auto now = engine.clock().now();
        const auto& servers = engine.servers().all();
        return static_cast<size_t>(std::count_if(servers.begin(), servers.end(), [now](const auto& row) { return row.second->slowness().factor(now) > slowFactor; }));
    }

    MetricFamily servers(TrafficEngine& engine)
    {
        int ready = 0;
        int draining = 0;
        int evacuated = 0;
        int ejected = 0;
        int lowered = 0;
        const auto now = engine.clock().now();
        for (const auto& [id, server] : engine.servers().all()) {
            if (server->isEvacuated())
                ++evacuated;
            else if (!server->isInService())
                ++draining;
            else if (server->isEjected(now))
                ++ejected;
            else
                ++(engine.servers().health(server->description().service).hasReducedShare(server->hash()) ? lowered : ready);
        }
        auto family = makeFamily("borageslip_entry_servers", "Backend servers, by state", MetricType::Gauge);
        for (const auto& [state, count] : { std::pair("ready", ready), std::pair("draining", draining), std::pair("evacuated", evacuated), std::pair("ejected", ejected), std::pair("lowered", lowered) })
            addSample(family, "state", state, count);
        return family;
    }

}

TrafficMetrics::TrafficMetrics(TrafficEngine& engine, const PeerLink& peers)
    : m_engine(engine)
    , m_peers(peers)
{
}

std::vector<MetricFamily> TrafficMetrics::collect() const
{
    auto families = trafficFamilies();
    for (const auto& source : m_sources)
        families.push_back(source());
    return families;
}

std::vector<MetricFamily> TrafficMetrics::trafficFamilies() const
{
    const auto& counts = m_engine.counts();
    const auto version = m_engine.configuration() ? m_engine.configuration()->version() : 0;
    return {
        counter("borageslip_entry_requests_total", "Requests of callers", counts.requests),
        outcomes(counts),
        histogram("borageslip_entry_request_seconds", "Time from a request's first byte to its end", counts.durations),
        histogram("borageslip_entry_wait_seconds", "Time that requests waited for a place, of those that had to wait", counts.waits),
        placements(counts),
        reservationRequests(counts),
        counter("borageslip_entry_reservation_waits_total", "Reservation requests that waited for a slot of the server that has their prompt prefix", counts.reservationWaits),
        counter("borageslip_entry_prefix_waits_total", "Granted requests that waited while another one prefilled their prompt prefix", counts.prefixWaits),
        counter("borageslip_entry_prefix_waits_expired_total", "Requests that waited for a prompt prefix and were sent without news of its prefill", counts.prefixWaitsExpired),
        counter("borageslip_entry_prefills_failed_total", "Failed prefills of shared prompt prefixes that this coordinator was told of", counts.prefillsFailed),
        slotRequests(counts),
        counter("borageslip_entry_prompt_tokens_total", "Prompt tokens of requests sent to backend servers", counts.promptTokens),
        counter("borageslip_entry_prompt_tokens_cached_total", "Prompt tokens expected to be cached where they were sent", counts.promptTokensCached),
        counter("borageslip_entry_retries_total", "Sends after a failed one, within the shared budget", counts.retries),
        counter("borageslip_entry_retries_denied_total", "Repeats that the shared budget did not allow", counts.retriesDenied),
        counter("borageslip_entry_confirmations_total", "Requests whose route or key the configuration lacks, that waited for it to be confirmed", counts.confirmations),
        counter("borageslip_entry_confirmations_missed_total", "Of these, the ones for which it was not confirmed in time", counts.confirmationsMissed),
        gauge("borageslip_entry_evacuated_domains", "Failure domains that are evacuated", static_cast<double>(m_engine.evacuation().activeCount())),
        counter("borageslip_entry_evacuation_abandons_total", "Attempts given up before the request was written, because the server was evacuated", counts.evacuationAbandons),
        counter("borageslip_entry_evacuation_rejections_total", "Requests rejected because all servers of their service are evacuated", counts.evacuationRejections),
        gauge("borageslip_entry_rate_limited_servers", "Backend servers that have named a rate limit", static_cast<double>(rateLimitedServers(m_engine))),
        counter("borageslip_entry_rate_limit_denials_total", "Reservations that this coordinator denied because of the rate limit of a server", counts.rateLimitDenials),
        counter("borageslip_entry_rate_limits_invalid_total", "Responses with a rate limit that is no number or out of range", counts.invalidRateLimits),
        gauge("borageslip_entry_slow_servers", "Backend servers that state that work takes more than 1.1 times as long as usual", static_cast<double>(slowServers(m_engine))),
        counter("borageslip_entry_slowness_invalid_total", "Responses whose figure of their server's speed is not positive", counts.invalidSlowness),
        gauge("borageslip_entry_cold_servers", "Backend servers that get requests only with permits, because they are cold", static_cast<double>(m_engine.coldServers().limitedCount())),
        gauge("borageslip_entry_cold_shares", "Quota shares of cold servers that this instance holds", static_cast<double>(m_peers.coldPermits().rights().heldCount(m_engine.clock().now()))),
        coldPermitRequests(counts),
        counter("borageslip_entry_cold_permits_total", "Permits for cold servers that this instance issued", counts.coldPermitsIssued),
        counter("borageslip_entry_cold_sends_withheld_total", "Requests that were not written to a cold server for want of a valid permit", counts.coldSendsWithheld),
        memoryDenials(counts),
        counter("borageslip_entry_memory_rejections_total", "Requests rejected because they are larger than the memory that a server has for one request", counts.memoryRejections),
        counter("borageslip_entry_memory_unanswered_total", "Requests not sent to a server because nobody knew how much of its memory was left", counts.memoryUnanswered),
        counter("borageslip_entry_server_crashes_total", "Crashes of backend servers with requests of this instance that they had not begun to answer", m_engine.crashDetector().crashCount()),
        counter("borageslip_entry_quarantine_rejections_total", "Requests rejected because of quarantined prompt parts", counts.quarantineRejections),
        gauge("borageslip_entry_quarantined_prompts", "Quarantined combinations of prompt parts", static_cast<double>(m_engine.quarantine().quarantined().size())),
        quarantines(m_engine),
        servers(m_engine),
        gauge("borageslip_entry_waiting", "Requests that wait for a place at a backend server", static_cast<double>(m_engine.waitingCount() + m_peers.ownQueuedRequestCount())),
        gauge("borageslip_entry_queued_requests", "Requests of all instances in the service queues of this coordinator", static_cast<double>(m_peers.queuedRequestCount())),
        gauge("borageslip_entry_coordinated_services", "Services whose slots this instance grants", static_cast<double>(m_peers.coordinatedServiceCount())),
        gauge("borageslip_entry_configuration_version", "Version of the configuration in force; 0 for none", static_cast<double>(version)),
        gauge("borageslip_entry_knowledge_age_seconds", "Time since the store last confirmed what is known", std::chrono::duration<double>(m_engine.storeDataAge()).count()),
        gauge("borageslip_entry_members", "Other instances that the store lists", static_cast<double>(m_peers.memberCount())),
        gauge("borageslip_entry_members_heard", "Other instances whose reports arrive", static_cast<double>(m_peers.livePeerCount())),
        gauge("borageslip_entry_peer_report_age_seconds", "Age of the oldest report that counts", std::chrono::duration<double>(m_peers.oldestReportAge()).count()),
        gauge("borageslip_entry_load_age_seconds", "Mean age of the other instances' loads that choices use", std::chrono::duration<double>(m_engine.loadAge()).count()),
        gauge("borageslip_entry_resident_bytes", "Memory of the process", residentBytes()),
        gauge("borageslip_entry_loop_lag_seconds", "How late the event loop served its last timer", std::chrono::duration<double>(m_loopLag).count()),
        counter("borageslip_entry_log_lines_dropped_total", "Log lines that a full pipe did not take", droppedLogLines()),
        counter("borageslip_entry_invariant_violations_total", "Violations of the program's own invariants", invariantViolations()),
    };
}

std::string TrafficMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(collect());
}

}
