#pragma once

/**
    Who is in the fleet: SWIM membership over UDP, values gossiped by members, the budget of control bytes and the
    directory of entries for callers.

    Depends on borageslip_core. System libraries: nlohmann_json, OpenSSL, Boost.Asio.
*/

#include "budget/ControlBudget.h"
#include "codec/SwimCodec.h"
#include "codec/SwimMessage.h"
#include "directory/EntryDirectory.h"
#include "gossip/GossipTable.h"

#include "table/Member.h"
#include "table/MemberTable.h"
#include "transport/MembershipService.h"
#include "transport/UdpEndpoint.h"
