#include "FleetStatus.h"

#include <borageslip_core/encoding/PercentEncoding.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace borageslip {

namespace {

    constexpr size_t maxConcurrentRequests = 16;

    httplib::Result get(const std::string& address, const std::string& path, std::chrono::milliseconds timeout)
    {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        return client.Get(path);
    }

    RouterStatus parseRouterStatus(const std::string& address, const InstanceResponse& answer)
    {
        RouterStatus status;
        status.address = address;
        if (answer.status == 0) {
            status.failure = answer.failure;
            return status;
        }
        status.body = nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.status != 200 || !status.body.is_object()) {
            status.failure = "HTTP status " + std::to_string(answer.status);
            return status;
        }
        try {
            status.id = status.body.value("id", "");
            status.revision = status.body.value("revision", uint64_t { 0 });
            status.state = status.body.value("state", "");
        } catch (const nlohmann::json::exception&) {
            status.failure = "malformed status response";
        }
        return status;
    }

}

uint64_t FleetStatus::newestRevision() const
{
    uint64_t newest = 0;
    for (const auto& router : routers)
        newest = std::max(newest, router.revision);
    return newest;
}

size_t FleetStatus::countUpToDate(uint64_t revision) const
{
    return routers.size() - outdatedRouters(revision).size();
}

std::vector<RouterStatus> FleetStatus::outdatedRouters(uint64_t revision) const
{
    std::vector<RouterStatus> outdated;
    std::ranges::copy_if(routers, std::back_inserter(outdated), [&](const RouterStatus& router) { return !router.failure.empty() || router.revision < revision; });
    return outdated;
}

std::set<AccountId> FleetStatus::accountsInUse() const
{
    std::set<AccountId> accounts;
    for (const auto& router : routers) {
        if (!router.body.is_object() || !router.body.contains("accounts_in_use"))
            continue;
        for (const auto& name : router.body["accounts_in_use"]) {
            if (name.is_string())
                accounts.emplace(name.get_ref<const std::string&>());
        }
    }
    return accounts;
}

std::vector<InstanceResponse> queryInstances(std::span<const std::string> addresses, const std::string& path, std::chrono::milliseconds timeout)
{
    std::vector<InstanceResponse> answers(addresses.size());
    std::atomic<size_t> next = 0;
    std::vector<std::jthread> threads;
    for (size_t i = 0; i < std::min(maxConcurrentRequests, addresses.size()); ++i) {
        threads.emplace_back([&] {
            for (size_t index = next++; index < addresses.size(); index = next++) {
                const auto answer = get(addresses[index], path, timeout);
                answers[index] = answer ? InstanceResponse { answer->status, answer->body, {} } : InstanceResponse { 0, {}, httplib::to_string(answer.error()) };
            }
        });
    }
    threads.clear();
    return answers;
}

FleetStatus queryFleetStatus(std::span<const std::string> operatorAddresses, std::chrono::milliseconds timeout)
{
    const auto answers = queryInstances(operatorAddresses, "/operator/status", timeout);
    FleetStatus fleet;
    for (size_t i = 0; i < answers.size(); ++i)
        fleet.routers.push_back(parseRouterStatus(operatorAddresses[i], answers[i]));
    return fleet;
}

Result<nlohmann::json> explainRequest(std::span<const std::string> operatorAddresses, std::string_view request, std::chrono::milliseconds timeout)
{
    bool hasAnswer = false;
    for (const auto& address : operatorAddresses) {
        const auto answer = get(address, "/operator/explain/" + percentEncode(request), timeout);
        hasAnswer = hasAnswer || answer;
        if (!answer || answer->status != 200)
            continue;
        auto json = nlohmann::json::parse(answer->body, nullptr, false);
        if (!json.is_discarded())
            return json;
    }
    if (hasAnswer)
        return Error { ErrorKind::NotFound, "no router has a record of request " + std::string(request) };
    return Error { ErrorKind::PeerUnreachable, "no router responded" };
}

}
