#pragma once

#include "../store/ConsulConnection.h"

#include <map>
#include <string>
#include <vector>

namespace borageslip {

/** An instance as the platform lists it. */
struct Instance {
    enum class State {
        Live,
        Leaving,
    };

    std::string id;
    std::string address; ///< "ip:port".
    State state = State::Live;
    std::map<std::string, std::string> meta;
};

/** The platform's lagging list of instances. Thread-safe. Use it as a seed, not as the truth. */
class InstanceList {
public:
    InstanceList(ConsulConnection::Settings, CallBudget&);

    /** Returns the instances of a service, without those that fail a check. Errors: StoreUnavailable. */
    Result<std::vector<Instance>> fetch(std::string_view service) const;

private:
    ConsulConnection m_connection;
};

}
