#pragma once

#include <borageslip_core/time/Clock.h>

#include <cstdint>
#include <optional>
#include <span>

namespace borageslip {

/** Inputs of the server choice for one backend server. */
struct ServerCandidate {
    uint64_t hash = 0; ///< Hash of the server's id; the same at all instances.
    int inFlight = 0; ///< Requests at the server, of all instances.
    int slots = 0; ///< Maximum of concurrent requests; 0 when unknown, which means unlimited.
    int64_t pendingPrefill = 0; ///< Prompt tokens waiting for prefill at the server.
    bool isExcluded = false; ///< Whether the request must not be sent to it, for example because it was tried already.
    bool isEjected = false;
    bool isCold = false;
    bool isInOwnDomain = false;
    /** Whether the loads are too old to keep a request away from the server of its prompt prefix: the server's
        coordinator decides. */
    bool isLoadOutdated = false;
    bool isLimitedWhileCold = false; ///< Whether it is cold and gets requests only with permits.
    /** Time that work takes on the server, as a multiple of the usual time. @see ServerSlowness */
    double slowness = 1;
};

/** How a server is chosen where no prompt prefix decides. */
enum class LeastLoadedRule {
    OfAll, ///< The least loaded of all servers.
    OfTwo, ///< The less loaded of two servers drawn at random, in proportion to their speeds.
};

/** Requests in flight allowed above capFactor times the mean. The required bound on load skew allows three; the third
    is headroom for a slightly outdated mean. */
constexpr double capMargin = 2;

/** Chooses the rule by the mean age of the loads that other instances have reported: all instances that know the same old
    loads would choose the same server. */
LeastLoadedRule leastLoadedRuleFor(Duration loadAge);

/** Load limits of the server choice. */
struct ServerChoiceLimits {
    double capFactor = 2; ///< A server with more than capFactor * mean + capMargin requests in flight gets no work.
    double affinityFactor = 2; ///< A request follows its affinity to servers with less than affinityFactor * mean + affinityMargin requests in flight.
    double affinityMargin = 2; ///< Requests.
    int64_t pendingPrefill = 24000; ///< Tokens; a longer prefill backlog would delay the first token by more than half a second.
    LeastLoadedRule leastLoadedRule = LeastLoadedRule::OfAll;
};

/** Why a backend server was chosen. */
enum class ChoiceReason {
    Affinity, ///< First in the rendezvous order of the prompt prefix.
    Spill, ///< Later in the rendezvous order, because the servers before it are over their limits or denied the request.
    LeastLoaded,
};
constexpr size_t choiceReasonCount = 3;

/** Label value of the reason in metrics. */
const char* choiceReasonName(ChoiceReason);

struct ServerChoice {
    size_t index = 0; ///< Position among the candidates.
    ChoiceReason reason = ChoiceReason::LeastLoaded;
};

/** Chooses a backend server for a request. A pure function: the same input gives the same choice at every instance.

    With an affinity, the candidates are tried in rendezvous-hash order, so that all instances send requests with the
    same prompt prefix to the same server without shared state, and a popular prefix spreads over as many servers as its
    load needs. A candidate whose loads are outdated is tried as if it were within the limits, because instances that
    spill by different outdated loads would spread a prefix over many servers, each of which reads it again. Without an
    affinity, or when all candidates exceed the affinity limits, the least loaded candidate by the rule of the limits is
    chosen; one in the own failure domain is preferred at equal load. A cold candidate is chosen only if no warm one is
    eligible or, while it is limited by permits, if all warm ones exceed the affinity limits. Limits and loads are taken
    relative to the servers' shares by their slowness. Ejected candidates are used only when no other one is eligible.
    @param affinity hash of the shared prompt prefix; 0 for none.
    @param tieBreak hash that spreads choices over otherwise equal candidates.
    @return nothing when no candidate is eligible: each is excluded, has no free slot or is over the cap. */
std::optional<ServerChoice> chooseServer(std::span<const ServerCandidate>, uint64_t affinity, uint64_t tieBreak, const ServerChoiceLimits& = {});

}
