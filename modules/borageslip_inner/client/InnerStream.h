#pragma once

#include "../http2/InnerMessage.h"

#include <borageslip_core/borageslip_core.h>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace borageslip {

/** The response to a daemon-to-daemon request. The read functions block, and only one thread may call them.
    @see InnerClient */
class InnerStream {
public:
    struct Head {
        int status = 0;
        InnerHeaders headers;
    };

    virtual ~InnerStream() = default;

    /** Waits for the status and headers.
        Errors: PeerUnreachable if the peer did not process the request, PeerConnectionLost if the stream or the connection
        broke, ConnectionSilent on a timeout or if the connection went silent. */
    virtual Result<Head> head(std::chrono::milliseconds timeout) = 0;

    /** Waits for the next chunk of the body. Returns std::nullopt at the regular end of the body.
        Errors: PeerUnreachable if the peer did not process the request, PeerConnectionLost if the stream or the connection
        broke, ConnectionSilent on a timeout or if the connection went silent. */
    virtual Result<std::optional<std::string>> next(std::chrono::milliseconds timeout) = 0;

    /** Resets the stream, which the peer sees as a cancellation. Thread-safe. Also called by the destructor. */
    virtual void cancel() = 0;
};

/** Reads the rest of a body.
    @param timeout maximum wait for each chunk, not for the whole body.
    Errors: those of InnerStream::next(), and RequestTooLarge if the body exceeds maxBytes. */
Result<std::string> readAll(InnerStream&, size_t maxBytes, std::chrono::milliseconds timeout);

}
