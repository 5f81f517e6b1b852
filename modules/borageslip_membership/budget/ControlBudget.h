#pragma once

#include <borageslip_core/time/Clock.h>

#include <array>
#include <cstdint>
#include <mutex>

namespace borageslip {

/** Kinds of control traffic, from the first to be dropped to the last. */
enum class ControlKind : uint8_t {
    BulkGossip,
    Synchronisation,
    Suspicion,
    Probe,
    Leaving,
};

/** Token bucket over all control bytes that a daemon sends, with an order of what is dropped first.

    Each kind may only draw the bucket down to its own reserve, so lower kinds stop first. Thread-safe. */
class ControlBudget {
public:
    struct Settings {
        double bytesPerSecond = 5000;
        std::chrono::milliseconds burst { 2000 };
    };

    static constexpr size_t kindCount = 5;

    ControlBudget(Settings, TimePoint now);
    ControlBudget(const ControlBudget&) = delete;
    ControlBudget& operator=(const ControlBudget&) = delete;

    /** Takes the bytes, or returns false and counts a drop when the kind's reserve does not allow them. */
    bool spend(ControlKind, size_t bytes, TimePoint now);

    /** Bytes that a kind could spend now. */
    size_t available(ControlKind, TimePoint now);

    uint64_t bytesSpent(ControlKind) const;
    uint64_t dropCount(ControlKind) const;

private:
    void refill(TimePoint now);
    double reserve(ControlKind) const;

    const double m_rate;
    const double m_capacity;
    mutable std::mutex m_mutex;
    double m_tokens;
    TimePoint m_lastRefill;
    std::array<uint64_t, kindCount> m_bytesSpent {};
    std::array<uint64_t, kindCount> m_dropCounts {};
};

}
