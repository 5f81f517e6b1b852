#pragma once

/**
    Simulates a small fleet without a network to compare placement policies over many seeds. Load patterns come from
    files, engines are modelled with continuous batching, and instances queue and place requests with the production
    policies.

    Depends on borageslip_core and borageslip_traffic. System libraries: nlohmann_json.
*/

#include "model/EngineModel.h"
#include "model/InstanceModel.h"
#include "model/PlacementStrategy.h"
#include "pattern/LoadPattern.h"
#include "run/ExperimentOutcome.h"
#include "run/ExperimentTable.h"
#include "run/PolicyExperiment.h"
