#pragma once

#include "PlacementPolicy.h"

#include <random>

namespace borageslip {

/** Baseline policy: a random order for every request. */
class RandomPlacement final : public PlacementPolicy {
public:
    explicit RandomPlacement(uint64_t seed)
        : m_generator(seed)
    {
    }
    std::vector<size_t> rank(ChatKey, std::span<const EngineView> engines) override;

private:
    std::mt19937_64 m_generator;
};

/** Baseline policy: each request goes to the next engine in rotation. */
class RoundRobinPlacement final : public PlacementPolicy {
public:
    std::vector<size_t> rank(ChatKey, std::span<const EngineView> engines) override;

private:
    size_t m_next = 0;
};

/** Baseline policy: engines in order of reported load, lowest first, regardless of the age of the reports. */
class LeastReportedLoadPlacement final : public PlacementPolicy {
public:
    std::vector<size_t> rank(ChatKey, std::span<const EngineView> engines) override;
};

/** Baseline policy: consistent hashing on a ring with virtual nodes. */
class ConsistentHashPlacement final : public PlacementPolicy {
public:
    explicit ConsistentHashPlacement(int virtualNodes = 100)
        : m_virtualNodes(virtualNodes)
    {
    }
    std::vector<size_t> rank(ChatKey, std::span<const EngineView> engines) override;

private:
    struct Point {
        uint64_t position;
        size_t engine;
    };
    void rebuild(std::span<const EngineView>);

    int m_virtualNodes;
    std::vector<EngineHash> m_members;
    std::vector<Point> m_ring;
};

}
