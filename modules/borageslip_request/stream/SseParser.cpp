#include "SseParser.h"

#include <utility>

namespace borageslip {

SseParser::SseParser(size_t maxEventBytes)
    : m_maxEventBytes(maxEventBytes)
{
}

Status SseParser::feed(std::string_view bytes, const EventHandler& handler)
{
    for (const char byte : bytes) {
        const bool completesCrLf = m_lastWasCarriageReturn && byte == '\n';
        m_lastWasCarriageReturn = byte == '\r';
        if (completesCrLf)
            continue;
        if (byte == '\n' || byte == '\r') {
            if (endLine(handler) == StreamFlow::Stop)
                return ok();
            continue;
        }
        m_line.push_back(byte);
        if (exceedsLimit())
            return Error { ErrorKind::InvalidMessage, "server-sent event exceeds " + std::to_string(m_maxEventBytes) + " bytes" };
    }
    return ok();
}

StreamFlow SseParser::endLine(const EventHandler& handler)
{
    std::string bytes;
    bytes.swap(m_line);
    const std::string_view line = bytes;
    if (line.empty()) {
        if (!std::exchange(m_hasData, false))
            return StreamFlow::Continue;
        const auto data = std::exchange(m_data, {});
        return handler(data);
    }
    const auto colon = line.find(':');
    if (line.substr(0, colon) != "data")
        return StreamFlow::Continue;
    std::string_view field = colon == std::string::npos ? std::string_view {} : line.substr(colon + 1);
    if (field.starts_with(' '))
        field.remove_prefix(1);
    if (std::exchange(m_hasData, true))
        m_data.push_back('\n');
    m_data += field;
    return StreamFlow::Continue;
}

}
