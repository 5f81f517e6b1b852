#pragma once

#include <httplib.h>

namespace borageslip::standin {

/** Shuts down the connection of a request, so that the client sees it closed without a response.

    cpp-httplib does not expose the socket of a request, so this searches the open descriptors for the one with the
    request's remote and local port. On loopback the remote port identifies the connection. */
void dropConnection(const httplib::Request&);

}
