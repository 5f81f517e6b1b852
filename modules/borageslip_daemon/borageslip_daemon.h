#pragma once

/**
    Router daemon: the entry that callers connect to, and the home of engines, which decides on admission to them. The state
    of the home is owned by an actor.

    Depends on all other modules. System libraries: CAF, cpp-httplib, prometheus-cpp.
*/

#include "Daemon.h"
#include "entry/AccountLimits.h"
#include "entry/ChatRouter.h"
#include "entry/FleetView.h"
#include "front/CallContext.h"
#include "front/ChatHandler.h"
#include "front/ChatRequest.h"
#include "home/Admission.h"
#include "home/ChatCall.h"
#include "home/ChatFrames.h"
#include "home/EngineHome.h"
#include "home/HomeActor.h"
#include "home/HomeChatHandler.h"
#include "home/LoadGossip.h"
#include "metrics/Metrics.h"
#include "monitor/EngineMonitor.h"
#include "operators/OperatorHandler.h"
#include "settings/DaemonSettings.h"
