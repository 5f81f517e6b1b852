#include "RendezvousRanking.h"

#include <algorithm>
#include <cmath>

namespace borageslip {

namespace {

    struct Candidate {
        double score;
        size_t index;
    };

    bool isBetter(const Candidate& first, const Candidate& second)
    {
        if (first.score != second.score)
            return first.score > second.score;
        return first.index < second.index;
    }

}

RendezvousRanking::RendezvousRanking(std::span<const EngineView> engines)
{
    m_hashes.reserve(engines.size());
    m_weights.reserve(engines.size());
    for (const auto& engine : engines) {
        m_hashes.push_back(engine.hash);
        m_weights.push_back(engine.isAvailable ? std::max(engine.weight, 0.0) : 0.0);
        m_rankableCount += m_weights.back() > 0 ? 1 : 0;
        m_highestWeight = std::max(m_highestWeight, m_weights.back());
    }
}

std::optional<size_t> RendezvousRanking::indexOf(EngineHash engine) const
{
    const auto found = std::find(m_hashes.begin(), m_hashes.end(), engine);
    if (found == m_hashes.end())
        return std::nullopt;
    return static_cast<size_t>(found - m_hashes.begin());
}

void RendezvousRanking::topRanked(ChatKey chat, size_t count, std::vector<size_t>& indexes) const
{
    indexes.clear();
    count = std::min(count, m_rankableCount);
    if (count == 0)
        return;
    std::vector<Candidate> best;
    best.reserve(count + 1);
    // Insertion into a short sorted list is cheaper than a heap; a long list is sorted once at the end.
    const bool isShort = count <= 32;
    uint64_t lowestBits = 0;
    for (size_t i = 0; i < m_hashes.size(); ++i) {
        const uint64_t bits = mixedBits(chat.hash, m_hashes[i]);
        if (bits < lowestBits || m_weights[i] <= 0)
            continue;
        const Candidate candidate { scoreOf(bits, m_weights[i]), i };
        if (!isShort) {
            best.push_back(candidate);
            continue;
        }
        if (best.size() == count && !isBetter(candidate, best.back()))
            continue;
        best.insert(std::upper_bound(best.begin(), best.end(), candidate, isBetter), candidate);
        if (best.size() > count)
            best.pop_back();
        if (best.size() == count)
            lowestBits = lowestBitsFor(best.back().score, m_highestWeight);
    }
    if (!isShort)
        std::partial_sort(best.begin(), best.begin() + static_cast<std::ptrdiff_t>(count), best.end(), isBetter);
    for (size_t i = 0; i < count; ++i)
        indexes.push_back(best[i].index);
}

}
