#pragma once

/**
    Routing policies without I/O: placement of chats on engines, admission and rate limits, retries, and engine health.
    The classes start no threads and are not thread-safe; callers pass in the current time.

    Depends on borageslip_core.
*/

#include "collections/LruTable.h"
#include "health/EngineEjector.h"
#include "health/LatencyTracker.h"
#include "limits/AccountLimiter.h"
#include "limits/AccountShareCalculator.h"
#include "limits/EngineAdmission.h"
#include "limits/FairQueue.h"
#include "limits/LoadBound.h"
#include "limits/WorkClassifier.h"
#include "placement/BaselinePlacements.h"
#include "placement/DisplacedChatTable.h"
#include "placement/EngineView.h"
#include "placement/HomeAssignment.h"
#include "placement/HotChatSpreader.h"
#include "placement/PlacementPolicy.h"
#include "placement/PrefixIndex.h"
#include "placement/RendezvousPlacement.h"
#include "placement/RendezvousRanking.h"
#include "retry/RetryBudget.h"
