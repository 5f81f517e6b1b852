#pragma once

#include <httplib.h>

namespace borageslip {

/** Connection on which a request arrived. cpp-httplib reports a disconnect of the caller only to handlers that stream; this
    class also detects it while a handler assembles a complete response.

    Use it on the handler's thread and only while the handler runs. */
class CallerConnection {
public:
    explicit CallerConnection(const httplib::Request&);

    /** Returns true if the caller has closed its side of the connection, false if it is open or was not found. */
    bool isClosed() const;

private:
    int m_descriptor = -1;
};

}
