#pragma once

/**
    The fleet configuration: parsing and validation, distribution to the daemons, plans that change it, and the orders
    that bring the engines into line with it.

    Depends on borageslip_platform. System libraries: nlohmann_json, OpenSSL.
*/

#include "distribution/ConfigurationDifferences.h"
#include "distribution/ConfigurationHolder.h"
#include "distribution/ConfigurationWatcher.h"
#include "document/EmbeddedSchemas.h"
#include "document/FleetConfiguration.h"
#include "operators/FleetStatus.h"
#include "orders/EngineOrder.h"
#include "orders/EngineReconciler.h"
#include "orders/OrderLease.h"
#include "plan/ConfigurationHistory.h"
#include "plan/DocumentDifference.h"
#include "plan/Intent.h"
#include "plan/Plan.h"
#include "plan/PlanConfirmation.h"
