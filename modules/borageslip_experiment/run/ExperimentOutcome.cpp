#include "ExperimentOutcome.h"

namespace borageslip {

ClassOutcome ExperimentOutcome::total() const
{
    ClassOutcome total;
    for (const auto& [name, outcome] : classes) {
        total.offered += outcome.offered;
        total.onTime += outcome.onTime;
        total.late += outcome.late;
        total.timedOut += outcome.timedOut;
        total.rejected += outcome.rejected;
        total.failed += outcome.failed;
        total.gaveUp += outcome.gaveUp;
        total.tokensDelivered += outcome.tokensDelivered;
    }
    return total;
}

}
