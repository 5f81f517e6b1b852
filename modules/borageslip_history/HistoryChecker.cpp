#include "HistoryChecker.h"

#include "AnswerText.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace borageslip {

namespace {

    using Json = nlohmann::json;

    constexpr int64_t never = std::numeric_limits<int64_t>::max();

    struct ClientRequest {
        const Json* invocation = nullptr;
        const Json* completion = nullptr;
    };

    int64_t timeMember(const Json& record, const char* name)
    {
        return record.value(name, int64_t { 0 });
    }

    std::string stringMember(const Json& record, const char* name)
    {
        return record.value(name, std::string());
    }

    const Json& arrayMember(const Json& record, const char* name)
    {
        static const Json s_empty = Json::array();
        const auto found = record.find(name);
        return found == record.end() ? s_empty : *found;
    }

    class Checker {
    public:
        Checker(const RecordedRun& run, const HistoryRules& rules)
            : m_run(run)
            , m_rules(rules)
        {
            for (const auto& event : run.clientEvents) {
                auto& request = m_requests[stringMember(event, "request")];
                (stringMember(event, "event") == "invoke" ? request.invocation : request.completion) = &event;
                if (const auto key = stringMember(event, "key"); !key.empty())
                    m_eventsByKey[key].push_back(&event);
            }
            for (const auto& engine : run.engines) {
                for (const auto& record : arrayMember(engine, "runs"))
                    m_runsByCaller[stringMember(record, "caller")].push_back({ stringMember(engine, "engine"), &record });
            }
            for (const auto& event : run.fleetEvents)
                m_fleetEvents[stringMember(event, "event")].push_back(&event);
            for (const auto& service : run.services) {
                for (const auto& execution : arrayMember(service, "executions")) {
                    if (const auto key = stringMember(execution, "key"); !key.empty())
                        m_executionsByKey[key].push_back({ stringMember(service, "service"), &execution });
                }
            }
        }

        std::vector<HistoryViolation> check()
        {
            checkLoadBound();
            for (const auto& [id, request] : m_requests) {
                checkAnswer(id, request);
                checkNotRun(id, request);
                checkTruncation(id, request);
            }
            checkExecutions();
            for (const auto& engine : m_run.engines)
                checkLeavingEngine(engine);
            checkPlannedStops();
            checkRevisionsMonotonic();
            checkRevisionsApplied();
            checkDisconnects();
            return std::move(m_violations);
        }

    private:
        struct LocatedRecord {
            std::string location; ///< Name of the engine or service that recorded it.
            const Json* record;
        };

        void violation(std::string invariant, std::string request, std::string description, Json trace)
        {
            m_violations.push_back({ std::move(invariant), std::move(request), std::move(description), std::move(trace) });
        }

        static void appendRecords(Json& trace, const std::vector<LocatedRecord>& records)
        {
            for (const auto& located : records) {
                auto record = *located.record;
                record["at"] = located.location;
                trace.push_back(std::move(record));
            }
        }

        Json traceOf(const std::string& id, const ClientRequest& request) const
        {
            auto trace = Json::array();
            for (const auto* event : { request.invocation, request.completion }) {
                if (event)
                    trace.push_back(*event);
            }
            if (const auto found = m_runsByCaller.find(id); found != m_runsByCaller.end())
                appendRecords(trace, found->second);
            const auto* known = request.invocation ? request.invocation : request.completion;
            if (const auto found = m_executionsByKey.find(stringMember(*known, "key")); found != m_executionsByKey.end())
                appendRecords(trace, found->second);
            return trace;
        }

        // I2: a request gets one complete response, and it is its own.
        void checkAnswer(const std::string& id, const ClientRequest& request)
        {
            if (!request.completion)
                return violation("I2", id, "the history has no completion event for this request", traceOf(id, request));
            if (!request.invocation)
                return violation("I2", id, "the history has no invocation event for this completion", traceOf(id, request));
            const auto& completion = *request.completion;
            const auto outcome = stringMember(completion, "outcome");
            const auto report = [&](const std::string& description) { violation("I2", id, description, traceOf(id, request)); };
            if (outcome == "malformed")
                return report("the response is malformed or belongs to another request");
            if (outcome != "ok")
                return;
            if (stringMember(completion, "kind") != "chat") {
                if (stringMember(completion, "answer_key") != stringMember(*request.invocation, "key"))
                    report("the response belongs to another idempotency key");
                else if (!isAnswerOfExecution(completion))
                    report("no recorded service execution produced this response");
                return;
            }
            const auto expected = completion.value("expected_tokens", uint64_t { 0 });
            if (completion.value("tokens", uint64_t { 0 }) != expected)
                report("the response does not have the expected number of tokens");
            else if (stringMember(completion, "answer_digest") != answerDigest(answerText(id, expected)))
                report("the response text belongs to another request");
        }

