#pragma once

#include <borageslip_core/time/Clock.h>

#include <array>
#include <cstdint>
#include <mutex>

namespace borageslip {

/** Kinds of control traffic, in the order in which they are dropped when the budget runs low. */
enum class ControlKind : uint8_t {
    BulkGossip,
    Synchronisation,
    Suspicion,
    Probe,
    Leaving,
};

/** Token bucket that limits the control traffic sent by a daemon.

    Each kind leaves a reserve in the bucket for the kinds after it, so bulk gossip stops first and leave announcements
    stop last. Thread-safe. */
class ControlBudget {
public:
    struct Settings {
        double bytesPerSecond = 5000;
        std::chrono::milliseconds burst { 2000 }; ///< Bucket capacity, as time at bytesPerSecond.
    };

    static constexpr size_t kindCount = 5;

    ControlBudget(Settings, TimePoint now);
    ControlBudget(const ControlBudget&) = delete;
    ControlBudget& operator=(const ControlBudget&) = delete;

    /** Takes the bytes from the bucket. Returns false and counts a drop if that would use the reserve of later kinds. */
    bool spend(ControlKind, size_t bytes, TimePoint now);

    /** Returns the number of bytes that may be spent on the kind now. */
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
