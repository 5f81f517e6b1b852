#pragma once

#include "ConsulConnection.h"
#include "KeyValueStore.h"

namespace borageslip {

/** The platform's key-value service over its Consul-compatible HTTP API. Thread-safe.
    @see ConsulConnection for errors and timeouts */
class ConsulStore final : public KeyValueStore {
public:
    ConsulStore(ConsulConnection::Settings, CallBudget&);

    Result<StoreReading> read(std::string_view key) override;
    Result<StoreReading> watch(std::string_view key, uint64_t afterIndex, std::chrono::milliseconds wait) override;
    Result<std::vector<StoredValue>> list(std::string_view prefix) override;

    /** The API answers a write with true or false only, so the new index is read afterwards. When that read fails or
        shows another writer's value, the result is StoreOutcomeUnknown although the write took effect. */
    Result<uint64_t> compareAndSwap(std::string_view key, std::string_view bytes, uint64_t expectedIndex) override;
    Status remove(std::string_view key, uint64_t expectedIndex) override;
    Result<std::string> createSession(std::chrono::milliseconds timeToLive) override;
    Status renewSession(std::string_view session) override;
    Status endSession(std::string_view session) override;
    Result<uint64_t> acquire(std::string_view key, std::string_view bytes, std::string_view session) override;
    Status release(std::string_view key, std::string_view session) override;

private:
    Result<StoreReading> readFrom(const ConsulConnection::Request&);
    Result<bool> performWrite(const ConsulConnection::Request&);

    ConsulConnection m_connection;
};

}
