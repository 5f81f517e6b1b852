#pragma once

/**
    Foundation of all other modules: errors and results, identifiers, time, settings, state charts, logs, invariants
    and the HTTP listener.

    Depends on no other module. System libraries: nlohmann_json, valijson, Boost.Log, cpp-httplib, OpenSSL, xxHash.
*/

#include "encoding/Cbor.h"
#include "encoding/Digest.h"
#include "encoding/PercentEncoding.h"
#include "errors/Error.h"
#include "errors/ErrorKind.h"
#include "errors/Invariant.h"
#include "errors/Result.h"
#include "http/BoundedTaskQueue.h"
#include "http/HttpListener.h"
#include "identity/ChatKey.h"
#include "identity/Hash.h"
#include "identity/Identifier.h"
#include "logging/Log.h"
#include "logging/LogBudget.h"
#include "settings/SettingsDocument.h"
#include "state/StateChart.h"
#include "time/BootClock.h"
#include "time/Clock.h"
#include "time/ManualClock.h"
#include "time/SignalArrival.h"
#include "time/SystemClock.h"
