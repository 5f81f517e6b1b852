#pragma once

/**
    Policies of the traffic path compared over many seeds without a network: load patterns from files, a model of
    engines that batch, and instances that queue and place requests with the policies of the product.

    Depends on borageslip_core and borageslip_traffic. System libraries: nlohmann_json.
*/

#include "model/EngineModel.h"
#include "model/InstanceModel.h"
#include "model/PlacementStrategy.h"
#include "pattern/LoadPattern.h"
#include "run/ExperimentOutcome.h"
#include "run/ExperimentTable.h"
#include "run/PolicyExperiment.h"
