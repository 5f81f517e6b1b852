#pragma once

/**
    The platform's services: the key-value store with leases and watches, the instance list and a budget for our calls.

    Depends on borageslip_core. System libraries: cpp-httplib, nlohmann_json, OpenSSL.
*/

#include "calls/CallBudget.h"
#include "instances/InstanceList.h"
#include "store/ConsulConnection.h"
#include "store/ConsulStore.h"
#include "store/KeyValueStore.h"
#include "store/MemoryStore.h"
