#pragma once

#include "../document/FleetConfiguration.h"

#include <memory>
#include <mutex>
#include <vector>

namespace borageslip {

/** A configuration with the revision under which the store holds it. */
struct AppliedConfiguration {
    uint64_t revision = 0;
    FleetConfiguration::Pointer configuration;
};

enum class ApplyOutcome {
    Applied,
    AlreadyApplied,
    Outdated, ///< A higher revision is in force; the document was ignored.
};

/** The configuration in force in this process. Its revision never goes lower (invariant I7). Thread-safe. */
class ConfigurationHolder {
public:
    /** Called after a change, in the order of revisions. Must not call apply(). */
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void configurationApplied(const AppliedConfiguration&) = 0;
    };

    ConfigurationHolder() = default;
    ConfigurationHolder(const ConfigurationHolder&) = delete;
    ConfigurationHolder& operator=(const ConfigurationHolder&) = delete;

    /** Returns the configuration in force, or nothing before the first one. Costs one short lock. */
    std::shared_ptr<const AppliedConfiguration> current() const;

    /** Revision in force; 0 before the first configuration. */
    uint64_t revision() const;

    /** Puts a document in force unless its revision is not higher.
        Errors: InvalidSettings; the configuration in force is kept. */
    Result<ApplyOutcome> apply(uint64_t revision, std::string_view document);

    /** @param listener must outlive the holder or be removed. */
    void addListener(Listener& listener);
    void removeListener(Listener& listener);

private:
    mutable std::mutex m_mutex;
    std::mutex m_applyMutex;
    std::shared_ptr<const AppliedConfiguration> m_current;
    std::vector<Listener*> m_listeners;
};

}
