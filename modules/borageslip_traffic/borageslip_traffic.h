#pragma once

/**
    The traffic path, which runs on one event loop: connections of callers, the request engine, backend servers and the
    exchange of load reports between instances.

    Depends on borageslip_core, borageslip_request (the attempt state chart) and borageslip_routing (fair queue, server
    health, bounded tables). System libraries: Boost.Asio, Boost.Beast, nlohmann_json, prometheus-cpp (core).
*/

#include "caller/CallerListener.h"
#include "caller/CallerSession.h"
#include "configuration/Route.h"
#include "configuration/TrafficConfiguration.h"
#include "engine/Exchange.h"
#include "engine/ExchangeRecord.h"
#include "engine/ResponseSink.h"
#include "engine/ResponseSource.h"
#include "engine/SseEventBuffer.h"
#include "engine/TrafficEngine.h"
#include "http/HttpMessages.h"
#include "limits/FleetRetryBudget.h"
#include "limits/PriorityReserve.h"
#include "limits/RequestQueue.h"
#include "limits/ReservationWaitList.h"
#include "limits/RetryAfter.h"
#include "limits/ServiceQueue.h"
#include "limits/WaitQueue.h"
#include "metrics/DurationHistogram.h"
#include "metrics/TrafficCounts.h"
#include "metrics/TrafficMetrics.h"
#include "net/AutoResetEvent.h"
#include "net/ConnectionPool.h"
#include "net/ServerConnection.h"
#include "net/SocketOptions.h"
#include "peers/CoordinationHost.h"
#include "peers/Member.h"
#include "peers/PeerLink.h"
#include "peers/PeerReport.h"
#include "peers/PeerReportTable.h"
#include "peers/ReservationCoordinator.h"
#include "peers/ReservationMessages.h"
#include "peers/ServiceCoordination.h"
#include "peers/ServiceMessages.h"
#include "peers/StoreReaders.h"
#include "placement/RecentPrefixes.h"
#include "placement/ReservationBroker.h"
#include "placement/ServerChoice.h"
#include "placement/SlotTicket.h"
#include "protocol/CallerProtocol.h"
#include "servers/BackendServer.h"
#include "servers/ServerHealth.h"
#include "servers/ServerTable.h"
