#pragma once

#include <borageslip_core/errors/Result.h>

#include <functional>
#include <string>
#include <string_view>

namespace borageslip {

/** Whether the receiver of a stream wants more data. */
enum class StreamFlow {
    Continue,
    Stop,
};

/** Incremental parser for server-sent events. Passes on the data of each event and skips other fields and comments.

    Not thread-safe. Lines may end with LF, CR or CRLF and may be split anywhere between calls. */
class SseParser {
public:
    using EventHandler = std::function<StreamFlow(std::string_view data)>;

    /** @param maxEventBytes upper bound of a line and of the data of an event, in bytes. */
    explicit SseParser(size_t maxEventBytes);

    /** Parses the next bytes and calls the handler once for each complete event, until it returns Stop.
        Errors: InvalidMessage for a line or an event over the bound; the parser must not be used after that. */
    Status feed(std::string_view bytes, const EventHandler&);

private:
    StreamFlow endLine(const EventHandler&);
    bool exceedsLimit() const { return m_line.size() + m_data.size() > m_maxEventBytes; }

    const size_t m_maxEventBytes;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_lastWasCarriageReturn = false;
};

}
