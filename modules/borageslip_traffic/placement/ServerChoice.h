#pragma once

#include <cstdint>
#include <optional>
#include <span>

namespace borageslip {

/** What the choice of a backend server takes into account for one of them. */
struct ServerCandidate {
    uint64_t hash = 0; ///< Of its identity; the same at all instances.
    int inFlight = 0; ///< Requests of all instances at it.
    int slots = 0; ///< 0: not known, not limited.
    int64_t pendingPrefill = 0; ///< Prompt tokens that wait to be read there.
    bool isExcluded = false; ///< The request has been sent to it before.
    bool isEjected = false;
    bool isCold = false;
    bool isInOwnDomain = false;
};

/** The cap on skew in requests over the multiple of the mean. The bound allows three; one is kept for a mean that is known
    a little late. */
constexpr double capMargin = 2;

/** Bounds of the choice. */
struct ServerChoiceLimits {
    double capFactor = 2; ///< No backend server gets work while it holds more than this times the mean plus capMargin.
    double affinityFactor = 2; ///< Times the mean: up to it a request stays where its prefix is cached.
    double affinityMargin = 2;
    int64_t pendingPrefill = 24000; ///< Tokens; a longer backlog would delay the first token by more than half a second.
};

/** Why a backend server was chosen. */
enum class ChoiceReason {
    Affinity, ///< The first one in the order of the prompt's beginning.
    Spill, ///< A further one in that order, because those before it are full.
    LeastLoaded,
};
constexpr size_t choiceReasonCount = 3;

/** Name of the reason in metrics. */
const char* choiceReasonName(ChoiceReason);

struct ServerChoice {
    size_t index = 0; ///< Of the candidate.
    ChoiceReason reason = ChoiceReason::LeastLoaded;
};

/** Chooses a backend server for a request. Pure: the same input gives the same choice at every instance.

    With an affinity (a hash of the shared parts of the prompt) the candidates are tried in rendezvous order, so that
    all instances send a chat to the same place without shared state, and a popular prefix spreads over as many
    candidates as its load needs. Without one, the least loaded is taken, in the own failure domain where loads are
    equal.
    @param affinity 0 for none.
    @param tieBreak spreads choices among equals.
    @return nothing when no candidate has a place. */
std::optional<ServerChoice> chooseServer(std::span<const ServerCandidate>, uint64_t affinity, uint64_t tieBreak, const ServerChoiceLimits& = {});

}
