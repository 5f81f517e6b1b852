#pragma once

#include "../engine/TrafficEngine.h"
#include "../net/AutoResetEvent.h"
#include "Member.h"
#include "PeerBoard.h"
#include "PlaceKeeper.h"
#include "StoreReaders.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <unordered_map>

namespace borageslip {

/** Exchanges reports with the other instances over UDP, keeps the engine's view of their load, and keeps the places of
    some servers for all instances.

    Each server has one keeper among the instances, which knows what all of them use there: an instance asks it before
    it sends a request, and tells it when the request has ended. So a server's places are counted in one place at the
    moment of the decision, however old the reports are. A request costs a fixed number of messages, whatever the size
    of the fleet.

    The interval between reports grows with the number of members, so that an instance sends and receives a fixed number
    of datagrams a second whatever the size of the fleet. Call it from the event loop that owns it. */
class PeerLink final : public PlaceBroker {
public:
    PeerLink(TrafficEngine&, std::string ownName);
    ~PeerLink() override;
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

    boost::asio::awaitable<PlaceOutcome> requestPlace(BackendServer&, PlaceTerms) override;
    void useChanged(const BackendServer&) override;

    /** From where this instance follows the store, the best first; nothing stands for the store itself.
        @param own capacity and failure domain of this instance. */
    std::vector<std::optional<boost::asio::ip::tcp::endpoint>> storeSources(const Member& own) const;

    size_t heardCount() const { return m_board.heardCount(m_engine.clock().now()); }
    Duration oldestReportAge() const { return m_board.oldestAge(m_engine.clock().now()); }
    size_t memberCount() const { return m_members.size(); }

private:
    struct ListedMember {
        Member member;
        TimePoint listedAt {};
        int unanswered = 0; ///< Requests for places in a row.
        TimePoint silentUntil {}; ///< It keeps no places meanwhile.
    };

    /** A request for a place whose answer is awaited. */
    struct PendingRequest {
        AutoResetEvent* signal = nullptr;
        std::optional<PlaceAnswer> answer {};
    };

    boost::asio::awaitable<void> receiveAll();
    boost::asio::awaitable<void> reportPeriodically();
    void sendReports();
    void applyUses();
    Duration interval() const;
    void receive(PeerMessage, const boost::asio::ip::udp::endpoint& sender);
    void receiveReport(PeerReport);
    void receivePlaceMessage(const PlaceMessage&, const boost::asio::ip::udp::endpoint& sender);
    void receivePlaceAnswer(const PlaceAnswer&);
    void updatePeersUse(uint64_t server);

    /** The member that keeps the server's places; null when it is this instance. */
    ListedMember* keeper(uint64_t server);
    void noteAnswered(ListedMember&, bool isAnswered);
    PlaceMessage placeMessage(const BackendServer&);
    void send(std::span<const uint8_t>, const boost::asio::ip::udp::endpoint&);

    TrafficEngine& m_engine;
    std::string m_ownName;
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    bool m_takesCallers = false;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    PeerBoard m_board;
    std::map<std::string, ListedMember, std::less<>> m_members;
    std::unordered_map<uint64_t, PendingRequest> m_pendingRequests; ///< By sequence.
};

}
