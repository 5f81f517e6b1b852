#include "SseEventBuffer.h"

namespace borageslip {

namespace {

    constexpr std::string_view eventIdField = "id:";

    /** Returns the position after the first blank line at or after `start`, or npos. A blank line ends an event. */
    size_t endOfEvent(std::string_view text, size_t start)
    {
        const auto plain = text.find("\n\n", start);
        const auto withReturn = text.find("\r\n\r\n", start);
        if (plain == std::string_view::npos && withReturn == std::string_view::npos)
            return std::string_view::npos;
        return withReturn < plain ? withReturn + 4 : plain + 2;
    }

}

std::string SseEventBuffer::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    size_t complete = 0;
    for (auto end = endOfEvent(m_partial, 0); end != std::string_view::npos; end = endOfEvent(m_partial, complete)) {
        updateLastEventId(std::string_view(m_partial).substr(complete, end - complete));
        complete = end;
        ++m_eventCount;
    }
    auto events = m_partial.substr(0, complete);
    m_partial.erase(0, complete);
    return events;
}

void SseEventBuffer::updateLastEventId(std::string_view event)
{
    size_t line = 0;
    while (line < event.size()) {
        const auto end = std::min(event.find('\n', line), event.size());
        auto text = event.substr(line, end - line);
        if (text.starts_with(eventIdField)) {
            text.remove_prefix(eventIdField.size());
            if (text.starts_with(' '))
                text.remove_prefix(1);
            if (text.ends_with('\r'))
                text.remove_suffix(1);
            m_lastEventId = std::string(text);
        }
        line = end + 1;
    }
}

}
