#pragma once

/**
    Open-loop load generator: load mixes, seeded arrival plans, a streaming client that verifies each response, and results and their comparison.

    Depends on borageslip_core and borageslip_history. Used by borageslip-load only, not by the daemon.
*/

#include "ArrivalPlan.h"
#include "ChatResponseReader.h"
#include "DirectoryClient.h"
#include "HistoryWriter.h"
#include "LoadMix.h"
#include "LoadResults.h"
#include "LoadRunner.h"
