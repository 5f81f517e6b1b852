#include "RequestAdmission.h"

#include <algorithm>

namespace borageslip::detail {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds longestConfirmation { 1000 }; ///< For which a refusal may wait for the configuration to be confirmed.
    constexpr int confirmationDivisor = 3; ///< Of the time that the caller waits; leaves time to serve the request.

    /** Whether a newer configuration might decide otherwise: it may have the route or the key that this one lacks. */
    bool restsOnAbsence(const Result<AdmittedRequest>& admitted)
    {
        if (isOk(admitted))
            return value(admitted).isKeyUnknown;
        return error(admitted).kind == ErrorKind::NotFound || error(admitted).kind == ErrorKind::Unauthenticated;
    }

}

RequestAdmission::RequestAdmission(ExchangeContext& context)
    : m_context(context)
{
}

asio::awaitable<Result<AdmittedRequest>> RequestAdmission::admit()
{
    auto admitted = m_context.engine.admit(m_context.request, m_context.metadata);
    if (restsOnAbsence(admitted) && !m_context.engine.isConfigurationFresh())
        admitted = co_await admitWhenConfirmed();
    co_return admitted;
}

asio::awaitable<Result<AdmittedRequest>> RequestAdmission::admitWhenConfirmed()
{
    ++m_context.engine.counts().confirmations;
    const auto limit = std::min(longestConfirmation, m_context.metadata.timeLeft.value_or(longestConfirmation) / confirmationDivisor);
    const auto until = m_context.engine.clock().now() + limit;
    const TrafficEngine::ConfirmationWaiter waiter(m_context.engine, m_context.wakeEvent);
    while (!m_context.isStopped() && !m_context.engine.isConfigurationFresh()) {
        const auto left = until - m_context.engine.clock().now();
        if (left <= Duration::zero())
            break;
        co_await m_context.wakeEvent.waitFor(left);
    }
    auto admitted = m_context.engine.admit(m_context.request, m_context.metadata);
    if (restsOnAbsence(admitted) && !m_context.engine.isConfigurationFresh()) {
        ++m_context.engine.counts().confirmationsMissed;
        const auto reason = isOk(admitted) ? std::string("the API key is unknown") : error(admitted).detail;
        co_return Error { ErrorKind::StoreUnavailable, "the configuration may be out of date: " + reason };
    }
    co_return admitted;
}

}
