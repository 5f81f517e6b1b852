#include "ServiceHandler.h"

#include "../settings/DaemonSettings.h"

#include <algorithm>
#include <borageslip_core/encoding/Cbor.h>

namespace borageslip {

namespace {

    constexpr size_t successorCount = 2;
    constexpr size_t maxOutcomeBytes = 16 << 20;
    constexpr std::string_view pathPrefix = "/services/";

    ServiceId serviceFromPath(std::string_view path)
    {
        path.remove_prefix(pathPrefix.size());
        return ServiceId(path.substr(0, path.find('/')));
    }

    bool isSameHeaderName(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

    std::string encodeOutcome(const RecordedOutcome& outcome)
    {
        auto headers = nlohmann::json::array();
        for (const auto& [name, text] : outcome.headers)
            headers.push_back({ name, text });
        const nlohmann::json body = nlohmann::json::array({ outcome.status, headers, nlohmann::json::binary({ outcome.body.begin(), outcome.body.end() }) });
        const auto bytes = nlohmann::json::to_cbor(body);
        return { bytes.begin(), bytes.end() };
    }

    Result<RecordedOutcome> decodeOutcome(std::string_view bytes)
    {
        const Error malformed { ErrorKind::InvalidMessage, "malformed outcome from a peer" };
        const auto body = parseCbor(bytes);
        if (!body.is_array() || body.size() != 3 || !body[0].is_number_integer() || !body[1].is_array() || !body[2].is_binary())
            return malformed;
        RecordedOutcome outcome;
        outcome.status = body[0];
        for (const auto& header : body[1]) {
            if (!header.is_array() || header.size() != 2 || !header[0].is_string() || !header[1].is_string())
                return malformed;
            outcome.headers.emplace_back(header[0], header[1]);
        }
        const auto& content = body[2].get_binary();
        outcome.body.assign(content.begin(), content.end());
        return outcome;
    }

    using Headers = std::vector<std::pair<std::string, std::string>>;

    ServiceRequest toServiceRequest(const httplib::Request& request)
    {
        // httplib decodes the path, so the target is taken unchanged from the request line.
        std::string_view target = request.target;
        target.remove_prefix(std::min(target.size(), target.find('/', pathPrefix.size())));
        ServiceRequest result;
        result.method = request.method;
        result.target = target.empty() ? "/" : std::string(target);
        const Headers all(request.headers.begin(), request.headers.end());
        for (auto& header : endToEndHeaders(all)) {
            // The caller's key is valid for this fleet only and must not reach the service.
            if (!isSameHeaderName(header.first, "Authorization"))
                result.headers.push_back(std::move(header));
        }
        result.body = request.body;
        return result;
    }

    std::string_view pathWithoutQuery(const ServiceRequest& request) { return std::string_view(request.target).substr(0, request.target.find('?')); }

    std::string encodeHeaders(const Headers& headers)
    {
        auto list = nlohmann::json::array();
        for (const auto& [name, text] : headers)
            list.push_back({ name, text });
        return list.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    }

    Headers decodeHeaders(std::string_view text)
    {
        Headers headers;
        const auto list = nlohmann::json::parse(text, nullptr, false);
        if (!list.is_array())
            return headers;
        for (const auto& header : list) {
            if (header.is_array() && header.size() == 2 && header[0].is_string() && header[1].is_string())
                headers.emplace_back(header[0], header[1]);
        }
        return headers;
    }

}

/** Sends a call that must run at most once to its service, or forwards it to another incarnation. */
class ServiceHandler::Runner final : public AtMostOnceExecutor::Runner {
public:
    Runner(ServiceHandler& handler, const ServiceSettings& service, const Call& call)
        : m_handler(handler)
        , m_service(service)
        , m_call(call)
    {
    }

