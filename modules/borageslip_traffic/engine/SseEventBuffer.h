#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace borageslip {

/** Buffers a stream of server-sent events and releases complete events only.

    Keeps the id of the last complete event, so that a broken stream can be resumed on another backend server after that
    event. Not thread-safe. */
class SseEventBuffer {
public:
    /** Appends bytes and returns the events that are now complete. */
    std::string feed(std::string_view bytes);

    /** Id of the last complete event that had one; absent before the first. */
    const std::optional<std::string>& lastEventId() const { return m_lastEventId; }

    /** Discards an incomplete event. */
    void dropPartialEvent() { m_partial.clear(); }

    /** Number of complete events so far. */
    size_t eventCount() const { return m_eventCount; }
    size_t partialEventBytes() const { return m_partial.size(); }

    /** Returns the bytes after the last complete event and clears the buffer. */
    std::string takePartialEvent() { return std::exchange(m_partial, {}); }

private:
    void updateLastEventId(std::string_view event);

    std::string m_partial;
    std::optional<std::string> m_lastEventId;
    size_t m_eventCount = 0;
};

}
