#pragma once

#include "../document/FleetConfiguration.h"

#include <memory>
#include <mutex>
#include <vector>

namespace borageslip {

/** A configuration and its revision in the store. */
struct AppliedConfiguration {
    uint64_t revision = 0;
    FleetConfiguration::Pointer configuration;
};

enum class ApplyOutcome {
    Applied,
    AlreadyApplied,
    Outdated, ///< A higher revision is active; the document was ignored.
};

/** Holds the active configuration of this process. Its revision never decreases (invariant I7). Thread-safe. */
class ConfigurationHolder {
public:
    /** Notified after each change, in the order of revisions. Must not call apply(). */
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void configurationApplied(const AppliedConfiguration&) = 0;
    };

    ConfigurationHolder() = default;
    ConfigurationHolder(const ConfigurationHolder&) = delete;
    ConfigurationHolder& operator=(const ConfigurationHolder&) = delete;

    /** Returns the active configuration, or null before the first one is applied. Holds a lock only briefly. */
    std::shared_ptr<const AppliedConfiguration> current() const;

    /** Returns the active revision; 0 before the first configuration is applied. */
    uint64_t revision() const;

    /** Makes a document the active configuration if its revision is higher than the active one.
        Errors: InvalidSettings; the active configuration is kept. */
    Result<ApplyOutcome> apply(uint64_t revision, std::string_view document);

    /** @param listener must outlive the holder or be removed before it is destroyed. */
    void addListener(Listener& listener);
    void removeListener(Listener& listener);

private:
    mutable std::mutex m_mutex;
    std::mutex m_applyMutex;
    std::shared_ptr<const AppliedConfiguration> m_current;
    std::vector<Listener*> m_listeners;
};

}
