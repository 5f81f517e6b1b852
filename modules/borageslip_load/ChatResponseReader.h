#pragma once

#include <borageslip_core/borageslip_core.h>
#include <functional>
#include <string>
#include <string_view>

namespace borageslip {

/** Parses a chat response, streamed as server-sent events or sent as one JSON body.

    A stream is complete when its token offsets have no gaps and it ends with [DONE]. */
class ChatResponseReader {
public:
    enum class State {
        Open, ///< The end has not been received; the response is truncated if the connection closes now.
        Done,
        Error, ///< Problem details were received, as the final event or as the body.
        Malformed, ///< Offsets with gaps or repetitions, an event after [DONE], or data that is not a JSON object.
    };

    struct Response {
        State state = State::Open;
        std::string text;
        uint64_t tokens = 0;
        uint64_t promptTokens = 0;
        uint64_t cachedTokens = 0;
        std::string errorKind;
        bool isNotRun = false;
        std::string problem; ///< Why the response is malformed.
    };

    /** @param onToken called for each chunk of text, and once for a response that is not streamed. */
    explicit ChatResponseReader(std::function<void()> onToken);

    /** Parses the next bytes of an event stream, which may be split anywhere. */
    void parseEvents(std::string_view bytes);

    /** Parses a complete response that is not streamed. */
    void parseBody(std::string_view body);

    /** Parses the problem details of an error response. Without an error kind in the body, the kind is "status-<status>". */
    void parseProblemDetails(std::string_view body, int status);

    const Response& response() const { return m_response; }

private:
    void handleEvent(std::string_view data);
    void readUsage(const nlohmann::json& body);
    void setError(const nlohmann::json& body);
    void setMalformed(std::string text);

    std::function<void()> m_onToken;
    std::string m_buffer;
    Response m_response;
};

}
