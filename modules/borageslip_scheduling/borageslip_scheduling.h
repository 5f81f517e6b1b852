#pragma once

/**
    Decisions on requests under load: the choice of a backend server, rate limits, queues, retry budgets, server health and
    planned stops.

    State and time are passed in and a typed decision is returned. The module has no socket, no event loop, no JSON and no
    name of the platform; scripts/lint rejects their headers here.

    Depends on borageslip_core and borageslip_routing (fair queue, server health, bounded tables).
*/

#include "cold/ColdPermit.h"
#include "cold/ColdShareKeeper.h"
#include "cold/ColdShareRate.h"
#include "cold/ColdShareRights.h"
#include "cold/ColdState.h"
#include "limits/FleetRetryBudget.h"
#include "limits/MemoryBudget.h"
#include "limits/PriorityReserve.h"
#include "limits/RequestPriority.h"
#include "limits/RequestQueue.h"
#include "limits/RequestRate.h"
#include "limits/RetryAfter.h"
#include "limits/ServiceQueue.h"
#include "limits/ServiceState.h"
#include "placement/MemoryUsage.h"
#include "placement/PrefixFlights.h"
#include "placement/RecentPrefixes.h"
#include "placement/ReservationCoordinator.h"
#include "placement/ServerChoice.h"
#include "placement/ServerMemory.h"
#include "placement/ServerSlowness.h"
#include "placement/ServerUsage.h"
#include "servers/Evacuations.h"
#include "servers/SendAllowance.h"
#include "servers/ServerHealth.h"
#include "stop/StopSchedule.h"
#include "store/StoreEraOrder.h"
#include "store/StoreOutage.h"
