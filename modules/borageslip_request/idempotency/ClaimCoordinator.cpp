#include "ClaimCoordinator.h"

#include <borageslip_core/encoding/Digest.h>

#include <borageslip_core/errors/Invariant.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace borageslip {

/** A claim as stored, with the outcome if the call ended. */
struct ClaimCoordinator::StoredClaim {
    std::string attempt;
    std::string incarnation;
    std::string requestDigest;
    std::optional<RecordedOutcome> outcome {};

    static std::optional<StoredClaim> parse(const std::string& text)
    {
        try {
            const auto json = nlohmann::json::parse(text);
            StoredClaim stored { json.at("attempt").get<std::string>(), json.at("incarnation").get<std::string>(), json.at("request_digest").get<std::string>() };
            if (json.at("state") != "done")
                return stored;
            RecordedOutcome outcome { json.at("status").get<int>() };
            for (const auto& header : json.at("headers"))
                outcome.headers.emplace_back(header.at(0).get<std::string>(), header.at(1).get<std::string>());
            if (!base64Decode(json.at("body").get<std::string>(), outcome.body))
                return std::nullopt;
            stored.outcome = std::move(outcome);
            return stored;
        } catch (const nlohmann::json::exception&) {
            return std::nullopt;
        }
    }
};

ClaimCoordinator::ClaimCoordinator(KeyValueStore& store, const Clock& clock, std::string incarnation, Settings settings)
    : m_store(&store)
    , m_clock(&clock)
    , m_incarnation(std::move(incarnation))
    , m_settings(settings)
{
}

std::string ClaimCoordinator::storeKey(const CallKey& key)
{
    return "borageslip/claims/" + digestOf({ key.account.text(), key.idempotencyKey });
}

std::string ClaimCoordinator::serializeClaim(const Claim& claim, const RecordedOutcome* outcome) const
{
    const auto expires = std::chrono::duration_cast<std::chrono::seconds>((m_clock->wallTime() + m_settings.retention).time_since_epoch());
    nlohmann::json json {
        { "attempt", claim.attempt },
        { "incarnation", m_incarnation },
        { "request_digest", claim.requestDigest },
        { "state", outcome ? "done" : "claimed" },
        { "expires", expires.count() },
    };
    if (outcome) {
        json["status"] = outcome->status;
        json["headers"] = nlohmann::json::array();
        for (const auto& [name, field] : outcome->headers)
            json["headers"].push_back({ name, field });
        json["body"] = base64Encode(outcome->body);
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ClaimCoordinator::ClaimResult ClaimCoordinator::claim(const CallKey& key, std::string_view requestDigest)
{
    Claim claim { key, std::string(requestDigest), randomIdentity() };
    const auto path = storeKey(key);
    const auto text = serializeClaim(claim, nullptr);
    // After the first write the claim may be in the store even on an error. Marking the attempt as not run allows a later
    // call to take the claim over.
    const auto failClaim = [&](Error error) -> ClaimResult {
        markNotRun(claim.attempt);
        return error;
    };
    uint64_t expectedIndex = 0;
    for (int i = 0; i < m_settings.maxTries; ++i) {
        const auto written = m_store->compareAndSwap(path, text, expectedIndex);
        if (isOk(written)) {
            claim.index = value(written);
            return claim;
        }
        const auto kind = error(written).kind;
        if (kind != ErrorKind::RevisionConflict && kind != ErrorKind::StoreOutcomeUnknown)
            return failClaim({ ErrorKind::StoreUnavailable, error(written).detail });
        const auto reading = m_store->read(path);
        if (!isOk(reading))
            return failClaim({ ErrorKind::StoreUnavailable, error(reading).detail });
        const auto& found = value(reading).value;
        if (!found) {
            expectedIndex = 0;
            continue;
        }
        const auto stored = StoredClaim::parse(found->bytes);
        if (!stored)
            return failClaim({ ErrorKind::OutcomeUnknown, "cannot parse the claim in the store" });
        if (stored->attempt == claim.attempt) {
            claim.index = found->modifyIndex;
            return claim;
        }
        const bool isOwn = stored->incarnation == m_incarnation;
        if (isOwn && isMarkedNotRun(stored->attempt)) {
            expectedIndex = found->modifyIndex;
            continue;
        }
        if (stored->requestDigest != requestDigest)
            return failClaim({ ErrorKind::IdempotencyKeyReused, "the idempotency key was used for another request" });
        if (stored->outcome) {
            markNotRun(claim.attempt);
            return *stored->outcome;
        }
        if (isOwn)
            return failClaim({ ErrorKind::OutcomeUnknown, "the outcome of the call was dropped" });
        markNotRun(claim.attempt);
        return ClaimedElsewhere { stored->incarnation };
    }
    return failClaim({ ErrorKind::StoreUnavailable, "the store did not confirm the claim" });
}

Status ClaimCoordinator::complete(const Claim& claim, const RecordedOutcome& outcome)
{
    const auto text = serializeClaim(claim, &outcome);
    if (text.size() > m_settings.maxValueBytes)
        return ok();
    const auto path = storeKey(claim.key);
    auto index = claim.index;
    for (int i = 0; i < m_settings.maxTries; ++i) {
        const auto written = m_store->compareAndSwap(path, text, index);
        if (isOk(written))
            return ok();
        if (error(written).kind != ErrorKind::StoreOutcomeUnknown && error(written).kind != ErrorKind::RevisionConflict)
            return error(written);
        const auto reading = m_store->read(path);
        if (!isOk(reading))
            return error(reading);
        const auto& found = value(reading).value;
        const auto stored = found ? StoredClaim::parse(found->bytes) : std::nullopt;
        const bool isStillOwned = stored && stored->attempt == claim.attempt;
        BORAGESLIP_INVARIANT(isStillOwned, "I4", "another attempt replaced the claim of a call that ran");
        if (!isStillOwned)
            return Error { ErrorKind::RevisionConflict, "another attempt replaced the claim, or it was removed" };
        if (stored->outcome)
            return ok();
        index = found->modifyIndex;
    }
    return Error { ErrorKind::StoreOutcomeUnknown, "the store did not confirm the outcome" };
}

void ClaimCoordinator::release(const Claim& claim)
{
    markNotRun(claim.attempt);
    // A failed removal is harmless: the attempt is marked as not run, so this incarnation can take over its claim.
    static_cast<void>(m_store->remove(storeKey(claim.key), claim.index));
}

void ClaimCoordinator::markNotRun(const std::string& attempt)
{
    const std::lock_guard lock(m_mutex);
    if (!m_notRunAttempts.insert(attempt).second)
        return;
    m_notRunOrder.push_back(attempt);
    if (m_notRunOrder.size() <= m_settings.maxNotRunAttempts)
        return;
    m_notRunAttempts.erase(m_notRunOrder.front());
    m_notRunOrder.pop_front();
}

bool ClaimCoordinator::isMarkedNotRun(const std::string& attempt) const
{
    const std::lock_guard lock(m_mutex);
    return m_notRunAttempts.contains(attempt);
}

}
