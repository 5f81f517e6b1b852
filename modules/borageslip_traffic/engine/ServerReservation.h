#pragma once

#include "TrafficEngine.h"

#include <utility>

namespace borageslip::detail {

/** A place of a request at a backend server, with the prompt tokens that the server has to read. It counts from the
    moment at which it is asked for, and for as long as it lives. */
class ServerReservation {
public:
    ServerReservation(TrafficEngine& engine, BackendServerPtr server, int64_t tokens)
        : m_engine(engine)
        , m_server(std::move(server))
        , m_tokens(tokens)
    {
        m_server->beginRequest();
        m_server->addPendingPrefill(m_tokens);
    }
    ~ServerReservation()
    {
        m_server->endRequest();
        m_server->addPendingPrefill(-m_tokens);
        if (!m_isConfirmed)
            return;
        if (auto* broker = m_engine.reservationBroker())
            broker->useChanged(*m_server);
        m_engine.onReservationReleased(m_server->description().service);
    }
    ServerReservation(const ServerReservation&) = delete;
    ServerReservation& operator=(const ServerReservation&) = delete;

    const BackendServerPtr& server() const { return m_server; }

    /** The place may be used; the others learn when it is free again. */
    void confirm() { m_isConfirmed = true; }

    /** The prompt has been read. */
    void onResponseBegun()
    {
        const auto tokens = std::exchange(m_tokens, 0);
        m_server->addPendingPrefill(-tokens);
        auto* broker = m_engine.reservationBroker();
        if (broker != nullptr && tokens >= minReportedTokens)
            broker->useChanged(*m_server);
    }

private:
    static constexpr int64_t minReportedTokens = 2000; ///< Of a prompt; the end of a shorter one is told by the next report.

    TrafficEngine& m_engine;
    BackendServerPtr m_server;
    int64_t m_tokens;
    bool m_isConfirmed = false;
};

}
