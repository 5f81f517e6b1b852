#pragma once

#include "../entry/RouteListener.h"
#include "Admission.h"

#include <borageslip_inner/borageslip_inner.h>

namespace borageslip {

/** Chat request that the entry sends to an engine's home. */
struct ChatCall {
    AdmissionQuery query;
    std::string body; ///< JSON as received from the caller.
    uint64_t resumeOffset = 0; ///< Number of tokens of this run that the caller has already received.
    RouteListener* listener = nullptr; ///< Set at the entry only; must outlive the routed chat.

    /** Encodes the call as an inner request. The deadline is sent as the remaining time, so that clocks need not agree. */
    InnerRequest toInnerRequest(TimePoint now) const;

    /** Errors: InvalidMessage. */
    static Result<ChatCall> fromInnerRequest(InnerRequest, TimePoint now);
};

/** Notice to the home of a chat's first choice that another engine served the chat. With it, the home can direct later
    requests of the chat from any entry to the engine that holds its prefix. */
struct ChatPlacedNotice {
    ChatKey chat;
    EngineHash servedAt = 0;

    InnerRequest toInnerRequest() const;

    /** Errors: InvalidMessage. */
    static Result<ChatPlacedNotice> fromInnerRequest(const InnerRequest&);
};

}
