#pragma once

/**
    Checks recorded histories of load runs against the fleet's invariants, and generates the expected response text of stand-in engines.

    Used by the load tool, the checker and the stand-ins, not by the daemon. Depends on borageslip_core.
*/

#include "AnswerText.h"
#include "HistoryChecker.h"
