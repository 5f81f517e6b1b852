#pragma once

#include "ExchangeContext.h"
#include "ServerReservation.h"

#include <boost/asio/awaitable.hpp>

namespace borageslip::detail {

using ReservationPtr = std::shared_ptr<ServerReservation>;

/** Waits for a reservation or a slot on a backend server for the next attempt of one request. */
class ReservationWait {
public:
    /** The context must outlive the wait and the reservation. */
    explicit ReservationWait(ExchangeContext&);

    /** Errors: NoEngineAvailable, Overloaded; for a retry also the error of the previous attempt. */
    boost::asio::awaitable<Result<ReservationPtr>> awaitReservation();

private:
    /** Whether a request may wait for the server that has its prompt prefix. */
    enum class PrefixWait {
        Allowed,
        None,
    };

    /** How long a request may wait at the coordinator of a server. */
    struct Waits {
        std::chrono::milliseconds forSlot { 0 };
        std::chrono::milliseconds forPrefill { 0 }; ///< While another request prefills its prefix.
    };

    /** Waits until a server of the service accepts requests of this instance. Errors: Overloaded if none does in time. */
    boost::asio::awaitable<Status> awaitEndOfPause();
    boost::asio::awaitable<Result<ReservationPtr>> waitInQueue();

    /** Waits for a slot from the queue of the service. */
    boost::asio::awaitable<Result<ReservationPtr>> awaitSlot();
    boost::asio::awaitable<std::unique_ptr<SlotTicket>> awaitDecision(const SlotDemand&);
    SlotDemand slotDemand() const;
    Error rejectionError(const SlotTicket&);

    /** Whether evacuations leave the service no server. */
    bool isEvacuated() const { return m_context.engine.evacuation().leavesNoServer(m_context.admitted.service); }

    /** Counts a request that is rejected because of evacuations, and returns its error. */
    Error rejectEvacuated();

    /** Chooses a backend server and reserves capacity on it; null if no server has any. */
    boost::asio::awaitable<ReservationPtr> acquireReservation(PrefixWait);

    struct PermittedServer {
        BackendServerPtr server; ///< Null if there is no permit.
        std::optional<ColdPermit> permit {}; ///< For a server that gets requests only with permits.
    };

    /** Obtains a permit if the server is cold, for it or another cold one. Without a permit, all cold servers are excluded. */
    boost::asio::awaitable<PermittedServer> awaitPermit(BackendServerPtr, std::vector<uint64_t>& excluded);

    /** How long the request waits for a slot of the server that has its prompt prefix. */
    std::chrono::milliseconds prefixWait() const;

    /** Hash of the prefix whose prefill other requests may wait for; 0 for none. */
    uint64_t sharedPrefill() const;

    /** How long the request may wait while another one prefills its prefix. */
    std::chrono::milliseconds prefillWait() const;
    boost::asio::awaitable<ReservationResult> requestReservation(BackendServer&, Waits);
    QueuedRequest queuedRequest() const;

    ExchangeContext& m_context;
};

}
