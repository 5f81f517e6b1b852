#pragma once

#include <borageslip_routing/health/EngineEjector.h>

namespace borageslip {

/** Passive health checking of one service's backend servers: detects failing and slow servers from the outcomes of real
    requests, since such servers may still pass active health checks.

    A server's share of the requests is reduced in steps and raised again after successful answers; at most half of the
    servers have a reduced share at once. Servers are identified by the hash of their id. Not thread-safe.
    @see EngineEjector */
class ServerHealth {
public:
    ServerHealth();

    void add(uint64_t server) { m_ejector.addEngine(server); }
    void remove(uint64_t server) { m_ejector.removeEngine(server); }

    /** Records a successful answer. @param toFirstByte time from the send to the first byte of the answer. */
    void recordAnswer(uint64_t server, Duration toFirstByte, TimePoint sentAt, TimePoint now);

    /** Records a failed request. */
    void recordFailure(uint64_t server, TimePoint sentAt, TimePoint now);

    /** Records outcomes reported by another instance: increases since its previous report. */
    void recordPeerOutcomes(uint64_t server, uint32_t answers, uint32_t failures, TimePoint now) { m_ejector.recordPeerOutcomes(server, answers, failures, now); }

    /** Whether a request should be sent to another server instead.
        @param request hash of the request; the result for a request is the same until the server's share changes or a
        probe becomes due. */
    bool isAvoided(uint64_t server, uint64_t request, TimePoint now) const;

    /** The server's share of the requests; 1 unless it is reduced. */
    double share(uint64_t server) const { return m_ejector.weight(server); }
    bool hasReducedShare(uint64_t server) const { return share(server) < 1; }

    /** Whether a server with a reduced share should get a request to find out whether it has recovered. */
    bool isProbeDue(uint64_t server, TimePoint now) const { return m_ejector.isProbeDue(server, now); }

    /** Must be called for each send: a send to a server with a reduced share counts as a probe, and the next probe is
        delayed. */
    void recordSend(uint64_t server, TimePoint now) { m_ejector.tryProbe(server, now); }

    /** Evaluates the servers and adjusts their shares. Should be called about once a second.
        @return the servers whose share has changed. */
    std::vector<WeightChange> evaluate(TimePoint now);

private:
    EngineEjector m_ejector;
    TimePoint m_nextEvaluation {};
};

}
