#pragma once

#include "EngineView.h"

#include <borageslip_core/identity/ChatKey.h>
#include <cmath>
#include <optional>
#include <span>
#include <vector>

namespace borageslip {

/** Ranks the engines of one model for a chat by weighted rendezvous hashing. Stores the engines' hashes and weights in
    arrays of their own, so that ranking does not read the EngineViews. Rebuild it when an engine joins, leaves or
    changes its weight or availability. */
class RendezvousRanking {
public:
    RendezvousRanking() = default;
    explicit RendezvousRanking(std::span<const EngineView>);

    size_t size() const { return m_hashes.size(); }
    size_t rankableCount() const { return m_rankableCount; }

    /** Writes the indexes of the `count` highest-ranked engines to `indexes`, best first. Scans all engines. */
    void topRanked(ChatKey, size_t count, std::vector<size_t>& indexes) const;

    /** Returns the index of the highest-ranked eligible engine, or nothing if none is eligible. The predicate is called
        for few engines while most are eligible. */
    template <typename Predicate>
    std::optional<size_t> firstEligible(ChatKey chat, Predicate isEligible) const
    {
        std::optional<size_t> first;
        double bestScore = 0;
        uint64_t lowestBits = 0;
        for (size_t i = 0; i < m_hashes.size(); ++i) {
            const uint64_t bits = mixedBits(chat.hash, m_hashes[i]);
            // Calls the predicate before computing the logarithm, because it rejects every engine in an overload.
            if (bits < lowestBits || m_weights[i] <= 0 || !isEligible(i))
                continue;
            const double score = scoreOf(bits, m_weights[i]);
            if (score <= bestScore)
                continue;
            first = i;
            bestScore = score;
            lowestBits = lowestBitsFor(score, m_highestWeight);
        }
        return first;
    }

    /** Returns the index of an engine, or nothing if it is unknown. Scans all engines. */
    std::optional<size_t> indexOf(EngineHash) const;

    size_t bytes() const { return m_hashes.capacity() * sizeof(EngineHash) + m_weights.capacity() * sizeof(double); }

private:
    static constexpr double bitRange = 9007199254740992.0; // 2^53, the range of mixedBits.

    // Used instead of hashPair, whose calls alone would take most of the time budget of a placement decision (20 us at
    // 5,000 engines). Both inputs are XXH3 hashes, so two multiplications mix them well enough.
    static uint64_t mixedBits(uint64_t key, uint64_t candidate)
    {
        constexpr uint64_t multiplier = 0xd6e8feb86659fd93ULL;
        const uint64_t mixed = (key ^ candidate) * multiplier;
        return ((mixed ^ (mixed >> 32)) * multiplier) >> 11;
    }

    static double scoreOf(uint64_t bits, double weight) { return -weight / std::log((static_cast<double>(bits) + 0.5) / bitRange); }

    /** Returns a lower limit of the hash bits with which an engine of this weight can still reach the score. It follows
        from ln(u) <= u - 1, and comparing with it rejects most engines without computing a logarithm. */
    static uint64_t lowestBitsFor(double score, double weight)
    {
        const double lowest = (1 - weight / score) * bitRange - 1;
        return lowest > 0 ? static_cast<uint64_t>(lowest) : 0;
    }

    std::vector<EngineHash> m_hashes;
    std::vector<double> m_weights;
    size_t m_rankableCount = 0;
    double m_highestWeight = 0;
};

}
