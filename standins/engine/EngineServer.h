#pragma once

#include "EngineSimulation.h"

#include <borageslip_core/borageslip_core.h>

namespace borageslip::standin {

/** Serves the HTTP interface of a simulated model engine.

    The interface is the one in docs/PROTOCOLS.md "Model engine". `/control` and `/records` are additions for tests, which
    switch faults and read the recorded runs.

    @see EngineSimulation */
class EngineServer {
public:
    EngineServer(EngineSimulation&, httplib::Server&);
    EngineServer(const EngineServer&) = delete;
    EngineServer& operator=(const EngineServer&) = delete;

private:
    using Run = EngineSimulation::Run;
    using Handler = void (EngineServer::*)(const httplib::Request&, httplib::Response&);

    /** Wraps a handler so that it runs only if no active fault replaces its response. */
    httplib::Server::Handler withFaults(Handler);

    /** Applies the active fault, if any. Returns true if the fault has determined the response. */
    bool injectFault(const httplib::Request&, httplib::Response&);

    /** Returns whether a stream opened at this silence epoch must not write. */
    bool isSilenced(uint64_t silenceEpoch) const;
    void refuse(httplib::Response&, const std::string& reason) const;

    void complete(const httplib::Request&, httplib::Response&);
    void stream(const httplib::Request&, httplib::Response&, const std::shared_ptr<Run>&, uint64_t offset);
    void respondUnstreamed(const httplib::Request&, httplib::Response&, Run&);
    void cancel(const httplib::Request&, httplib::Response&);
    void load(const httplib::Request&, httplib::Response&);
    void cacheEvents(const httplib::Request&, httplib::Response&);
    void order(const httplib::Request&, httplib::Response&);
    void exportPrefix(const httplib::Request&, httplib::Response&);
    void importPrefix(const httplib::Request&, httplib::Response&);

    EngineSimulation& m_simulation;
};

}
