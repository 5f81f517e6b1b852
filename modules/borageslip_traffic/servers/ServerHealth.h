#pragma once

#include <borageslip_routing/health/EngineEjector.h>

namespace borageslip {

/** Finds the backend servers of one service that fail or work slowly, from the requests they were sent: their answers
    to health checks may be good all the while.

    A server's share of the requests is lowered by degrees and raised again after good answers; at most half of the
    servers are lowered at once. Not thread-safe.
    @see EngineEjector */
class ServerHealth {
public:
    ServerHealth();

    void add(uint64_t server) { m_ejector.addEngine(server); }
    void remove(uint64_t server) { m_ejector.removeEngine(server); }

    /** @param toFirstByte from the send to the answer's first byte. */
    void recordAnswer(uint64_t server, Duration toFirstByte, TimePoint sentAt, TimePoint now);
    void recordFailure(uint64_t server, TimePoint sentAt, TimePoint now);

    /** Records what another instance has seen. */
    void recordPeerOutcomes(uint64_t server, uint32_t answers, uint32_t failures, TimePoint now) { m_ejector.recordElsewhere(server, answers, failures, now); }

    /** Whether a request should go elsewhere. @param request a hash of it: the same request gets the same answer until
        the server's share changes. */
    bool isAvoided(uint64_t server, uint64_t request, TimePoint now) const;

    /** Whether the server gets less than its share. */
    bool hasReducedShare(uint64_t server) const { return m_ejector.weight(server) < 1; }

    /** To be called for each send: one to a server that gets no share is a probe, and the next one has to wait. */
    void recordSend(uint64_t server, TimePoint now) { m_ejector.tryProbe(server, now); }

    /** Judges the servers. To be called about once a second.
        @return the servers whose share has changed. */
    std::vector<WeightChange> evaluate(TimePoint now);

private:
    EngineEjector m_ejector;
    TimePoint m_nextEvaluation {};
};

}
