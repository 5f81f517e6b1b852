#include "PrefixIndex.h"

#include <algorithm>

namespace borageslip {

void PrefixIndex::apply(EngineHash engine, const CacheEvent& event)
{
    auto [found, isNew] = m_engines.try_emplace(engine);
    auto& state = found->second;
    if (isNew)
        state.incarnation = ++m_lastIncarnation;
    else if (event.sequence <= state.lastSequence)
        return;
    else if (event.sequence != state.lastSequence + 1)
        ++state.gaps;
    state.lastSequence = event.sequence;

    if (event.kind == CacheEvent::Kind::Cleared) {
        state.incarnation = ++m_lastIncarnation;
        return;
    }
    const auto isSame = [engine](const Location& location) { return location.incarnation != 0 && location.engine == engine; };
    if (event.kind == CacheEvent::Kind::Evicted) {
        if (auto* locations = m_prefixes.find(event.prefix)) {
            std::replace_if(locations->begin(), locations->end(), isSame, Location {});
            if (std::all_of(locations->begin(), locations->end(), [](const Location& location) { return location.incarnation == 0; }))
                m_prefixes.erase(event.prefix);
        }
        return;
    }
    auto& locations = m_prefixes.findOrInsert(event.prefix);
    // Locations are ordered from newest to oldest, so the oldest one is overwritten when the array is full.
    auto place = std::find_if(locations.begin(), locations.end(), isSame);
    if (place == locations.end())
        place = std::prev(locations.end());
    std::rotate(locations.begin(), place, std::next(place));
    locations.front() = { engine, state.incarnation, state.gaps };
}

std::vector<PrefixLocation> PrefixIndex::find(uint64_t prefix)
{
    std::vector<PrefixLocation> found;
    const auto* locations = m_prefixes.find(prefix);
    if (!locations)
        return found;
    for (const auto& location : *locations) {
        const auto engine = m_engines.find(location.engine);
        if (location.incarnation == 0 || engine == m_engines.end() || engine->second.incarnation != location.incarnation)
            continue;
        found.push_back({ location.engine, engine->second.gaps == location.gaps });
    }
    std::stable_partition(found.begin(), found.end(), [](const PrefixLocation& location) { return location.isCertain; });
    return found;
}

}
