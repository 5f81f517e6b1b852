#pragma once

/** Service-level report of a fleet: objectives, error budgets, burn rates and what burned them; and the story of one request
    from the logs of all instances.
    Depends on borageslip_core and borageslip_platform (HTTP client). */

#include "explain/RequestTimeline.h"
#include "output/ReportPage.h"
#include "output/ReportText.h"
#include "reading/InstanceScrape.h"
#include "reading/MergedHistogram.h"
#include "reading/ObjectiveReport.h"