        bool isAnswerOfExecution(const Json& completion) const
        {
            const auto key = stringMember(completion, "key");
            if (key.empty() || m_run.services.empty())
                return true;
            const auto executions = m_executionsByKey.find(key);
            return executions != m_executionsByKey.end()
                && std::any_of(executions->second.begin(), executions->second.end(), [&](const LocatedRecord& execution) {
                       return execution.record->value("number", 0) == completion.value("number", 0);
                   });
        }

        // I3: a request reported as not run was not started by an engine or executed by a service.
        void checkNotRun(const std::string& id, const ClientRequest& request)
        {
            if (!request.completion || !request.completion->value("not_run", false))
                return;
            if (stringMember(*request.completion, "kind") == "chat")
                checkChatNotRun(id, request);
            else
                checkBookingNotRun(id, request);
        }

        void checkChatNotRun(const std::string& id, const ClientRequest& request)
        {
            const auto runs = m_runsByCaller.find(id);
            if (runs == m_runsByCaller.end())
                return;
            const auto hasStarted = [](const LocatedRecord& run) { return timeMember(*run.record, "start_us") > 0; };
            if (std::any_of(runs->second.begin(), runs->second.end(), hasStarted))
                violation("I3", id, "reported as not run, but an engine started it", traceOf(id, request));
        }

        void checkBookingNotRun(const std::string& id, const ClientRequest& request)
        {
            const auto key = stringMember(*request.completion, "key");
            const auto executions = m_executionsByKey.find(key);
            if (key.empty() || executions == m_executionsByKey.end())
                return;
            // A different request with the same key may have caused the execution, unless it was reported as not run as well.
            const auto isOtherCompletion = [&](const Json* event) {
                return stringMember(*event, "event") == "complete" && stringMember(*event, "request") != id && !event->value("not_run", false);
            };
            const auto& events = m_eventsByKey.at(key);
            const auto hasRequestId = [&](const LocatedRecord& execution) { return stringMember(*execution.record, "request") == id; };
            const bool isExecutedForRequest = std::any_of(executions->second.begin(), executions->second.end(), hasRequestId);
            if (isExecutedForRequest || std::none_of(events.begin(), events.end(), isOtherCompletion))
                violation("I3", id, "reported as not run, but a service executed it", traceOf(id, request));
        }

        // I4: an idempotency key is executed at most once.
        void checkExecutions()
        {
            for (const auto& [key, executions] : m_executionsByKey) {
                if (executions.size() < 2)
                    continue;
                auto trace = Json::array();
                if (const auto events = m_eventsByKey.find(key); events != m_eventsByKey.end()) {
                    for (const auto* event : events->second)
                        trace.push_back(*event);
                }
                appendRecords(trace, executions);
                violation("I4", key, "executed " + std::to_string(executions.size()) + " times", std::move(trace));
            }
        }

        // I6: only the crash of its entry truncates a response without an error event, and planned stops exit with code 0.
        void checkTruncation(const std::string& id, const ClientRequest& request)
        {
            if (!request.completion || stringMember(*request.completion, "outcome") != "cut")
                return;
            if (!m_rules.crashedEntries.contains(stringMember(*request.completion, "entry")) && !isTruncatedByCrash(request))
                violation("I6", id, "the response was truncated without an error event", traceOf(id, request));
        }

        bool isTruncatedByCrash(const ClientRequest& request) const
        {
            const auto from = request.invocation ? timeMember(*request.invocation, "at_us") : 0;
            const auto until = timeMember(*request.completion, "at_us");
            const auto entry = stringMember(*request.completion, "entry");
            const auto crashes = fleetEvents("crash");
            return std::any_of(crashes.begin(), crashes.end(), [&](const Json* crash) {
                return stringMember(*crash, "entry") == entry && timeMember(*crash, "until_us") >= from && timeMember(*crash, "at_us") <= until;
            });
        }

        void checkPlannedStops()
        {
            for (const auto* stop : fleetEvents("stopped")) {
                if (stop->value("exit_code", -1) != 0)
                    violation("I6", stringMember(*stop, "entry"), "a planned stop ended with exit code " + std::to_string(stop->value("exit_code", -1)), Json::array({ *stop }));
            }
        }

