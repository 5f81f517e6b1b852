#pragma once

#include "EngineView.h"

#include <borageslip_core/identity/ChatKey.h>
#include <cmath>
#include <optional>
#include <span>
#include <vector>

namespace borageslip {

/** Hashes and weights of the engines of one model, laid out for ranking without touching the EngineViews. Rebuild it
    when an engine joins, leaves or changes its weight or availability. */
class RendezvousRanking {
public:
    RendezvousRanking() = default;
    explicit RendezvousRanking(std::span<const EngineView>);

    size_t size() const { return m_hashes.size(); }
    size_t rankableCount() const { return m_rankableCount; }

    /** Writes the best `count` indexes in rendezvous order to `indexes`, in time linear in the number of engines. */
    void topRanked(ChatKey, size_t count, std::vector<size_t>& indexes) const;

    /** Returns the eligible engine that comes first in rendezvous order. The predicate is
        called for few engines while most are eligible. */
    template <typename Predicate>
    std::optional<size_t> firstEligible(ChatKey chat, Predicate isEligible) const
    {
        std::optional<size_t> first;
        double bestScore = 0;
        uint64_t lowestBits = 0;
        for (size_t i = 0; i < m_hashes.size(); ++i) {
            const uint64_t bits = mixedBits(chat.hash, m_hashes[i]);
            // The predicate comes before the logarithm: in an overload it rejects every engine.
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

    /** Returns the index of an engine, in time linear in the number of engines. */
    std::optional<size_t> indexOf(EngineHash) const;

    size_t bytes() const { return m_hashes.capacity() * sizeof(EngineHash) + m_weights.capacity() * sizeof(double); }

private:
    static constexpr double bitRange = 9007199254740992.0; // 2^53, the range of mixedBits.

    // Inlined in place of hashPair: at 5,000 engines the call for each engine alone would take most of the 20 us that
    // a decision may cost. Both inputs are XXH3 hashes, so two multiplications mix them well enough.
    static uint64_t mixedBits(uint64_t key, uint64_t candidate)
    {
        constexpr uint64_t multiplier = 0xd6e8feb86659fd93ULL;
        const uint64_t mixed = (key ^ candidate) * multiplier;
        return ((mixed ^ (mixed >> 32)) * multiplier) >> 11;
    }

    static double scoreOf(uint64_t bits, double weight) { return -weight / std::log((static_cast<double>(bits) + 0.5) / bitRange); }

    /** Returns the lowest bits with which an engine of this weight can still reach the score. As ln(u) <= u - 1, the
        comparison with them rejects most engines without a logarithm. */
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
