#include "GossipTable.h"

#include <algorithm>
#include <borageslip_core/identity/Hash.h>
#include <tuple>

namespace borageslip {

namespace {

    constexpr size_t loadBytes = 10;

    void appendNumber(std::vector<uint8_t>& out, uint64_t number, int bytes)
    {
        for (int i = 0; i < bytes; ++i)
            out.push_back(static_cast<uint8_t>(number >> (8 * i)));
    }

    uint64_t numberAt(std::span<const uint8_t> bytes)
    {
        uint64_t number = 0;
        for (size_t i = bytes.size(); i-- > 0;)
            number = number << 8 | bytes[i];
        return number;
    }

    // A model is identified by 32 bits of the hash of its name, because names would take up most of the payload.
    uint32_t modelCode(const ModelId& model) { return static_cast<uint32_t>(hashBytes(model.text())); }

    std::vector<uint8_t> payloadOf(ConfigurationRevision configuration)
    {
        std::vector<uint8_t> payload;
        appendNumber(payload, configuration.revision, 8);
        appendNumber(payload, configuration.digest, 8);
        return payload;
    }

    std::optional<ConfigurationRevision> revisionFrom(const GossipEntry& entry)
    {
        if (entry.payload.size() != 16)
            return std::nullopt;
        const std::span bytes(entry.payload);
        return ConfigurationRevision { numberAt(bytes.first(8)), numberAt(bytes.subspan(8)) };
    }

}

GossipTable::GossipTable(MemberId self, uint64_t firstVersion)
    : m_self(std::move(self))
    , m_nextVersion(std::max<uint64_t>(1, firstVersion))
{
}

bool GossipTable::publish(GossipSlot slot, std::span<const uint8_t> payload)
{
    if (payload.size() > maxPayload)
        return false;
    auto& held = m_entries[{ m_self, slot }];
    if (held.entry.version && std::ranges::equal(held.entry.payload, payload))
        return true;
    held = { { m_self, slot, m_nextVersion++, { payload.begin(), payload.end() } } };
    return true;
}

void GossipTable::publishConfiguration(ConfigurationRevision configuration)
{
    publish(GossipSlot::Configuration, payloadOf(configuration));
}

bool GossipTable::publishLoads(std::span<const ModelLoad> loads)
{
    std::vector<uint8_t> payload;
    for (const auto& load : loads) {
        appendNumber(payload, modelCode(load.model), 4);
        appendNumber(payload, load.running, 4);
        appendNumber(payload, std::min<uint32_t>(load.engines, UINT16_MAX), 2);
    }
    return publish(GossipSlot::Load, payload);
}

bool GossipTable::merge(const GossipEntry& entry)
{
    if (entry.payload.size() > maxPayload)
        return false;
    const Key key { entry.member, entry.slot };
    const auto found = m_entries.find(key);
    if (entry.member == m_self) {
        // An earlier process with this id published a newer version, so the current value is republished above it.
        if (found != m_entries.end() && entry.version > found->second.entry.version) {
            m_nextVersion = std::max(m_nextVersion, entry.version + 1);
            found->second.entry.version = m_nextVersion++;
            found->second.sendCount = 0;
        }
        return false;
    }
    if (found == m_entries.end() ? m_entries.size() >= maxEntries : found->second.entry.version >= entry.version)
        return false;
    m_entries.insert_or_assign(key, StoredEntry { entry });
    return true;
}

void GossipTable::removeMember(const MemberId& member)
{
    std::erase_if(m_entries, [&](const auto& item) { return item.first.member == member; });
}

std::vector<GossipEntry> GossipTable::valuesOf(GossipSlot slot) const
{
    std::vector<GossipEntry> values;
    for (const auto& [key, held] : m_entries) {
        if (key.slot == slot)
            values.push_back(held.entry);
    }
    return values;
}

std::optional<GossipEntry> GossipTable::valueOf(const MemberId& member, GossipSlot slot) const
{
    const auto found = m_entries.find({ member, slot });
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.entry);
}

uint64_t GossipTable::ownConfigurationVersion() const
{
    const auto found = m_entries.find({ m_self, GossipSlot::Configuration });
    return found == m_entries.end() ? 0 : found->second.entry.version;
}

bool GossipTable::mergeConfiguration(const MemberId& member, uint64_t version, ConfigurationRevision configuration)
{
    return merge({ member, GossipSlot::Configuration, version, payloadOf(configuration) });
}

std::optional<ConfigurationRevision> GossipTable::ownConfiguration() const
{
    return configurationOf(m_self);
}

std::optional<ConfigurationRevision> GossipTable::configurationOf(const MemberId& member) const
{
    const auto found = m_entries.find({ member, GossipSlot::Configuration });
    return found == m_entries.end() ? std::nullopt : revisionFrom(found->second.entry);
}

std::optional<double> GossipTable::meanLoad(const ModelId& model, const std::function<bool(const MemberId&)>& accepts) const
{
    const auto code = modelCode(model);
    uint64_t running = 0;
    uint64_t engines = 0;
    for (const auto& [key, held] : m_entries) {
        if (key.slot != GossipSlot::Load || !accepts(key.member))
            continue;
        const std::span bytes(held.entry.payload);
        for (size_t at = 0; at + loadBytes <= bytes.size(); at += loadBytes) {
            if (numberAt(bytes.subspan(at, 4)) != code)
                continue;
            running += numberAt(bytes.subspan(at + 4, 4));
            engines += numberAt(bytes.subspan(at + 8, 2));
        }
    }
    if (!engines)
        return std::nullopt;
    return static_cast<double>(running) / static_cast<double>(engines);
}

std::vector<GossipEntry> GossipTable::select(size_t maxBytes, int sendLimit, const std::function<size_t(const GossipEntry&)>& sizeOf)
{
    std::vector<StoredEntry*> candidates;
    for (auto& [key, held] : m_entries) {
        if (key.slot != GossipSlot::Configuration)
            candidates.push_back(&held);
    }
    const auto rank = [&](const StoredEntry* held) { return std::tuple(std::min(held->sendCount, sendLimit), held->lastSendNumber); };
    // An entry takes up at least 8 bytes, so no more than this many can fit.
    const auto most = std::min(candidates.size(), maxBytes / 8);
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(most), {}, rank);
    candidates.resize(most);
    std::vector<GossipEntry> chosen;
    size_t used = 0;
    for (auto* held : candidates) {
        const auto size = sizeOf(held->entry);
        if (used + size > maxBytes)
            break;
        used += size;
        ++held->sendCount;
        held->lastSendNumber = ++m_lastSendNumber;
        chosen.push_back(held->entry);
    }
    return chosen;
}

}
