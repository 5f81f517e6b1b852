#include "MembershipService.h"

#include <borageslip_core/identity/Hash.h>

namespace borageslip {

Result<std::unique_ptr<MembershipService>> MembershipService::start(Settings settings, ControlBudget& budget, const Clock& clock, MemberTable::Listener* listener)
{
    auto opened = UdpEndpoint::open(settings.bindAddress.empty() ? settings.self.gossipAddress : settings.bindAddress);
    if (!isOk(opened))
        return error(opened);
    auto endpoint = value(std::move(opened));
    if (settings.self.gossipAddress.ends_with(":0")) {
        const auto bound = endpoint->address();
        settings.self.gossipAddress.replace(settings.self.gossipAddress.size() - 2, 2, bound.substr(bound.rfind(':')));
    }
    const auto period = settings.tickPeriod;
    std::unique_ptr<MembershipService> service(new MembershipService(std::move(settings), std::move(endpoint), budget, clock, listener));
    auto* running = service.get();
    running->m_endpoint->start(
        [running](std::span<const uint8_t> datagram, const std::string& from) {
            running->run([&](TimePoint now) { return running->m_table.receive(datagram, from, now); });
        },
        period, [running] { running->run([&](TimePoint now) { return running->m_table.tick(now); }); });
    return service;
}

MembershipService::MembershipService(Settings settings, std::unique_ptr<UdpEndpoint> endpoint, ControlBudget& budget, const Clock& clock, MemberTable::Listener* listener)
    : m_clock(clock)
    , m_listener(listener)
    , m_endpoint(std::move(endpoint))
    , m_table(settings.self, settings.table, SwimCodec(settings.signingKey, settings.acceptedKey), budget,
          hashBytes(settings.self.id.text(), settings.self.startIncarnation), clock.now())
{
    m_table.setSeeds(std::move(settings.seeds));
    m_table.setListener(&m_events);
}

MembershipService::~MembershipService()
{
    m_endpoint->stop();
}

std::shared_ptr<const std::vector<Member>> MembershipService::members()
{
    const std::lock_guard lock(m_mutex);
    if (!m_snapshot || m_snapshotRevision != m_table.revision()) {
        m_snapshot = std::make_shared<const std::vector<Member>>(m_table.members());
        m_snapshotRevision = m_table.revision();
    }
    return m_snapshot;
}

Member MembershipService::self()
{
    const std::lock_guard lock(m_mutex);
    return m_table.self();
}

void MembershipService::setSeeds(std::vector<std::string> gossipAddresses)
{
    const std::lock_guard lock(m_mutex);
    m_table.setSeeds(std::move(gossipAddresses));
}

void MembershipService::setPlaceable(bool isPlaceable)
{
    const std::lock_guard lock(m_mutex);
    m_table.setPlaceable(isPlaceable);
}

void MembershipService::leave()
{
    run([this](TimePoint now) { return m_table.leave(now); });
}

bool MembershipService::publish(GossipSlot slot, std::span<const uint8_t> payload)
{
    const std::lock_guard lock(m_mutex);
    return m_table.gossip().publish(slot, payload);
}

void MembershipService::publishConfiguration(ConfigurationRevision configuration)
{
    const std::lock_guard lock(m_mutex);
    m_table.gossip().publishConfiguration(configuration);
}

bool MembershipService::publishLoads(std::span<const ModelLoad> loads)
{
    const std::lock_guard lock(m_mutex);
    return m_table.gossip().publishLoads(loads);
}

std::vector<GossipEntry> MembershipService::valuesOf(GossipSlot slot)
{
    const std::lock_guard lock(m_mutex);
    return m_table.gossip().valuesOf(slot);
}

std::optional<GossipEntry> MembershipService::ownValue(GossipSlot slot)
{
    const std::lock_guard lock(m_mutex);
    return m_table.gossip().valueOf(m_table.self().id, slot);
}

void MembershipService::mergeValue(const GossipEntry& entry)
{
    const std::lock_guard lock(m_mutex);
    if (entry.member != m_table.self().id && m_table.member(entry.member))
        m_table.gossip().merge(entry);
}

std::optional<ConfigurationRevision> MembershipService::configurationOf(const MemberId& member)
{
    const std::lock_guard lock(m_mutex);
    return m_table.gossip().configurationOf(member);
}

std::optional<double> MembershipService::meanLoad(const ModelId& model, const std::optional<Region>& region)
{
    const std::lock_guard lock(m_mutex);
    return m_table.meanLoad(model, region);
}

uint64_t MembershipService::malformedDatagrams()
{
    const std::lock_guard lock(m_mutex);
    return m_table.malformedDatagrams();
}

void MembershipService::run(const std::function<std::vector<OutgoingDatagram>(TimePoint)>& step)
{
    std::vector<OutgoingDatagram> outgoing;
    std::vector<std::pair<EventQueue::Method, Member>> events;
    {
        const std::lock_guard lock(m_mutex);
        outgoing = step(m_clock.now());
        events = m_events.take();
    }
    for (auto& datagram : outgoing)
        m_endpoint->send(datagram.to, std::move(datagram.bytes));
    if (!m_listener)
        return;
    for (const auto& [method, member] : events)
        (m_listener->*method)(member);
}

}
