#pragma once

#include <borageslip_platform/borageslip_platform.h>

#include <mutex>
#include <string>

namespace borageslip {

/** The one lease that a daemon holds in the store for its orders. Thread-safe. */
class OrderLease {
public:
    OrderLease(KeyValueStore&, std::chrono::milliseconds timeToLive = std::chrono::seconds(10));

    /** Renews the session with a store call, or opens a new one when there is none or it expired. Returns its id.
        A caller that held locks with another id has lost them. Errors: those of the store; the lease is not confirmed. */
    Result<std::string> renew();

    /** Ends the session at a planned stop. */
    void release();

    std::chrono::milliseconds timeToLive() const { return m_timeToLive; }

private:
    KeyValueStore& m_store;
    const std::chrono::milliseconds m_timeToLive;
    std::mutex m_mutex;
    std::string m_session;
};

}
