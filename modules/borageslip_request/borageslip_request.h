#pragma once

/**
    Sends requests to backend servers: attempts on engines and plain services, streamed responses, retries, and calls
    that must run at most once.

    Depends on borageslip_core and on the KeyValueStore interface of borageslip_platform. System libraries: cpp-httplib,
    nlohmann_json, OpenSSL.
*/

#include "attempt/AttemptChart.h"
#include "idempotency/AtMostOnceExecutor.h"
#include "idempotency/ClaimCoordinator.h"
#include "idempotency/OutcomeTable.h"
#include "idempotency/RecordedOutcome.h"
#include "idempotency/TicketIssuer.h"
#include "services/ServiceClient.h"
#include "stream/AnswerAssembler.h"
#include "stream/EngineClient.h"
#include "stream/SseParser.h"
#include "stream/StreamChunk.h"