        // I7: a revision has one document, never decreases in a router incarnation and is applied within the grace period.
        void checkRevisionsMonotonic()
        {
            std::map<std::string, std::vector<const Json*>> samples;
            std::map<int64_t, const Json*> digests;
            for (const auto* sample : fleetEvents("revision")) {
                samples[stringMember(*sample, "incarnation")].push_back(sample);
                const auto revision = timeMember(*sample, "revision");
                const auto* first = digests.try_emplace(revision, sample).first->second;
                if (revision > 0 && first->value("digest", Json()) != sample->value("digest", Json()))
                    violation("I7", stringMember(*sample, "router"), "the same revision has two different documents", Json::array({ *first, *sample }));
            }
            for (auto& [incarnation, list] : samples) {
                std::sort(list.begin(), list.end(), [](const Json* left, const Json* right) { return timeMember(*left, "at_us") < timeMember(*right, "at_us"); });
                for (size_t index = 1; index < list.size(); ++index) {
                    if (timeMember(*list[index], "revision") < timeMember(*list[index - 1], "revision"))
                        violation("I7", incarnation, "the configuration revision decreased", Json::array({ *list[index - 1], *list[index] }));
                }
            }
        }

        void checkRevisionsApplied()
        {
            for (const auto* written : fleetEvents("written")) {
                const auto due = configurationDeadline(timeMember(*written, "at_us"));
                for (const auto* sample : fleetEvents("revision")) {
                    if (timeMember(*sample, "at_us") <= due || timeMember(*sample, "revision") >= timeMember(*written, "revision"))
                        continue;
                    violation("I7", stringMember(*sample, "router"), "revision " + std::to_string(timeMember(*written, "revision")) + " was not applied within the grace period", Json::array({ *written, *sample }));
                    break;
                }
            }
        }

        /** Returns the end, in microseconds, of the first configuration grace period at or after `start` that no disturbance overlaps. */
        int64_t configurationDeadline(int64_t start) const
        {
            auto disturbances = fleetEvents("disturbance");
            std::sort(disturbances.begin(), disturbances.end(), [](const Json* left, const Json* right) { return timeMember(*left, "from_us") < timeMember(*right, "from_us"); });
            for (const auto* disturbance : disturbances) {
                const bool isBefore = timeMember(*disturbance, "until_us") <= start;
                if (!isBefore && timeMember(*disturbance, "from_us") < start + m_rules.configurationGrace.count())
                    start = timeMember(*disturbance, "until_us");
            }
            return start + m_rules.configurationGrace.count();
        }

        // docs/design.md section 7: when a caller disconnects, its chat is cancelled at the engine.
        void checkDisconnects()
        {
            for (const auto* disconnect : fleetEvents("caller-gone")) {
                const auto at = timeMember(*disconnect, "at_us");
                const auto due = at + m_rules.cancelGrace.count();
                const auto runs = m_runsByCaller.find(stringMember(*disconnect, "request"));
                if (runs == m_runsByCaller.end() || isDisturbed(at - m_rules.cancelGrace.count(), due))
                    continue;
                for (const auto& run : runs->second) {
                    const auto end = timeMember(*run.record, "end_us");
                    if (end == 0 || end > due)
                        violation("disconnect", stringMember(*disconnect, "request"), "the engine run did not end within the grace period after its caller disconnected", Json::array({ *disconnect, *run.record }));
                }
            }
        }

        bool isDisturbed(int64_t from, int64_t until) const
        {
            const auto disturbances = fleetEvents("disturbance");
            return std::any_of(disturbances.begin(), disturbances.end(), [&](const Json* disturbance) {
                return timeMember(*disturbance, "from_us") <= until && timeMember(*disturbance, "until_us") >= from;
            });
        }

        std::vector<const Json*> fleetEvents(const std::string& name) const
        {
            const auto found = m_fleetEvents.find(name);
            return found == m_fleetEvents.end() ? std::vector<const Json*> {} : found->second;
        }

        // I5: no work is sent to a leaving engine after the grace period.
        void checkLeavingEngine(const Json& engine)
        {
            for (const auto& [from, until] : leavingIntervals(engine)) {
                const auto graceEnd = from + m_rules.leavingGrace.count();
                for (const auto& [list, time] : { std::pair { "runs", "accepted_us" }, std::pair { "refusals", "at_us" } }) {
                    for (const auto& record : arrayMember(engine, list)) {
                        const auto at = timeMember(record, time);
                        if (at <= graceEnd || at >= until || stringMember(record, "reason") == "unknown-run")
                            continue;
                        const auto delayMs = std::to_string((at - from) / 1000);
                        violation("I5", stringMember(record, "request"), "sent to " + stringMember(engine, "engine") + " " + delayMs + " ms after its state changed to leaving",
                            Json::array({ record, { { "state_changes", arrayMember(engine, "state_changes") } } }));
                    }
                }
            }
        }

