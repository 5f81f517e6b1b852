#pragma once

/**
    The traffic path, which runs on one event loop: connections of callers, the request engine, backend servers and the
    exchange of load reports between instances.

    Depends on borageslip_core, borageslip_request (the attempt state chart), borageslip_routing (bounded tables) and
    borageslip_scheduling (decisions on requests). System libraries: Boost.Asio, Boost.Beast, nlohmann_json, prometheus-cpp (core).
*/

#include "caller/CallerListener.h"
#include "caller/CallerSession.h"
#include "configuration/ConfigurationRefresh.h"
#include "configuration/Route.h"
#include "configuration/TrafficConfiguration.h"
#include "engine/Exchange.h"
#include "engine/ExchangeRecord.h"
#include "engine/OpenRequest.h"
#include "engine/RequestWrite.h"
#include "engine/ResponseSink.h"
#include "engine/ResponseSource.h"
#include "engine/SseEventBuffer.h"
#include "engine/TrafficEngine.h"
#include "http/HttpMessages.h"
#include "limits/ReservationWaitList.h"
#include "limits/WaitQueue.h"
#include "metrics/DurationHistogram.h"
#include "metrics/TrafficCounts.h"
#include "metrics/TrafficMetrics.h"
#include "net/AutoResetEvent.h"
#include "net/ConnectionPool.h"
#include "net/SendProgress.h"
#include "net/ServerConnection.h"
#include "net/SocketOptions.h"
#include "net/SpawnTask.h"
#include "peers/CoordinationHost.h"
#include "peers/Member.h"
#include "peers/PeerLink.h"
#include "peers/PeerReport.h"
#include "peers/PeerReportTable.h"
#include "peers/QuarantineMessages.h"
#include "peers/ReservationMessages.h"
#include "peers/ServiceCoordination.h"
#include "peers/ServiceMessages.h"
#include "peers/StoreReaders.h"
#include "placement/ReservationBroker.h"
#include "placement/SlotTicket.h"
#include "protocol/CallerProtocol.h"
#include "quarantine/CrashDetector.h"
#include "quarantine/PromptFingerprint.h"
#include "quarantine/PromptHealthListener.h"
#include "quarantine/PromptQuarantine.h"
#include "servers/BackendServer.h"
#include "servers/ServerTable.h"
