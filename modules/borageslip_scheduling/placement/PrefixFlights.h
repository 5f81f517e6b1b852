#pragma once

#include <borageslip_core/time/Clock.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace borageslip {

/** A prompt prefix at one backend server. */
struct PrefixAtServer {
    uint64_t server = 0; ///< Hash of the server's id.
    uint64_t prefix = 0; ///< Hash of the prefix.

    bool operator==(const PrefixAtServer&) const = default;
    bool operator<(const PrefixAtServer& other) const { return std::tie(server, prefix) < std::tie(other.server, other.prefix); }
};

/** How the prefill of a prompt prefix ended. */
enum class PrefillEnd {
    Finished, ///< The server has the prefix in its cache.
    Failed, ///< The request failed, was not run, was cut off or was cancelled.
};

/** Prompt prefixes that are being prefilled at backend servers, and the requests that wait for the end of a prefill.

    A server has a prefix in its cache only when its prefill has finished: a second request with it that is sent in the
    meantime prefills it again. The coordinator of a server therefore lets such a request wait until the response of the
    first one begins. When the first request fails, the one that has waited longest prefills the prefix instead. A wait
    takes at most as long as prefills at the server have taken, so that a lost message costs no more than the second
    prefill would have cost.

    Does no I/O and has no timers: time is passed in. Not thread-safe. */
class PrefixFlights {
public:
    /** A request that waits. */
    struct Waiter {
        uint64_t id = 0;
        uint64_t owner = 0; ///< Identifies the instance that will report the end of its prefill.
    };

    /** Whether the prefix is long enough for its prefill to be shared. */
    static bool isShared(uint64_t tokens) { return tokens >= minTokens; }

    /** Records that a request which prefills the prefix is about to be sent.
        @param owner identifies the instance that will report its end. */
    void begin(const PrefixAtServer&, uint64_t owner, uint64_t tokens, TimePoint now);

    /** Adds a request that waits for the end of the prefill.
        @return until when it waits at most; nothing when the prefix is not being prefilled, so that it does not wait. */
    std::optional<TimePoint> wait(const PrefixAtServer&, const Waiter&, TimePoint now);

    /** Records that the server has the prefix. Ignored when it is being prefilled for another owner.
        @return ids of the requests that waited, in order. */
    std::vector<uint64_t> finish(const PrefixAtServer&, uint64_t owner, TimePoint now);

    /** Outcome of a failed prefill. */
    struct Failure {
        bool isKnown = false; ///< Whether the prefix was being prefilled for this owner.
        std::optional<uint64_t> next {}; ///< The request that has to prefill the prefix instead, if any waits.
    };

    /** Records that the request that prefilled the prefix failed, was cut off or was cancelled. */
    Failure fail(const PrefixAtServer&, uint64_t owner, TimePoint now);

    /** Forgets everything about a server that crashed or was removed.
        @return ids of the requests that waited there. */
    std::vector<uint64_t> drop(uint64_t server);

    /** Ends the waits that have reached their limits, and forgets prefills whose ends were not reported. */
    std::vector<uint64_t> takeExpired(TimePoint now);

    /** Time of the next call of takeExpired(); nothing when no prefix is being prefilled. */
    std::optional<TimePoint> nextExpiry() const;

    /** Hashes of the servers at which requests wait. */
    std::vector<uint64_t> servers() const;
    size_t waitingCount() const;

    /** Expected time of a prefill at the server. */
    Duration expectedTime(uint64_t server, uint64_t tokens) const;

private:
    static constexpr uint64_t minTokens = 2000; ///< A shorter prefix is prefilled in little more time than the messages take.
    static constexpr double assumedTokensPerMs = 24; ///< Of a server at which no prefill was measured.
    static constexpr double minTokensPerMs = 12; ///< The same as the longest wait for a slot of the server that has the prefix.
    static constexpr double maxTokensPerMs = 100;

    struct WaitingRequest {
        Waiter waiter {};
        TimePoint until {};
    };
    struct Flight {
        uint64_t owner = 0;
        uint64_t tokens = 0;
        TimePoint begunAt {};
        std::deque<WaitingRequest> waiting {}; ///< Longest wait first.

        TimePoint endsAt() const;
    };

    std::vector<uint64_t> takeWaiting(std::map<PrefixAtServer, Flight>::iterator);
    void recordTime(uint64_t server, const Flight&, TimePoint now);

    std::map<PrefixAtServer, Flight> m_flights;
    std::map<uint64_t, double> m_msPerToken; ///< By server; follows longer times at once and shorter ones slowly.
};

}
