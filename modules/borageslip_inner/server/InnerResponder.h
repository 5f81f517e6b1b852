#pragma once

#include "../http2/InnerMessage.h"

#include <functional>
#include <string_view>

namespace borageslip {

/** Sends the response to a daemon-to-daemon request: start() once, write() any number of times, then finish().

    May be used from any thread, and may outlive the server, after which its calls have no effect. If it is destroyed
    before finish(), the stream is aborted.
    @see InnerServer */
class InnerResponder {
public:
    virtual ~InnerResponder() = default;

    /** Sends the status and headers. */
    virtual void start(int status, InnerHeaders headers) = 0;

    /** Appends to the body. Blocks while the response buffer is full because the peer reads slowly.
        Returns false if the stream is closed. */
    virtual bool write(std::string_view bytes) = 0;

    /** Completes the response. */
    virtual void finish() = 0;

    /** Resets the stream, so that the peer cannot mistake the partial response for a complete one. */
    virtual void abort() = 0;

    /** Whether the stream is closed: cancelled by the peer, lost with the connection, or already complete. */
    virtual bool isCancelled() const = 0;

    /** Whether the connection was lost while the stream was open. The peer has then not cancelled and may still want the
        response. */
    virtual bool isConnectionLost() const = 0;

    /** Sets a handler that is called once, on any thread, when the peer cancels, the connection is lost or the response is
        complete. It is called immediately if the stream is already closed. */
    virtual void onCancelled(std::function<void()>) = 0;

    /** Sends a complete response with start(), write() and finish(). */
    void respond(int status, InnerHeaders headers, std::string_view body)
    {
        start(status, std::move(headers));
        write(body);
        finish();
    }
};

}
