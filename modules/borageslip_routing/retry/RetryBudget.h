#pragma once

#include <algorithm>

namespace borageslip {

/** Limits retries to a fraction of the requests, so that they cannot amplify an overload. Not thread-safe. */
class RetryBudget {
public:
    /** @param fraction retries allowed per request.
        @param reserve largest number of unused retries that can accumulate; also the initial balance. */
    explicit RetryBudget(double fraction = 0.1, double reserve = 10)
        : m_fraction(fraction)
        , m_reserve(reserve)
        , m_balance(reserve)
    {
    }

    void recordRequest() { m_balance = std::min(m_balance + m_fraction, m_reserve); }

    /** Takes one retry from the budget; returns false if none is left. */
    bool tryRetry()
    {
        // The margin absorbs the rounding error of adding the fraction repeatedly.
        if (m_balance < 1 - 1e-9)
            return false;
        m_balance -= 1;
        return true;
    }

private:
    double m_fraction;
    double m_reserve;
    double m_balance;
};

}