        static std::vector<std::pair<int64_t, int64_t>> leavingIntervals(const Json& engine)
        {
            std::vector<std::pair<int64_t, int64_t>> times;
            for (const auto& change : arrayMember(engine, "state_changes")) {
                if (stringMember(change, "state") == "leaving")
                    times.emplace_back(timeMember(change, "at_us"), never);
                else if (!times.empty())
                    times.back().second = timeMember(change, "at_us");
            }
            return times;
        }

        // I1: an engine has at most `loadBound` times the mean number of runs of its region and model, rounded up and at least 1.
        void checkLoadBound()
        {
            std::map<std::pair<std::string, std::string>, std::vector<size_t>> groups; // Engine indices by region and model.
            for (size_t engine = 0; engine < m_run.engines.size(); ++engine) {
                for (const auto& model : arrayMember(m_run.engines[engine], "models"))
                    groups[{ stringMember(m_run.engines[engine], "region"), model.get<std::string>() }].push_back(engine);
            }
            for (const auto& [group, engines] : groups)
                checkGroup(group.second, engines);
        }

        struct LoadEvent {
            int64_t at;
            int order; // 0 for an end, 1 for a start: at equal times, ends are processed first.
            size_t engine;
            const Json* run;

            bool operator<(const LoadEvent& other) const { return std::tie(at, order) < std::tie(other.at, other.order); }
        };

        void checkGroup(const std::string& model, const std::vector<size_t>& engines)
        {
            std::vector<LoadEvent> events;
            std::vector<std::vector<std::pair<int64_t, int64_t>>> leaving;
            for (size_t index = 0; index < engines.size(); ++index) {
                const auto& engine = m_run.engines[engines[index]];
                leaving.push_back(leavingIntervals(engine));
                for (const auto& run : arrayMember(engine, "runs")) {
                    if (stringMember(run, "model") != model)
                        continue;
                    events.push_back({ timeMember(run, "accepted_us"), 1, index, &run });
                    if (const auto end = timeMember(run, "end_us"); end > 0)
                        events.push_back({ end, 0, index, &run });
                }
            }
            std::sort(events.begin(), events.end());
            const auto isLive = [&](size_t engine, int64_t at) {
                return std::none_of(leaving[engine].begin(), leaving[engine].end(), [at](const auto& time) { return at >= time.first && at < time.second; });
            };
            std::vector<size_t> running(engines.size());
            for (const auto& event : events) {
                if (event.order == 0) {
                    --running[event.engine];
                    continue;
                }
                ++running[event.engine];
                size_t total = 0;
                size_t live = 0;
                for (size_t engine = 0; engine < engines.size(); ++engine) {
                    if (!isLive(engine, event.at))
                        continue;
                    total += running[engine];
                    ++live;
                }
                if (!isLive(event.engine, event.at))
                    continue;
                const double mean = static_cast<double>(total) / static_cast<double>(live);
                const double limit = std::max(1.0, std::ceil(m_rules.loadBound * mean));
                if (static_cast<double>(running[event.engine]) <= limit)
                    continue;
                const auto name = stringMember(m_run.engines[engines[event.engine]], "engine");
                violation("I1", name, std::to_string(running[event.engine]) + " runs of " + model + " with a mean of " + std::to_string(mean) + " over " + std::to_string(live) + " engines",
                    Json::array({ *event.run, { { "running", running } } }));
            }
        }

        const RecordedRun& m_run;
        const HistoryRules& m_rules;
        std::map<std::string, ClientRequest> m_requests;
        std::map<std::string, std::vector<const Json*>> m_eventsByKey;
        std::map<std::string, std::vector<LocatedRecord>> m_runsByCaller;
        std::map<std::string, std::vector<LocatedRecord>> m_executionsByKey;
        std::map<std::string, std::vector<const Json*>> m_fleetEvents;
        std::vector<HistoryViolation> m_violations;
    };

}

std::vector<HistoryViolation> checkHistory(const RecordedRun& run, const HistoryRules& rules)
{
    return Checker(run, rules).check();
}

std::vector<nlohmann::json> parseHistory(std::string_view text, size_t& invalidLineCount)
{
    std::vector<nlohmann::json> events;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty())
            continue;
        auto event = nlohmann::json::parse(line, nullptr, false);
        if (event.is_object())
            events.push_back(std::move(event));
        else
            ++invalidLineCount;
    }
    return events;
}

}
