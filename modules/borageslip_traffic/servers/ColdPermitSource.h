#pragma once

#include <borageslip_scheduling/cold/ColdPermit.h>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** Obtains permits for requests to cold servers. Not thread-safe. @see ColdPermits */
class ColdPermitSource {
public:
    virtual ~ColdPermitSource() = default;

    /** Obtains a permit for one request to one of the servers.
        @param servers hashes, in order of preference.
        @return nothing if there is none at present. */
    virtual boost::asio::awaitable<std::optional<ColdPermit>> requestPermit(std::string service, std::vector<uint64_t> servers) = 0;

    /** Whether a request for a permit may succeed now. */
    virtual bool mayHavePermits(std::string_view service) const = 0;

    /** Tells the other instances that a server is cold. @param left zero if it is not reachable, so that the time is not known. */
    virtual void announceCold(uint64_t server, std::chrono::milliseconds left) = 0;
};

}
