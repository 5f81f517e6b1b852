#include "ConfigurationHolder.h"

namespace borageslip {

std::shared_ptr<const AppliedConfiguration> ConfigurationHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

uint64_t ConfigurationHolder::revision() const
{
    const auto applied = current();
    return applied ? applied->revision : 0;
}

Result<ApplyOutcome> ConfigurationHolder::apply(uint64_t revision, std::string_view document)
{
    // Held during parsing and notification, so that listeners see the revisions in order.
    const std::lock_guard applyLock(m_applyMutex);
    const auto before = current();
    if (before && revision < before->revision)
        return ApplyOutcome::Outdated;
    if (before && revision == before->revision) {
        if (document != before->configuration->text()) {
            const auto other = FleetConfiguration::parse(document);
            const bool isSame = !isOk(other) || value(other)->digest() == before->configuration->digest();
            BORAGESLIP_INVARIANT(isSame, "I7", "received two different configuration documents with the same revision");
        }
        return ApplyOutcome::AlreadyApplied;
    }
    auto configuration = FleetConfiguration::parse(document);
    if (!isOk(configuration))
        return error(configuration);
    auto applied = std::make_shared<const AppliedConfiguration>(AppliedConfiguration { revision, value(std::move(configuration)) });
    std::vector<Listener*> listeners;
    {
        const std::lock_guard lock(m_mutex);
        BORAGESLIP_INVARIANT(!m_current || m_current->revision < revision, "I7", "the revision of the configuration decreased");
        m_current = applied;
        listeners = m_listeners;
    }
    for (auto* listener : listeners)
        listener->configurationApplied(*applied);
    return ApplyOutcome::Applied;
}

void ConfigurationHolder::addListener(Listener& listener)
{
    const std::lock_guard lock(m_mutex);
    m_listeners.push_back(&listener);
}

void ConfigurationHolder::removeListener(Listener& listener)
{
    // Waits until a notification in progress has finished.
    const std::lock_guard applyLock(m_applyMutex);
    const std::lock_guard lock(m_mutex);
    std::erase(m_listeners, &listener);
}

}
