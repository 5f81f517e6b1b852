#pragma once

#include "TrafficEngine.h"

namespace borageslip::detail {

/** Counts a request at a backend server for as long as it lives. */
class InFlight {
public:
    InFlight(TrafficEngine& engine, BackendServerPtr server)
        : m_engine(engine)
        , m_server(std::move(server))
    {
        m_server->beginRequest();
    }
    ~InFlight()
    {
        m_server->endRequest();
        m_engine.placeFreed(m_server->description().service);
    }
    InFlight(const InFlight&) = delete;
    InFlight& operator=(const InFlight&) = delete;

private:
    TrafficEngine& m_engine;
    BackendServerPtr m_server;
};

/** Counts the prompt tokens that a server has to read, until its answer begins. */
class PendingPrefill {
public:
    PendingPrefill(BackendServerPtr server, int64_t tokens)
        : m_server(std::move(server))
        , m_tokens(tokens)
    {
        m_server->addPendingPrefill(m_tokens);
    }
    ~PendingPrefill() { m_server->addPendingPrefill(-m_tokens); }
    PendingPrefill(const PendingPrefill&) = delete;
    PendingPrefill& operator=(const PendingPrefill&) = delete;

private:
    BackendServerPtr m_server;
    int64_t m_tokens;
};

}
