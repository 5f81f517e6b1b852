#include "ServiceMessages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace borageslip {

namespace {

    using nlohmann::json;
    using std::chrono::milliseconds;

    constexpr milliseconds maxTime = std::chrono::hours(1); ///< Longer times in a message are invalid.

    Error malformed()
    {
        return { ErrorKind::InvalidMessage, "malformed message about slots of a service" };
    }

    bool isHashList(const json& field)
    {
        return field.is_array() && std::all_of(field.begin(), field.end(), [](const json& hash) { return hash.is_number_unsigned(); });
    }

    std::vector<uint64_t> hashesFrom(const json& field)
    {
        return { field.begin(), field.end() };
    }

    uint64_t count(milliseconds time)
    {
        return static_cast<uint64_t>(std::clamp(time, milliseconds(0), maxTime).count());
    }

    bool isSlotRequest(const json& row)
    {
        return row.is_array() && row.size() == 7 && row[0].is_number_unsigned() && isPriorityField(row[1]) && isPriorityField(row[2]) && row[3].is_number_unsigned() && isTimeField(row[4]) && isTimeField(row[5]) && isHashList(row[6]);
    }

    bool isHeldSlot(const json& row)
    {
        return row.is_array() && row.size() == 2 && row[0].is_number_unsigned() && row[1].is_number_unsigned();
    }

    bool isDecision(const json& row)
    {
        return row.is_array() && row.size() == 4 && row[0].is_number_unsigned() && row[1].is_boolean() && row[2].is_number_unsigned() && isTimeField(row[3]);
    }

    bool areAll(const json& rows, bool (*isValid)(const json&))
    {
        return rows.is_array() && rows.size() <= maxReportedRequests && std::all_of(rows.begin(), rows.end(), isValid);
    }

}

bool isTimeField(const json& field)
{
    return field.is_number_unsigned() && field.get<uint64_t>() <= static_cast<uint64_t>(maxTime.count());
}

bool isPriorityField(const json& field)
{
    constexpr int64_t limit = 1'000'000;
    return field.is_number_integer() && field.get<int64_t>() >= -limit && field.get<int64_t>() <= limit;
}

std::vector<uint8_t> encodeServiceState(const ServiceState& state)
{
    auto waiting = json::array();
    for (const auto& request : state.waiting)
        waiting.push_back({ request.number, request.priority.account, request.priority.route, request.account, count(request.onTimeWithin), count(request.startWithin), request.excluded });
    auto held = json::array();
    for (const auto& slot : state.held)
        held.push_back(json::array({ slot.number, slot.server }));
    return json::to_cbor(json::array({ serviceStateKind, state.sender, state.incarnation, state.sequence, state.service, state.expectsReply, std::move(waiting), std::move(held), state.ejected }));
}

Result<ServiceState> serviceStateFrom(const json& document)
{
    const bool isValid = document.size() == 9 && document[1].is_string() && document[2].is_number_unsigned() && document[3].is_number_unsigned() && document[4].is_string() && document[5].is_boolean() && areAll(document[6], isSlotRequest) && areAll(document[7], isHeldSlot) && isHashList(document[8]);
    if (!isValid)
        return malformed();
    ServiceState state { document[1], document[2], document[3], document[4], document[5], {}, {}, hashesFrom(document[8]) };
    for (const auto& row : document[6])
        state.waiting.push_back({ row[0], { row[1], row[2] }, row[3], milliseconds(row[4].get<int64_t>()), milliseconds(row[5].get<int64_t>()), hashesFrom(row[6]) });
    for (const auto& row : document[7])
        state.held.push_back({ row[0], row[1] });
    return state;
}

std::vector<uint8_t> encodeServiceDecisions(const ServiceDecisions& reply)
{
    auto decisions = json::array();
    for (const auto& decision : reply.decisions)
        decisions.push_back({ decision.number, decision.isGranted, decision.server, count(decision.retryAfter) });
    return json::to_cbor(json::array({ serviceDecisionsKind, reply.sender, reply.service, reply.acknowledged, reply.coordinator, std::move(decisions) }));
}

Result<ServiceDecisions> serviceDecisionsFrom(const json& document)
{
    const bool isValid = document.size() == 6 && document[1].is_string() && document[2].is_string() && document[3].is_number_unsigned() && document[4].is_string() && areAll(document[5], isDecision);
    if (!isValid)
        return malformed();
    ServiceDecisions reply { document[1], document[2], document[3], document[4] };
    for (const auto& row : document[5])
        reply.decisions.push_back({ row[0], row[1], row[2], milliseconds(row[3].get<int64_t>()) });
    return reply;
}

std::vector<uint8_t> encodeCoordinatorNotice(const CoordinatorNotice& notice)
{
    return json::to_cbor(json::array({ coordinatorNoticeKind, notice.sender, notice.service, notice.coordinator }));
}

Result<CoordinatorNotice> coordinatorNoticeFrom(const json& document)
{
    if (document.size() != 4 || !document[1].is_string() || !document[2].is_string() || !document[3].is_string())
        return malformed();
    return CoordinatorNotice { document[1], document[2], document[3] };
}

}
