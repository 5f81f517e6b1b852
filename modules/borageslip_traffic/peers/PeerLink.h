#pragma once

#include "../engine/TrafficEngine.h"
#include "Member.h"
#include "PeerBoard.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace borageslip {

/** Exchanges reports with the other instances over UDP and keeps the engine's view of their load.

    The interval between reports grows with the number of members, so that an instance sends and receives a fixed number
    of datagrams a second whatever the size of the fleet. Call it from the event loop that owns it. */
class PeerLink {
public:
    PeerLink(TrafficEngine&, std::string ownName);
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /** Errors: InvalidSettings when the address cannot be used. */
    Status open(const boost::asio::ip::udp::endpoint&);

    void setMember(Member);
    void removeMember(std::string_view name);

    /** States whether callers may be sent to this instance; a change is reported at once. */
    void setTakesCallers(bool);

    /** Addresses for callers: this instance, if it takes callers, and all members that are heard and take them. When no
        member is heard, all listed ones. */
    std::vector<boost::asio::ip::tcp::endpoint> callerAddresses() const;

    size_t heardCount() const { return m_board.heardCount(m_engine.clock().now()); }
    Duration oldestReportAge() const { return m_board.oldestAge(m_engine.clock().now()); }
    size_t memberCount() const { return m_members.size(); }

private:
    struct ListedMember {
        Member member;
        TimePoint listedAt {};
    };

    boost::asio::awaitable<void> receiveAll();
    boost::asio::awaitable<void> reportPeriodically();
    void sendReports();
    void applyUses();
    Duration interval() const;

    TrafficEngine& m_engine;
    std::string m_ownName;
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    bool m_takesCallers = false;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    PeerBoard m_board;
    std::map<std::string, ListedMember, std::less<>> m_members;
};

}
