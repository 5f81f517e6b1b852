#pragma once

/**
    HTTP/2 client and server for requests between the daemons of the fleet.

    Depends on borageslip_core. System libraries: nghttp2, Boost.Asio.
*/

#include "client/InnerClient.h"
#include "client/InnerStream.h"
#include "http2/InnerMessage.h"
#include "server/InnerResponder.h"
#include "server/InnerServer.h"
