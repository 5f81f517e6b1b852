#include "OutcomeTable.h"

#include <algorithm>
#include <borageslip_core/errors/Invariant.h>
#include <utility>

namespace borageslip {

namespace {

    // Estimated size of the nodes in both maps and of the string objects, so that small entries count towards the bound.
    constexpr size_t entryOverheadBytes = 400;

    nlohmann::json::binary_t toBinary(const std::string& bytes)
    {
        return nlohmann::json::binary_t(std::vector<uint8_t>(bytes.begin(), bytes.end()));
    }

    std::string bytesToString(const nlohmann::json& field)
    {
        const auto& bytes = field.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    Error unknownOutcome(std::string detail)
    {
        return { ErrorKind::OutcomeUnknown, std::move(detail) };
    }

}

void OutcomeTable::PendingOutcome::set(Result<RecordedOutcome> outcome)
{
    const std::lock_guard lock(m_mutex);
    m_outcome = std::move(outcome);
    m_wake.notify_all();
}

std::optional<Result<RecordedOutcome>> OutcomeTable::PendingOutcome::waitFor(std::optional<Duration> time)
{
    std::unique_lock lock(m_mutex);
    const auto hasOutcome = [this] { return m_outcome.has_value(); };
    if (time)
        m_wake.wait_for(lock, *time, hasOutcome);
    else
        m_wake.wait(lock, hasOutcome);
    return m_outcome;
}

OutcomeTable::OutcomeTable(const Clock& clock, std::string incarnation, Settings settings)
    : m_clock(&clock)
    , m_incarnation(std::move(incarnation))
    , m_settings(settings)
{
}

size_t OutcomeTable::sizeOf(const CallKey& key, const Entry& entry)
{
    size_t bytes = entryOverheadBytes + 2 * (key.account.text().size() + key.idempotencyKey.size()) + entry.digest.size();
    if (!entry.outcome)
        return bytes;
    if (!isOk(*entry.outcome))
        return bytes + error(*entry.outcome).detail.size();
    const auto& outcome = value(*entry.outcome);
    bytes += outcome.body.size();
    for (const auto& [name, field] : outcome.headers)
        bytes += name.size() + field.size();
    return bytes;
}

Result<RecordedOutcome> OutcomeTable::outcomeOf(const Entry& entry, std::string_view requestDigest)
{
    if (entry.digest != requestDigest)
        return Error { ErrorKind::IdempotencyKeyReused, "the idempotency key was used for another request" };
    if (!entry.outcome)
        return unknownOutcome("the call was running when its instance stopped");
    return *entry.outcome;
}

OutcomeTable::Admission OutcomeTable::begin(const CallKey& key, std::string_view requestDigest, std::optional<uint64_t> issuedAt)
{
    const std::lock_guard lock(m_mutex);
    evictOutcomes(m_own);
    if (const auto found = m_own.entries.find(key); found != m_own.entries.end()) {
        const auto& entry = found->second;
        if (!entry.outcome && entry.digest == requestDigest)
            return entry.pending;
        const auto outcome = outcomeOf(entry, requestDigest);
        return isOk(outcome) ? Admission { value(outcome) } : Admission { error(outcome) };
    }
    if (issuedAt && *issuedAt <= m_own.latestDroppedIssueTime)
        return unknownOutcome("the ticket is no newer than one whose outcome was dropped");
    if (m_isClosed)
        return Error { ErrorKind::Draining, "the instance is stopping and starts no new calls" };
    Entry entry { .digest = std::string(requestDigest), .issuedAt = issuedAt, .pending = std::make_shared<PendingOutcome>() };
    entry.bytes = sizeOf(key, entry);
    if (m_own.bytes + entry.bytes > m_settings.maxBytes && m_own.evictionOrder.empty())
        return Error { ErrorKind::Overloaded, "running at-most-once calls fill the outcome table" };
    m_own.bytes += entry.bytes;
    m_own.entries.emplace(key, std::move(entry));
    evictOutcomes(m_own);
    return Started {};
}

bool OutcomeTable::markSent(const CallKey& key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_own.entries.find(key);
    const bool isFirstSend = found != m_own.entries.end() && !found->second.outcome && !found->second.isSent;
    BORAGESLIP_INVARIANT(isFirstSend, "I4", "call was already sent or is not running");
    if (isFirstSend)
        found->second.isSent = true;
    return isFirstSend;
}

void OutcomeTable::recordOutcome(IncarnationCalls& calls, const CallKey& key, Entry& entry, Result<RecordedOutcome> outcome) const
{
    entry.outcome = std::move(outcome);
    entry.pending.reset();
    calls.bytes -= entry.bytes;
    entry.bytes = sizeOf(key, entry);
    calls.bytes += entry.bytes;
    calls.evictionOrder.emplace(entry.endedAt, key);
    evictOutcomes(calls);
}

void OutcomeTable::finish(const CallKey& key, Result<RecordedOutcome> outcome)
{
    PendingOutcomePtr pending;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_own.entries.find(key);
        if (found == m_own.entries.end() || found->second.outcome)
            return;
        pending = found->second.pending;
        found->second.endedAt = m_clock->now();
        recordOutcome(m_own, key, found->second, outcome);
    }
    pending->set(std::move(outcome));
}

OutcomeTable::PendingOutcomePtr OutcomeTable::removeRunning(const CallKey& key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_own.entries.find(key);
    if (found == m_own.entries.end() || found->second.outcome)
        return nullptr;
    auto pending = found->second.pending;
    m_own.bytes -= found->second.bytes;
    m_own.entries.erase(found);
    return pending;
}

void OutcomeTable::drop(const CallKey& key, const Result<RecordedOutcome>& result)
{
    if (const auto pending = removeRunning(key))
        pending->set(result);
}

Result<RecordedOutcome> OutcomeTable::wait(const PendingOutcomePtr& running, TimePoint deadline) const
{
    const auto time = deadline == TimePoint::max() ? std::optional<Duration> {} : deadline - m_clock->now();
    auto outcome = running->waitFor(time);
    if (!outcome)
        return Error { ErrorKind::DeadlineExceeded, "the first call under this key is still running" };
    return std::move(*outcome);
}

void OutcomeTable::evictOutcomes(IncarnationCalls& calls) const
{
    const auto oldest = m_clock->now() - m_settings.maxAge;
    while (!calls.evictionOrder.empty() && (calls.bytes > m_settings.maxBytes || calls.evictionOrder.begin()->first <= oldest)) {
        const auto found = calls.entries.find(calls.evictionOrder.begin()->second);
        calls.bytes -= found->second.bytes;
        calls.latestDroppedIssueTime = std::max(calls.latestDroppedIssueTime, found->second.issuedAt.value_or(0));
        calls.entries.erase(found);
        calls.evictionOrder.erase(calls.evictionOrder.begin());
    }
}

void OutcomeTable::close()
{
    const std::lock_guard lock(m_mutex);
    m_isClosed = true;
    m_own.isComplete = true;
}

nlohmann::json OutcomeTable::toJson(const CallKey& key, const Entry& entry, TimePoint now)
{
    nlohmann::json json { { "account", toBinary(key.account.text()) }, { "key", toBinary(key.idempotencyKey) }, { "digest", entry.digest } };
    if (entry.issuedAt)
        json["minted"] = *entry.issuedAt;
    if (!entry.outcome)
        return json;
    json["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.endedAt).count();
    if (!isOk(*entry.outcome)) {
        json["error"] = errorTraits(error(*entry.outcome).kind).name;
        json["detail"] = toBinary(error(*entry.outcome).detail);
        return json;
    }
    const auto& outcome = value(*entry.outcome);
    json["status"] = outcome.status;
    json["headers"] = nlohmann::json::array();
    for (const auto& [name, field] : outcome.headers)
        json["headers"].push_back({ toBinary(name), toBinary(field) });
    json["body"] = toBinary(outcome.body);
    return json;
}

void OutcomeTable::exportCalls(const std::string& incarnation, const IncarnationCalls& calls, size_t maxPartBytes, TimePoint now, std::vector<std::string>& parts)
{
    std::vector<nlohmann::json> lists { nlohmann::json::array() };
    size_t listBytes = 0;
    for (const auto& [key, entry] : calls.entries) {
        if (listBytes > 0 && listBytes + entry.bytes > maxPartBytes) {
            lists.push_back(nlohmann::json::array());
            listBytes = 0;
        }
        lists.back().push_back(toJson(key, entry, now));
        listBytes += entry.bytes;
    }
    for (size_t i = 0; i < lists.size(); ++i) {
        const nlohmann::json part {
            { "incarnation", toBinary(incarnation) },
            { "part", i },
            { "parts", lists.size() },
            { "complete", calls.isComplete },
            { "dropped_until", calls.latestDroppedIssueTime },
            { "entries", std::move(lists[i]) },
        };
        const auto bytes = nlohmann::json::to_cbor(part);
        parts.emplace_back(bytes.begin(), bytes.end());
    }
}

std::vector<std::string> OutcomeTable::exportParts(size_t maxPartBytes) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> parts;
    const auto now = m_clock->now();
    exportCalls(m_incarnation, m_own, maxPartBytes, now, parts);
    for (const auto& [incarnation, calls] : m_inherited)
        exportCalls(incarnation, calls, maxPartBytes, now, parts);
    return parts;
}

void OutcomeTable::importEntry(IncarnationCalls& calls, const nlohmann::json& json, TimePoint now) const
{
    const CallKey key { AccountId(bytesToString(json.at("account"))), bytesToString(json.at("key")) };
    Entry entry { .digest = json.at("digest").get<std::string>() };
    if (json.contains("minted"))
        entry.issuedAt = json["minted"].get<uint64_t>();
    entry.endedAt = now - std::chrono::milliseconds(json.value("age_ms", int64_t { 0 }));
    Result<RecordedOutcome> outcome = unknownOutcome("the call was running when its instance stopped");
    if (json.contains("error"))
        outcome = Error { errorKindFromName(json["error"].get<std::string>()).value_or(ErrorKind::OutcomeUnknown), bytesToString(json.at("detail")) };
    else if (json.contains("status")) {
        RecordedOutcome answer { json["status"].get<int>() };
        for (const auto& header : json.at("headers"))
            answer.headers.emplace_back(bytesToString(header.at(0)), bytesToString(header.at(1)));
        answer.body = bytesToString(json.at("body"));
        outcome = std::move(answer);
    }
    const auto [position, isNew] = calls.entries.try_emplace(key, std::move(entry));
    if (!isNew)
        return;
    position->second.bytes = sizeOf(key, position->second);
    calls.bytes += position->second.bytes;
    recordOutcome(calls, key, position->second, std::move(outcome));
}

Status OutcomeTable::importPart(std::string_view cbor)
{
    const std::lock_guard lock(m_mutex);
    try {
        const auto part = nlohmann::json::from_cbor(cbor);
        const auto incarnation = bytesToString(part.at("incarnation"));
        if (incarnation == m_incarnation)
            return Error { ErrorKind::InvalidMessage, "received a hand-over of this incarnation's own table" };
        // If parsing fails below, this part is not counted and the inherited table stays incomplete.
        IncarnationCalls& calls = m_inherited[incarnation];
        if (std::find(m_inheritedOrder.begin(), m_inheritedOrder.end(), incarnation) == m_inheritedOrder.end())
            m_inheritedOrder.push_back(incarnation);
        const auto now = m_clock->now();
        calls.latestDroppedIssueTime = std::max(calls.latestDroppedIssueTime, part.at("dropped_until").get<uint64_t>());
        for (const auto& entry : part.at("entries"))
            importEntry(calls, entry, now);
        if (part.at("complete").get<bool>())
            calls.parts.insert(part.at("part").get<size_t>());
        calls.isComplete = calls.parts.size() >= part.at("parts").get<size_t>();
    } catch (const nlohmann::json::exception& exception) {
        return Error { ErrorKind::InvalidMessage, std::string("invalid hand-over of outcomes: ") + exception.what() };
    }
    while (m_inheritedOrder.size() > m_settings.maxInheritedTables) {
        m_inherited.erase(m_inheritedOrder.front());
        m_inheritedOrder.pop_front();
    }
    return ok();
}

bool OutcomeTable::hasInherited(std::string_view incarnation) const
{
    const std::lock_guard lock(m_mutex);
    return m_inherited.contains(incarnation);
}

Result<RecordedOutcome> OutcomeTable::inheritedOutcome(std::string_view incarnation, const CallKey& key, std::string_view requestDigest, std::optional<uint64_t> issuedAt)
{
    const std::lock_guard lock(m_mutex);
    const auto calls = m_inherited.find(incarnation);
    if (calls == m_inherited.end())
        return unknownOutcome("the incarnation handed over no table");
    evictOutcomes(calls->second);
    if (const auto found = calls->second.entries.find(key); found != calls->second.entries.end())
        return outcomeOf(found->second, requestDigest);
    if (!calls->second.isComplete || !issuedAt || *issuedAt <= calls->second.latestDroppedIssueTime)
        return unknownOutcome("the outcome is not in the table that was handed over");
    return Error { ErrorKind::Draining, "the ticket's instance stopped before it ran the call; use a new ticket" };
}

size_t OutcomeTable::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_own.bytes;
}

}
