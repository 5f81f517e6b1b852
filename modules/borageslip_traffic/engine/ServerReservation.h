#pragma once

#include "TrafficEngine.h"

#include <algorithm>
#include <utility>

namespace borageslip::detail {

/** Counts one request against the capacity of a backend server, with the prompt tokens that the server has to prefill.

    The request counts from construction, before the reservation has been granted, until destruction. A slot granted from
    the queue of the service is released with it. */
class ServerReservation {
public:
    ServerReservation(TrafficEngine& engine, BackendServerPtr server, int64_t tokens, std::unique_ptr<SlotTicket> ticket = nullptr, const RequestMemory& memory = {})
        : m_engine(engine)
        , m_server(std::move(server))
        , m_tokens(tokens)
        , m_ticket(std::move(ticket))
        , m_memory(memory)
    {
        m_server->beginRequest();
        m_server->ownMemory().add(m_memory);
        m_server->addPendingPrefill(m_tokens);
    }
    ~ServerReservation()
    {
        endPrefill(PrefillEnd::Failed);
        m_server->endRequest();
        m_server->ownMemory().remove(m_memory);
        m_server->addPendingPrefill(-m_tokens);
        if (!m_isConfirmed)
            return;
        if (auto* broker = m_engine.reservationBroker())
            broker->notifyUsageChanged(*m_server);
        m_engine.onReservationReleased(m_server->description().service);
    }
    ServerReservation(const ServerReservation&) = delete;
    ServerReservation& operator=(const ServerReservation&) = delete;

    const BackendServerPtr& server() const { return m_server; }

    /** Marks the reservation as used, so that its release is announced to the other instances and the queue. */
    void confirm() { m_isConfirmed = true; }

    /** Sets the permit for a server that was cold when it was chosen. */
    void setColdPermit(std::optional<ColdPermit> permit) { m_coldPermit = permit; }
    const std::optional<ColdPermit>& coldPermit() const { return m_coldPermit; }

    /** Prompt tokens that the server has to prefill. */
    int64_t pendingTokens() const { return m_tokens; }

    /** To be called when the server turns out to have tokens of the prompt in its prefix cache. */
    void removeCachedTokens(int64_t tokens)
    {
        const auto removed = std::min(tokens, m_tokens);
        m_tokens -= removed;
        m_server->addPendingPrefill(-removed);
    }

    /** To be called when the request prefills a prefix for which other requests may wait. */
    void beginPrefill(uint64_t prefix) { m_prefix = prefix; }

    /** Reports the end of that prefill; only the first call counts. A reservation that ends without it reports a failure. */
    void endPrefill(PrefillEnd end)
    {
        const auto prefix = std::exchange(m_prefix, 0);
        auto* broker = m_engine.reservationBroker();
        if (prefix != 0 && broker != nullptr)
            broker->notifyPrefillEnded(*m_server, prefix, end);
    }

    /** To be called when the response begins or is lost: the server then no longer has to prefill the prompt. */
    void onResponseBegun()
    {
        const auto tokens = std::exchange(m_tokens, 0);
        m_server->addPendingPrefill(-tokens);
        auto* broker = m_engine.reservationBroker();
        if (broker != nullptr && tokens >= minReportedTokens)
            broker->notifyUsageChanged(*m_server);
    }

private:
    static constexpr int64_t minReportedTokens = 2000; ///< The end of a shorter prefill is announced by the next periodic report only.

    TrafficEngine& m_engine;
    BackendServerPtr m_server;
    int64_t m_tokens;
    std::unique_ptr<SlotTicket> m_ticket; ///< Null unless the slot was granted from the queue of the service.
    std::optional<ColdPermit> m_coldPermit {};
    RequestMemory m_memory;
    bool m_isConfirmed = false;
    uint64_t m_prefix = 0; ///< Hash of the prefix that the request prefills for others, too; 0 for none.
};

}
