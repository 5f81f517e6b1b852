#pragma once

#include <borageslip_core/borageslip_core.h>
#include <functional>
#include <string>
#include <string_view>

namespace borageslip {

/** Reads a streamed or whole chat answer and checks that it is complete: offsets without gaps and a final [DONE]. */
class ChatResponseReader {
public:
    enum class State {
        Open, ///< No end was seen: the answer is cut if the connection is closed now.
        Done,
        Error, ///< A typed error, as a final event or as the whole body.
        Malformed, ///< Offsets that do not fit, or events that are not JSON.
    };

    struct Response {
        State state = State::Open;
        std::string text;
        uint64_t tokens = 0;
        uint64_t promptTokens = 0;
        uint64_t cachedTokens = 0;
        std::string errorKind;
        bool isNotRun = false;
        std::string problem; ///< What is malformed.
    };

    /** @param onToken called for each chunk of text. */
    explicit ChatResponseReader(std::function<void()> onToken);

    void parseEvents(std::string_view bytes);
    void parseBody(std::string_view body);

    /** Reads problem details; a body of another form yields the kind "status-<status>". */
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
