#include "StoreEraOrder.h"

#include <borageslip_core/identity/Hash.h>

namespace borageslip {

namespace {

    using std::chrono::milliseconds;

    // The watch of a source may be held for half a second, and its next one begins after the interval between watches; reading
    // all keys follows.
    constexpr Duration maxSourceLag = milliseconds(2000);

    constexpr Duration recordSpread = milliseconds(2000); ///< Within which all instances write their records again.

}

SourceUse decideSourceUse(const StoreEraKnowledge& knowledge, uint64_t sourceEra, TimePoint now)
{
    if (sourceEra < knowledge.newestEra)
        return now - knowledge.changedAt < maxSourceLag ? SourceUse::AwaitSource : SourceUse::UseOther;
    return sourceEra > knowledge.dataEra ? SourceUse::ReadAll : SourceUse::Apply;
}

Duration recordDelay(std::string_view instance, uint64_t era)
{
    return Duration(static_cast<Duration::rep>(hashBytes(instance, era) % static_cast<uint64_t>(recordSpread.count())));
}

bool isOlderEntry(const EntryVersion& restored, const EntryVersion& known)
{
    const auto count = [](const EntryVersion& version) { return std::tuple(version.startedAtMs, version.sequence, version.isDraining); };
    return count(restored) < count(known);
}

}
