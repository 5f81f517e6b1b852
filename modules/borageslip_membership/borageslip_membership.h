#pragma once

/**
    Fleet membership: the SWIM protocol over UDP, values gossiped between members, the budget for control traffic and the
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
