#pragma once

#include <borageslip_platform/borageslip_platform.h>

#include <mutex>
#include <string>

namespace borageslip {

/** The store session under which a daemon holds all locks for its engine orders. Thread-safe. */
class OrderLease {
public:
    OrderLease(KeyValueStore&, std::chrono::milliseconds timeToLive = std::chrono::seconds(10));

    /** Renews the session in the store, or creates a new one if there is none or it has expired. Returns its id.
        Locks that were taken under another id are lost.
        Errors: those of the store; the lease is then not confirmed. */
    Result<std::string> renew();

    /** Ends the session during a planned shutdown. */
    void release();

    std::chrono::milliseconds timeToLive() const { return m_timeToLive; }

private:
    KeyValueStore& m_store;
    const std::chrono::milliseconds m_timeToLive;
    std::mutex m_mutex;
    std::string m_session;
};

}
