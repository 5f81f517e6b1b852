#pragma once

#include <cstddef>

namespace borageslip {

/** Bounds the memory that the buffers of all connections hold together, so that no number of connections takes the
    process over its memory limit.

    Each connection states what it holds by a Share. While the sum is within the limit, each may hold any amount; beyond
    it, only those may that hold no more than their equal part of the limit. The sum is therefore at most twice the limit,
    and a few large holders don't take memory from the others. Not thread-safe: call it from the event loop that owns it. */
class MemoryBudget {
public:
    /** @param limit in bytes. */
    explicit MemoryBudget(size_t limit)
        : m_limit(limit)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    size_t limit() const { return m_limit; }
    size_t heldBytes() const { return m_heldBytes; }

    /** What one connection holds, for as long as this object exists. The budget must outlive it. */
    class Share {
    public:
        explicit Share(MemoryBudget& budget)
            : m_budget(budget)
        {
        }
        ~Share() { set(0); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /** States how many bytes are held. Returns whether they may be; if not, the holder has to release them at once. */
        bool hold(size_t bytes)
        {
            set(bytes);
            return m_budget.m_heldBytes <= m_budget.m_limit || bytes * m_budget.m_holders <= m_budget.m_limit;
        }

    private:
        void set(size_t bytes)
        {
            m_budget.m_heldBytes += bytes - m_bytes;
            m_budget.m_holders += static_cast<size_t>(bytes > 0) - static_cast<size_t>(m_bytes > 0);
            m_bytes = bytes;
        }

        MemoryBudget& m_budget;
        size_t m_bytes = 0;
    };

private:
    size_t m_limit;
    size_t m_heldBytes = 0;
    size_t m_holders = 0; ///< Shares that hold more than nothing.
};

}
