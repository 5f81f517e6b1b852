#pragma once

#include <borageslip_inner/borageslip_inner.h>
#include <borageslip_membership/borageslip_membership.h>
#include <memory>
#include <string>
#include <string_view>

namespace borageslip {

/** Attaches this daemon's load sums to inner chat requests and their responses, so that the mean load for the load bound
    (invariant I1) is as recent as the traffic. With UDP gossip alone, the sums have a mean age of seconds to minutes.

    The bytes are charged to the control budget as bulk gossip; if the budget is used up, nothing is attached. Thread-safe.
    @see GossipTable, LoadBound */
class LoadGossip {
public:
    static constexpr std::string_view headerName = "x-loads";

    /** @param membership must outlive this object; the pointer is null until the daemon has joined. */
    LoadGossip(const std::unique_ptr<MembershipService>& membership, ControlBudget&, const Clock&);

    /** Adds this daemon's load sums to the headers if the budget allows. */
    void attachTo(InnerHeaders&) const;

    /** Applies the load sums of a peer if the headers contain any; malformed ones are ignored. */
    void receiveFrom(const InnerHeaders&) const;

private:
    const std::unique_ptr<MembershipService>& m_membership;
    ControlBudget& m_budget;
    const Clock& m_clock;
};

/** Attaches the load sums to the headers of a response. */
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

/** Encodes a gossip entry as a header value: member, payload in base64 and version, separated by spaces. */
std::string encodeLoadHeader(const GossipEntry&);

/** Errors: InvalidMessage. */
Result<GossipEntry> decodeLoadHeader(std::string_view text);

}
