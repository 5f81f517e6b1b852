#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace borageslip {

/** Passes server-sent events on as wholes and remembers the identity of the last one, so that a stream can go on at
    another backend server after its last whole event. Not thread-safe. */
class SseEventBuffer {
public:
    /** Returns the whole events that the bytes complete. */
    std::string feed(std::string_view bytes);

    /** Identity of the last event that was passed on; absent before the first. */
    const std::optional<std::string>& lastEventId() const { return m_lastEventId; }

    /** Drops the part of an event that was broken off. */
    void dropPartialEvent() { m_partial.clear(); }
    bool hasPartialEvent() const { return !m_partial.empty(); }

    /** Returns the bytes after the last whole event and forgets them. */
    std::string takePartialEvent() { return std::move(m_partial); }

private:
    void updateLastEventId(std::string_view event);

    std::string m_partial;
    std::optional<std::string> m_lastEventId;
};

}