    Result<RecordedOutcome> run() override { return m_handler.send(m_service, m_call, ServiceRequest::RetryPolicy::Forbidden); }
    Result<RecordedOutcome> forward(std::string_view target) override { return m_handler.forward(target, m_call); }

private:
    ServiceHandler& m_handler;
    const ServiceSettings& m_service;
    const Call& m_call;
};

std::string incarnationOf(const MemberId& member, uint64_t startIncarnation)
{
    return member.text() + "-" + std::to_string(startIncarnation);
}

const Member* memberOfIncarnation(const FleetView& fleet, std::string_view incarnation)
{
    const auto& members = fleet.members();
    const auto found = std::find_if(members.begin(), members.end(), [&](const Member& member) { return incarnationOf(member.id, member.startIncarnation) == incarnation; });
    return found == members.end() ? nullptr : &*found;
}

std::vector<const Member*> successorsOf(const FleetView& fleet, std::string_view incarnation)
{
    std::vector<std::pair<uint64_t, const Member*>> ranked;
    const auto key = hashBytes(incarnation);
    for (const auto& member : fleet.members()) {
        if (member.state != MemberState::Leaving && member.isPlaceable && incarnationOf(member.id, member.startIncarnation) != incarnation)
            ranked.emplace_back(hashPair(key, hashBytes(member.id.text())), &member);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater {});
    ranked.resize(std::min(ranked.size(), successorCount));
    std::vector<const Member*> successors;
    successors.reserve(ranked.size());
    for (const auto& [score, member] : ranked)
        successors.push_back(member);
    return successors;
}

ServiceHandler::ServiceHandler(const Dependencies& dependencies, std::chrono::milliseconds requestDeadline)
    : m_dependencies(dependencies)
    , m_requestDeadline(requestDeadline)
    , m_random(std::random_device {}())
{
}

void ServiceHandler::registerRoutes(httplib::Server& server)
{
    const std::string pattern = R"(/services/[^/]+(?:/.*)?)";
    const auto handler = [this](const httplib::Request& request, httplib::Response& response) { handle(request, response); };
    server.Get(pattern, handler);
    server.Post(pattern, handler);
    server.Put(pattern, handler);
    server.Patch(pattern, handler);
    server.Delete(pattern, handler);
}

void ServiceHandler::handle(const httplib::Request& request, httplib::Response& response)
{
    const CallInProgress inProgress(m_dependencies.metrics);
    CallContext context;
    const auto outcome = [&]() -> Result<RecordedOutcome> {
        if (auto refusal = openCall(request, m_dependencies.gate, m_dependencies.fleet, m_dependencies.clock, context))
            return *refusal;
        const auto id = serviceFromPath(request.path);
        const auto& services = context.fleet->configuration().services();
        const auto service = services.find(id);
        if (service == services.end())
            return Error { ErrorKind::NotFound, "unknown service " + id.text() };
        if (!context.accountSettings->mayUse(id))
            return Error { ErrorKind::Forbidden, "the client account may not use service " + id.text() };
        if (auto limited = m_dependencies.limits.acquire(context.account, *context.accountSettings); !isOk(limited))
            return error(limited);
        Call call;
        call.service = id;
        call.account = context.account;
        call.idempotencyKey = request.get_header_value("Idempotency-Key");
        call.deadline = context.receivedAt + m_requestDeadline;
        call.request = toServiceRequest(request);
        return perform(service->second, call);
    }();
    response.set_header("X-Request-Id", context.request.text());
    recordObjectives(context, request, outcome);
    m_dependencies.metrics.callEnded({ "service", "none", isOk(outcome) ? std::nullopt : std::optional(error(outcome).kind) });
    if (!isOk(outcome))
        return respondWithError(response, error(outcome), context.request.text());
    response.status = value(outcome).status;
    std::string contentType = "application/octet-stream";
    for (const auto& [name, text] : value(outcome).headers) {
        if (isSameHeaderName(name, "Content-Type"))
            contentType = text;
        else
            response.headers.emplace(name, text);
    }
    response.set_content(value(outcome).body, contentType);
}

void ServiceHandler::recordObjectives(const CallContext& context, const httplib::Request& request, const Result<RecordedOutcome>& outcome) const
{
    if (!context.accountSettings)
        return;
    const auto now = m_dependencies.clock.now();
    ObjectiveMeter meter(m_dependencies.objectives, m_dependencies.metrics, { serviceFromPath(request.path).text(), context.account, context.accountSettings->defaultPriority }, context.receivedAt);
    if (isOk(outcome))
        meter.token(now);
    meter.ended(isOk(outcome) ? std::nullopt : std::optional(error(outcome).kind), now);
}

Result<RecordedOutcome> ServiceHandler::perform(const ServiceSettings& service, const Call& call)
{
    if (service.isIdempotent(call.request.method, pathWithoutQuery(call.request)))
        return send(service, call, ServiceRequest::RetryPolicy::Allowed);
    return performOnce(service, call, AtMostOnceCall::Origin::Caller);
}

Result<RecordedOutcome> ServiceHandler::performOnce(const ServiceSettings& service, const Call& call, AtMostOnceCall::Origin origin)
{
    AtMostOnceCall atMostOnceCall;
    atMostOnceCall.key = { call.account, call.idempotencyKey };
    atMostOnceCall.requestDigest = requestDigest(call.request.method, "/" + call.service.text() + call.request.target, call.request.body);
    atMostOnceCall.deadline = call.deadline;
    atMostOnceCall.origin = origin;
    Runner runner(*this, service, call);
    return m_dependencies.executor.execute(atMostOnceCall, runner);
}

Result<RecordedOutcome> ServiceHandler::send(const ServiceSettings& service, const Call& call, ServiceRequest::RetryPolicy retryPolicy)
{
    Result<RecordedOutcome> outcome = Error { ErrorKind::ServiceUnreachable, "service " + call.service.text() + " has no address" };
    for (const auto& address : shuffledAddresses(service)) {
        const auto endpoint = Endpoint::parse(address);
        auto request = call.request;
        request.host = endpoint.host;
        request.port = endpoint.port;
        request.retryPolicy = retryPolicy;
        request.deadline = std::min(call.deadline, m_dependencies.clock.now() + service.timeout);
        outcome = m_dependencies.client.call(request);
        if (isOk(outcome))
            return outcome;
        // A call that must not be repeated is sent to another address only if it is known not to have run.
        const bool canTryNextAddress = retryPolicy == ServiceRequest::RetryPolicy::Allowed ? error(outcome).isRetryable() : !error(outcome).mayHaveRun();
        if (!canTryNextAddress)
            return outcome;
        m_dependencies.metrics.retried(errorTraits(error(outcome).kind).name);
    }
    return outcome;
}

std::vector<std::string> ServiceHandler::shuffledAddresses(const ServiceSettings& service)
{
    auto addresses = service.addresses;
    const std::lock_guard lock(m_mutex);
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    return addresses;
}

Result<RecordedOutcome> ServiceHandler::forward(std::string_view incarnation, const Call& call)
{
    const auto fleet = m_dependencies.fleet.current();
    const auto* member = fleet ? memberOfIncarnation(*fleet, incarnation) : nullptr;
    if (!member)
        return Error { ErrorKind::PeerUnreachable, "no live instance runs incarnation " + std::string(incarnation) };
    const auto remainingTime = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - m_dependencies.clock.now());
    if (remainingTime.count() <= 0)
        return Error { ErrorKind::DeadlineBeforeStart, "the deadline passed before the call was forwarded" };
    InnerRequest request {
        "/inner/service",
        {
            { "x-service", call.service.text() },
            { "x-account", call.account.text() },
            { "x-method", call.request.method },
            { "x-target", call.request.target },
            { "x-headers", encodeHeaders(call.request.headers) },
            { "x-deadline-ms", std::to_string(remainingTime.count()) },
            { "idempotency-key", call.idempotencyKey },
        },
        call.request.body,
    };
    const auto stream = m_dependencies.innerClient.start(member->innerAddress, std::move(request));
    const auto head = stream->head(remainingTime);
    if (!isOk(head))
        return error(head);
    const auto body = readAll(*stream, maxOutcomeBytes, remainingTime);
    if (!isOk(body))
        return error(body);
    if (value(head).status == 200)
        return decodeOutcome(value(body));
    const auto kind = errorKindFromName(headerOr(value(head).headers, "x-kind"));
    return Error { kind.value_or(ErrorKind::PeerConnectionLost), value(body) };
}

void ServiceHandler::runForwarded(const InnerRequest& request, InnerResponder& responder)
{
    const auto fleet = m_dependencies.fleet.current();
    Call call;
    call.service = ServiceId(headerOr(request.headers, "x-service"));
    call.account = AccountId(headerOr(request.headers, "x-account"));
    call.idempotencyKey = headerOr(request.headers, "idempotency-key");
    call.request.method = headerOr(request.headers, "x-method");
    call.request.target = headerOr(request.headers, "x-target");
    call.request.headers = decodeHeaders(headerOr(request.headers, "x-headers"));
    call.request.body = request.body;
    const auto remainingTime = std::atoll(std::string(headerOr(request.headers, "x-deadline-ms")).c_str());
    call.deadline = m_dependencies.clock.now() + std::chrono::milliseconds(remainingTime);
    Result<RecordedOutcome> outcome = Error { ErrorKind::NoConfiguration, "the service is not configured here" };
    if (fleet) {
        const auto service = fleet->configuration().services().find(call.service);
        if (service != fleet->configuration().services().end())
            outcome = performOnce(service->second, call, AtMostOnceCall::Origin::Peer);
    }
    if (isOk(outcome))
        return responder.respond(200, {}, encodeOutcome(value(outcome)));
    const auto& failure = error(outcome);
    responder.respond(errorTraits(failure.kind).httpStatus, { { "x-kind", std::string(errorTraits(failure.kind).name) } }, failure.detail);
}

}
