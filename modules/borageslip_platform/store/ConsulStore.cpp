#include "ConsulStore.h"

#include <algorithm>
#include <borageslip_core/encoding/Digest.h>
#include <borageslip_core/encoding/PercentEncoding.h>

namespace borageslip {

namespace {

    Error malformedAnswer()
    {
        return { ErrorKind::StoreUnavailable, "the platform store's answer could not be decoded" };
    }

    Result<std::vector<StoredValue>> valuesFromJson(std::string_view text)
    {
        const auto document = nlohmann::json::parse(text, nullptr, false);
        if (!document.is_array())
            return malformedAnswer();
        std::vector<StoredValue> values;
        for (const auto& item : document) {
            const bool isComplete = item.is_object() && item.contains("Key") && item["Key"].is_string() && item.contains("ModifyIndex") && item["ModifyIndex"].is_number_unsigned();
            if (!isComplete)
                return malformedAnswer();
            StoredValue stored { item["Key"], {}, item["ModifyIndex"], {} };
            if (const auto bytes = item.find("Value"); bytes != item.end() && bytes->is_string()) {
                if (!base64Decode(bytes->get_ref<const std::string&>(), stored.bytes))
                    return malformedAnswer();
            }
            if (const auto session = item.find("Session"); session != item.end() && session->is_string())
                stored.holder = *session;
            values.push_back(std::move(stored));
        }
        return values;
    }

    std::string keyPath(std::string_view key)
    {
        return "/v1/kv/" + percentEncode(key);
    }

}

ConsulStore::ConsulStore(ConsulConnection::Settings settings, CallBudget& budget)
    : m_connection(std::move(settings), budget)
{
}

Result<StoreReading> ConsulStore::readFrom(const ConsulConnection::Request& request)
{
    const auto result = m_connection.perform(request);
    if (!isOk(result))
        return error(result);
    const auto& answer = value(result);
    if (answer.status == 404)
        return StoreReading { std::nullopt, answer.index };
    auto values = valuesFromJson(answer.body);
    if (!isOk(values))
        return error(values);
    if (value(values).size() != 1)
        return malformedAnswer();
    const auto& stored = value(values).front();
    return StoreReading { stored, std::max(answer.index, stored.modifyIndex) };
}

Result<bool> ConsulStore::performWrite(const ConsulConnection::Request& request)
{
    const auto result = m_connection.perform(request);
    if (!isOk(result))
        return error(result);
    const auto& answer = value(result);
    const bool isTrue = answer.body.starts_with("true");
    if (answer.status == 200 && (isTrue || answer.body.starts_with("false")))
        return isTrue;
    return Error { ErrorKind::StoreOutcomeUnknown, "the platform store's answer to a write could not be decoded" };
}

Result<StoreReading> ConsulStore::read(std::string_view key)
{
    return readFrom({ PlatformCall::Read, "GET", keyPath(key) });
}

Result<StoreReading> ConsulStore::watch(std::string_view key, uint64_t afterIndex, std::chrono::milliseconds wait)
{
    const auto query = "?index=" + std::to_string(afterIndex) + "&wait=" + std::to_string(wait.count()) + "ms";
    // The service may add up to a sixteenth of the wait to spread the answers.
    return readFrom({ PlatformCall::Watch, "GET", keyPath(key) + query, {}, wait + wait / 16 });
}

Result<std::vector<StoredValue>> ConsulStore::list(std::string_view prefix)
{
    const auto result = m_connection.perform({ PlatformCall::List, "GET", keyPath(prefix) + "?recurse=true" });
    if (!isOk(result))
        return error(result);
    if (value(result).status == 404)
        return std::vector<StoredValue> {};
    auto values = valuesFromJson(value(result).body);
    if (!isOk(values))
        return values;
    auto sorted = value(std::move(values));
    std::ranges::sort(sorted, {}, &StoredValue::key);
    return sorted;
}

Result<uint64_t> ConsulStore::compareAndSwap(std::string_view key, std::string_view bytes, uint64_t expectedIndex)
{
    const auto written = performWrite({ PlatformCall::Write, "PUT", keyPath(key) + "?cas=" + std::to_string(expectedIndex), std::string(bytes) });
    if (!isOk(written))
        return error(written);
    if (!value(written))
        return Error { ErrorKind::RevisionConflict, std::string(key) };
    const auto reading = read(key);
    if (isOk(reading) && value(reading).value && value(reading).value->bytes == bytes)
        return value(reading).value->modifyIndex;
    return Error { ErrorKind::StoreOutcomeUnknown, "the value was written, but its index could not be read: " + std::string(key) };
}

Status ConsulStore::remove(std::string_view key, uint64_t expectedIndex)
{
    const auto removed = performWrite({ PlatformCall::Write, "DELETE", keyPath(key) + "?cas=" + std::to_string(expectedIndex) });
    if (!isOk(removed))
        return error(removed);
    if (!value(removed))
        return Error { ErrorKind::RevisionConflict, std::string(key) };
    return ok();
}

Result<std::string> ConsulStore::createSession(std::chrono::milliseconds timeToLive)
{
    const nlohmann::json body { { "TTL", std::to_string(timeToLive.count()) + "ms" }, { "Behavior", "release" }, { "LockDelay", "0s" } };
    const auto result = m_connection.perform({ PlatformCall::Session, "PUT", "/v1/session/create", body.dump() });
    if (!isOk(result))
        return error(result);
    const auto document = nlohmann::json::parse(value(result).body, nullptr, false);
    if (!document.is_object() || !document.contains("ID") || !document["ID"].is_string())
        return Error { ErrorKind::StoreOutcomeUnknown, "the platform store's answer to a session could not be decoded" };
    return document["ID"].get<std::string>();
}

Status ConsulStore::renewSession(std::string_view session)
{
    const auto result = m_connection.perform({ PlatformCall::Session, "PUT", "/v1/session/renew/" + percentEncode(session) });
    if (!isOk(result))
        return error(result);
    if (value(result).status == 404)
        return Error { ErrorKind::LeaseLost, "the platform store does not know the session" };
    return ok();
}

Status ConsulStore::endSession(std::string_view session)
{
    const auto result = m_connection.perform({ PlatformCall::Session, "PUT", "/v1/session/destroy/" + percentEncode(session) });
    if (!isOk(result))
        return error(result);
    return ok();
}

Result<uint64_t> ConsulStore::acquire(std::string_view key, std::string_view bytes, std::string_view session)
{
    const auto locked = performWrite({ PlatformCall::Lock, "PUT", keyPath(key) + "?acquire=" + percentEncode(session), std::string(bytes) });
    if (!isOk(locked))
        return error(locked);
    if (!value(locked))
        return Error { ErrorKind::LeaseLost, "another session holds " + std::string(key) };
    const auto reading = read(key);
    if (!isOk(reading))
        return Error { ErrorKind::StoreOutcomeUnknown, "the lock was taken, but its index could not be read: " + std::string(key) };
    if (!value(reading).value || value(reading).value->holder != session)
        return Error { ErrorKind::LeaseLost, "the lock was lost again: " + std::string(key) };
    return value(reading).value->modifyIndex;
}

Status ConsulStore::release(std::string_view key, std::string_view session)
{
    const auto released = performWrite({ PlatformCall::Lock, "PUT", keyPath(key) + "?release=" + percentEncode(session) });
    if (!isOk(released))
        return error(released);
    if (!value(released))
        return Error { ErrorKind::LeaseLost, std::string(key) };
    return ok();
}

}
