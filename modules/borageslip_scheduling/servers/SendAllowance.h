#pragma once

#include "../limits/RequestRate.h"

#include <algorithm>
#include <optional>

namespace borageslip {

/** Requests a second that a backend server accepts from all instances together, as one of its responses says. */
struct RateLimitNotice {
    double perSecond = 0; ///< 0: the response named no limit.
    TimePoint observedAt {};
    bool isTold = false; ///< Whether another instance received the response.
};

/** What a backend server has said of the requests that it accepts: whether at all, from when on, and how many a second
    from all instances together.

    The newest notice of any instance counts. Does no I/O: time is passed in. Not thread-safe. */
class SendAllowance {
public:
    void setLeaving() { m_isLeaving = true; }
    bool isLeaving() const { return m_isLeaving; }

    /** Sets until when it wants no request of this instance, unless a later time is set. */
    void pauseUntil(TimePoint time) { m_pausedUntil = std::max(m_pausedUntil, time); }
    TimePoint pausedUntil() const { return m_pausedUntil; }
    bool isPaused(TimePoint now) const { return now < m_pausedUntil; }

    /** Records a notice of a response that this or another instance has received, unless a newer one is known.
        @return whether the limit has changed. */
    bool recordRateLimit(RateLimitNotice);

    /** Records that the response to a request named no limit; one that was named after the request had been sent holds.
        @return whether this has ended a limit. */
    bool recordNoRateLimit(TimePoint sentAt, TimePoint now);

    /** Requests a second from all instances; nothing when it has named no limit, or not for long. */
    std::optional<double> rateLimit(TimePoint now) const;
    const RateLimitNotice& rateLimitNotice() const { return m_limit; }

    /** Records the demand of one request while the server has a limit. @param prefixTokens of the part of its prompt that
        other requests share. */
    void recordDemand(uint64_t prefixTokens);

    /** Whether a request is within the limit. Requests with a shorter prefix than most need more of the limit to be unused,
        because they cost other servers less to serve. For the instance that coordinates the server.
        @param share of the limit that this instance may grant. */
    bool hasRate(RequestRate::Share share, uint64_t prefixTokens, TimePoint now);

    /** When the limit allows such a request, after a call of hasRate(). */
    TimePoint nextRequestAt(uint64_t prefixTokens, TimePoint now) const { return m_rate.nextTokenAt(now, requiredTokens(prefixTokens)); }

    /** Counts a granted request against the limit. */
    void takeRate(TimePoint now);

    /** Takes over what an earlier listing of the same incarnation has said. */
    void inherit(const SendAllowance&);

private:
    double requiredTokens(uint64_t prefixTokens) const;

    bool m_isLeaving = false;
    TimePoint m_pausedUntil {};
    RateLimitNotice m_limit;
    RequestRate m_rate;
    double m_meanPrefix = 0; ///< Moving average of the prefix tokens of requests.
};

}
