#include "BaselinePlacements.h"

#include <algorithm>

namespace borageslip {

namespace {

    std::vector<size_t> availableIndexes(std::span<const EngineView> engines)
    {
        std::vector<size_t> indexes;
        indexes.reserve(engines.size());
        for (size_t i = 0; i < engines.size(); ++i) {
            if (engines[i].isAvailable && engines[i].weight > 0)
                indexes.push_back(i);
        }
        return indexes;
    }

}

std::vector<size_t> RandomPlacement::rank(ChatKey, std::span<const EngineView> engines)
{
    auto indexes = availableIndexes(engines);
    std::shuffle(indexes.begin(), indexes.end(), m_generator);
    return indexes;
}

std::vector<size_t> RoundRobinPlacement::rank(ChatKey, std::span<const EngineView> engines)
{
    auto indexes = availableIndexes(engines);
    if (!indexes.empty())
        std::rotate(indexes.begin(), indexes.begin() + static_cast<std::ptrdiff_t>(m_next++ % indexes.size()), indexes.end());
    return indexes;
}

std::vector<size_t> LeastReportedLoadPlacement::rank(ChatKey, std::span<const EngineView> engines)
{
    auto indexes = availableIndexes(engines);
    std::stable_sort(indexes.begin(), indexes.end(), [&](size_t first, size_t second) { return engines[first].reportedLoad < engines[second].reportedLoad; });
    return indexes;
}

std::vector<size_t> ConsistentHashPlacement::rank(ChatKey chat, std::span<const EngineView> engines)
{
    const auto isSame = [](const EngineView& engine, EngineHash hash) { return engine.hash == hash; };
    if (!std::equal(engines.begin(), engines.end(), m_members.begin(), m_members.end(), isSame))
        rebuild(engines);
    std::vector<size_t> indexes;
    std::vector<bool> isSeen(engines.size());
    const auto start = std::lower_bound(m_ring.begin(), m_ring.end(), chat.hash, [](const Point& point, uint64_t position) { return point.position < position; });
    const auto offset = static_cast<size_t>(start - m_ring.begin());
    for (size_t i = 0; i < m_ring.size() && indexes.size() < engines.size(); ++i) {
        const auto engine = m_ring[(offset + i) % m_ring.size()].engine;
        if (isSeen[engine])
            continue;
        isSeen[engine] = true;
        if (engines[engine].isAvailable && engines[engine].weight > 0)
            indexes.push_back(engine);
    }
    return indexes;
}

void ConsistentHashPlacement::rebuild(std::span<const EngineView> engines)
{
    m_members.clear();
    m_ring.clear();
    for (size_t i = 0; i < engines.size(); ++i) {
        m_members.push_back(engines[i].hash);
        for (int node = 0; node < m_virtualNodes; ++node)
            m_ring.push_back({ hashPair(engines[i].hash, static_cast<uint64_t>(node)), i });
    }
    std::sort(m_ring.begin(), m_ring.end(), [](const Point& first, const Point& second) { return first.position < second.position; });
}

}
