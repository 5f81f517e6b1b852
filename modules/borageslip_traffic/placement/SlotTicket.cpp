#include "SlotTicket.h"

#include "../peers/ServiceCoordination.h"

namespace borageslip {

SlotTicket::~SlotTicket()
{
    if (const auto owner = m_owner.lock())
        (*owner)->removeTicket(*this);
}

void SlotTicket::useWithoutGrant(uint64_t server)
{
    m_server = server;
    if (const auto owner = m_owner.lock())
        (*owner)->sendSoon(m_demand.service);
}

}
