#include "OrderLease.h"

namespace borageslip {

OrderLease::OrderLease(KeyValueStore& store, std::chrono::milliseconds timeToLive)
    : m_store(store)
    , m_timeToLive(timeToLive)
{
}

Result<std::string> OrderLease::renew()
{
    const std::lock_guard lock(m_mutex);
    if (!m_session.empty()) {
        const auto renewed = m_store.renewSession(m_session);
        if (isOk(renewed))
            return m_session;
        if (error(renewed).kind != ErrorKind::LeaseLost)
            return error(renewed);
        m_session.clear();
    }
    // If the response is lost, the session that the store created expires unused.
    auto created = m_store.createSession(m_timeToLive);
    if (isOk(created))
        m_session = value(created);
    return created;
}

void OrderLease::release()
{
    const std::lock_guard lock(m_mutex);
    if (m_session.empty())
        return;
    if (const auto status = m_store.endSession(m_session); !isOk(status))
        logEvent(Severity::Warning, "lease-not-ended", { { "detail", error(status).detail } });
    m_session.clear();
}

}
