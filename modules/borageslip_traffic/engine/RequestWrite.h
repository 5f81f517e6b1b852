#pragma once

namespace borageslip {

/** How the writing of one request to a backend server has ended. Shared with the coroutine that writes the request. */
struct RequestWrite {
    bool isEnded = false;
    bool isWritten = false; ///< Whether the kernel has taken the whole request.
    bool isWithheld = false; ///< Whether no byte was written, because the server was evacuated.
};

}
