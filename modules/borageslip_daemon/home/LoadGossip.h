#pragma once

#include <borageslip_inner/borageslip_inner.h>
#include <borageslip_membership/borageslip_membership.h>
#include <memory>
#include <string>
#include <string_view>

namespace borageslip {

/** Carries this daemon's load sums on inner chat requests and their answers, so that the mean load that bound I1 needs
    is as fresh as the traffic. UDP gossip alone delivers the sums with a mean age of seconds to minutes.

    The bytes are taken from the control budget as bulk gossip; without room, nothing is attached. Thread-safe.
    @see GossipTable, LoadBound */
class LoadGossip {
public:
    static constexpr std::string_view headerName = "x-loads";

    /** @param membership may be null until the daemon has joined; must outlive its use here. */
    LoadGossip(const std::unique_ptr<MembershipService>& membership, ControlBudget&, const Clock&);

    /** Adds this daemon's sums to the headers, if the budget allows. */
    void attachTo(InnerHeaders&) const;

    /** Takes a peer's sums from the headers, if they carry any; malformed ones are ignored. */
    void receiveFrom(const InnerHeaders&) const;

private:
    const std::unique_ptr<MembershipService>& m_membership;
    ControlBudget& m_budget;
    const Clock& m_clock;
};

/** Attaches the load sums to the headers of an answer. */
class LoadAttachingResponder final : public InnerResponder {
public:
    LoadAttachingResponder(InnerResponder& responder, const LoadGossip& gossip)
        : m_responder(responder)
        , m_gossip(gossip)
    {
    }

    void start(int status, InnerHeaders headers) override
    {
        m_gossip.attachTo(headers);
        m_responder.start(status, std::move(headers));
    }
    bool write(std::string_view bytes) override { return m_responder.write(bytes); }
    void finish() override { m_responder.finish(); }
    void abort() override { m_responder.abort(); }
    bool isCancelled() const override { return m_responder.isCancelled(); }
    bool isConnectionLost() const override { return m_responder.isConnectionLost(); }
    void onCancelled(std::function<void()> handler) override { m_responder.onCancelled(std::move(handler)); }

private:
    InnerResponder& m_responder;
    const LoadGossip& m_gossip;
};

/** Writes a board entry as a header value: member, payload in base64 and version. */
std::string encodeLoadHeader(const GossipEntry&);

/** Errors: InvalidMessage. */
Result<GossipEntry> decodeLoadHeader(std::string_view text);

}
