#pragma once

/**
    Open-loop load: mixes, seeded arrival plans, a streaming client that checks every answer, results and comparison.

    Depends on borageslip_core and borageslip_history. Used by borageslip-load only, never by the daemon.
*/

#include "ArrivalPlan.h"
#include "ChatResponseReader.h"
#include "DirectoryClient.h"
#include "HistoryWriter.h"
#include "LoadMix.h"
#include "LoadResults.h"
#include "LoadRunner.h"
