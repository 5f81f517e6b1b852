#pragma once

#include <borageslip_scheduling/limits/ServiceQueue.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** What a ServiceCoordination needs of its instance: the other instances, a way to send to them, and the backend
    servers.
    @see PeerLink */
class CoordinationHost {
public:
    virtual ~CoordinationHost() = default;

    /** The instance that coordinates the service according to the instances known and reachable here; nothing when there
        is none. */
    virtual std::optional<std::string> serviceCoordinator(std::string_view service) const = 0;

    /** Whether the instance is known and not considered unreachable. */
    virtual bool isUsable(std::string_view instance) const = 0;

    /** Records that the instance did not reply to several messages; it is not a coordinator until it is heard again. */
    virtual void recordSilence(std::string_view instance) = 0;

    virtual void sendTo(std::string_view instance, std::span<const uint8_t>) = 0;
    virtual void sendToAll(std::span<const uint8_t>) = 0;

    /** Hash of the name of the instance's failure domain; 0 when unknown. */
    virtual uint64_t failureDomainOf(std::string_view instance) const = 0;

    /** The service's backend servers in service. */
    virtual std::vector<QueuedServer> serversOf(std::string_view service) const = 0;

    /** Records that a request was granted a slot of the server, which counts as a probe if one is due. */
    virtual void recordGrant(uint64_t server) = 0;

    /** Hashes of the service's servers that this instance has ejected after failures. */
    virtual std::vector<uint64_t> ejectedServersOf(std::string_view service) const = 0;

    /** Asks for a call of ServiceCoordination::poll() soon, and for further ones when they are due. */
    virtual void schedulePoll() = 0;
};

}
