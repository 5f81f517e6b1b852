#pragma once

#include "../engine/TrafficEngine.h"
#include "ColdPermitMessages.h"
#include <borageslip_scheduling/cold/ColdShareRights.h>

#include <boost/asio/ip/udp.hpp>
#include <random>

namespace borageslip {

/** Requests permits for cold servers from the holders of the quota shares, and issues them from the shares that this instance
    holds.

    A permit counts from when it was requested, so that a late reply is of no use. Not thread-safe: call it from the event
    loop that owns it. */
class ColdPermits final : public ColdPermitSource {
public:
    /** Sends datagrams to the other instances. */
    class Transport {
    public:
        virtual ~Transport() = default;
        virtual void sendDatagram(std::span<const uint8_t>, const boost::asio::ip::udp::endpoint&) = 0;
        virtual void sendDatagramToAll(std::span<const uint8_t>) = 0;
    };

    ColdPermits(TrafficEngine&, Transport&, std::string ownName);
    ~ColdPermits() override;
    ColdPermits(const ColdPermits&) = delete;
    ColdPermits& operator=(const ColdPermits&) = delete;

    /** The shares that this instance holds. */
    ColdShareRights& rights() { return m_rights; }
    const ColdShareRights& rights() const { return m_rights; }

    /** Sets which instance holds a share, according to the store. Wrong information costs time only. */
    void setHolder(const ColdShareId&, std::string name, const boost::asio::ip::udp::endpoint& address);
    void removeHolder(const ColdShareId&);

    boost::asio::awaitable<std::optional<ColdPermit>> requestPermit(std::string service, std::vector<uint64_t> servers) override;
    bool mayHavePermits(std::string_view service) const override;
    void announceCold(uint64_t server, std::chrono::milliseconds left) override;

    void receive(const ColdPermitRequest&, const boost::asio::ip::udp::endpoint& sender);
    void receive(const ColdPermitReply&, const boost::asio::ip::udp::endpoint& sender);
    void receive(const ColdServerNotice&, const boost::asio::ip::udp::endpoint& sender);

private:
    struct Holder {
        std::string name;
        boost::asio::ip::udp::endpoint address;
        TimePoint askAgainAt {};
    };
    /** Requests for permits of a service that were denied. */
    struct Denials {
        int consecutive = 0;
        TimePoint until {}; ///< Until then no permit is requested.
    };
    struct PendingRequest {
        AutoResetEvent* signal = nullptr;
        std::optional<ColdPermitReply> reply {};
    };

    std::optional<uint64_t> issue(std::string_view service, std::span<const uint64_t> servers);
    std::optional<ColdShareId> nextHolder(std::string_view service);
    boost::asio::awaitable<std::optional<ColdPermit>> askHolder(ColdShareId, std::vector<uint64_t> servers);
    Duration jitter(Duration longest);
    void recordDenial(const std::string& service);

    TrafficEngine& m_engine;
    Transport& m_transport;
    std::string m_ownName;
    ColdShareRights m_rights;
    std::map<ColdShareId, Holder> m_holders;
    std::map<std::string, Denials, std::less<>> m_denials; ///< By service.
    std::unordered_map<uint64_t, PendingRequest> m_pending; ///< By sequence.
    std::mt19937_64 m_random;
    uint64_t m_sequence;
};

}
