#pragma once

/** Reports for operators of a fleet.

    The service-level report lists objectives, error budgets, burn rates and the causes of missed objectives. The request
    timeline lists the log lines of all instances that concern one request.
    Depends on borageslip_core and borageslip_platform (HTTP client). */

#include "explain/RequestTimeline.h"
#include "output/ReportPage.h"
#include "output/ReportText.h"
#include "reading/InstanceScrape.h"
#include "reading/MergedHistogram.h"
#include "reading/ObjectiveReport.h"
