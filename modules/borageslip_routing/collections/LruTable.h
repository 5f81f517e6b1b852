#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace borageslip {

/** Fixed-capacity hash map from a well-mixed 64-bit hash to a small value. Inserting a new key into a full table evicts
    the least recently used entry. All memory is reserved at construction, so the capacity also bounds the size in
    bytes. Not thread-safe. */
template <typename Value>
class LruTable {
public:
    /** Returns the largest size of one entry in bytes, including its part of the index (two to four positions of 4
        bytes). */
    static constexpr size_t bytesPerEntry() { return sizeof(Node) + 4 * sizeof(uint32_t); }

    explicit LruTable(size_t capacity)
        : m_capacity(std::max<size_t>(capacity, 1))
        , m_index(std::bit_ceil(m_capacity * 2), none)
    {
        m_nodes.reserve(m_capacity);
    }

    /** Returns a table that takes at most this number of bytes, but has room for at least one entry. */
    static LruTable withinBytes(size_t bytes) { return LruTable(bytes / bytesPerEntry()); }

    size_t size() const { return m_size; }
    size_t capacity() const { return m_capacity; }
    size_t bytes() const { return m_nodes.capacity() * sizeof(Node) + m_index.size() * sizeof(uint32_t); }

    /** Returns the value, or null if the key is absent, without marking it as used. */
    const Value* peek(uint64_t key) const
    {
        const auto position = positionOf(key);
        return m_index[position] == none ? nullptr : &m_nodes[m_index[position]].value;
    }

    /** Returns the value and marks it as the most recently used; null if the key is absent. */
    Value* find(uint64_t key)
    {
        const auto position = positionOf(key);
        if (m_index[position] == none)
            return nullptr;
        const auto node = m_index[position];
        unlink(node);
        linkFirst(node);
        return &m_nodes[node].value;
    }

    /** Returns the value of the key, inserting `initial` if the key is absent. Marks it as the most recently used. */
    Value& findOrInsert(uint64_t key, Value initial = {})
    {
        if (Value* existing = find(key))
            return *existing;
        if (m_size == m_capacity)
            erase(m_nodes[m_last].key);
        uint32_t node = m_free;
        if (node != none) {
            m_free = m_nodes[node].next;
            m_nodes[node] = { key, std::move(initial), none, none };
        } else {
            node = static_cast<uint32_t>(m_nodes.size());
            m_nodes.push_back({ key, std::move(initial), none, none });
        }
        m_index[positionOf(key)] = node;
        linkFirst(node);
        ++m_size;
        return m_nodes[node].value;
    }

    /** Returns the key that the next insertion of a new key evicts, or nothing while the table is not full. */
    std::optional<uint64_t> nextEvicted() const
    {
        if (m_size < m_capacity)
            return std::nullopt;
        return m_nodes[m_last].key;
    }

    bool erase(uint64_t key)
    {
        auto hole = positionOf(key);
        const auto node = m_index[hole];
        if (node == none)
            return false;
        unlink(node);
        m_nodes[node].next = m_free;
        m_free = node;
        --m_size;
        // Backward-shift deletion: moves later entries of the probe sequence into the hole instead of leaving a
        // tombstone.
        const auto mask = m_index.size() - 1;
        for (auto next = (hole + 1) & mask; m_index[next] != none; next = (next + 1) & mask) {
            const auto ideal = m_nodes[m_index[next]].key & mask;
            if (((next - ideal) & mask) >= ((next - hole) & mask)) {
                m_index[hole] = m_index[next];
                hole = next;
            }
        }
        m_index[hole] = none;
        return true;
    }

    /** Erases every entry for which the predicate (key, value) holds. */
    template <typename Predicate>
    void eraseIf(Predicate predicate)
    {
        for (auto node = m_first; node != none;) {
            const auto next = m_nodes[node].next;
            if (predicate(m_nodes[node].key, m_nodes[node].value))
                erase(m_nodes[node].key);
            node = next;
        }
    }

private:
    static constexpr uint32_t none = UINT32_MAX;

    struct Node {
        uint64_t key;
        Value value;
        uint32_t previous;
        uint32_t next;
    };

    size_t positionOf(uint64_t key) const
    {
        const auto mask = m_index.size() - 1;
        auto position = key & mask;
        while (m_index[position] != none && m_nodes[m_index[position]].key != key)
            position = (position + 1) & mask;
        return position;
    }

    void unlink(uint32_t node)
    {
        auto& entry = m_nodes[node];
        (entry.previous == none ? m_first : m_nodes[entry.previous].next) = entry.next;
        (entry.next == none ? m_last : m_nodes[entry.next].previous) = entry.previous;
    }

    void linkFirst(uint32_t node)
    {
        m_nodes[node].previous = none;
        m_nodes[node].next = m_first;
        (m_first == none ? m_last : m_nodes[m_first].previous) = node;
        m_first = node;
    }

    size_t m_capacity;
    size_t m_size = 0;
    std::vector<Node> m_nodes;
    std::vector<uint32_t> m_index;
    uint32_t m_first = none;
    uint32_t m_last = none;
    uint32_t m_free = none;
};

}
