#include "PlatformCommand.h"

#include <borageslip_configuration/operators/FleetStatus.h>
#include <platform/PlatformSettings.h>
#include <platform/operators/DeployFile.h>
#include <platform/operators/StoreOverview.h>

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>

namespace borageslip {

namespace {

    constexpr std::chrono::milliseconds instanceTimeout { 2000 };

    /** Configuration version and store data age that an instance reports, or the reason why they could not be read. */
    struct InstanceState {
        std::string name;
        std::string failureDomain;
        std::optional<uint64_t> version {}; ///< Active configuration version; nullopt if unknown.
        double storeDataAge = 0; ///< Time since the instance last confirmed its store data, in seconds.
        std::vector<std::string> quarantined {}; ///< Labels of its quarantined prompts.
        std::string failure {}; ///< Empty if the metrics could be read.
    };

    /** A name from the store as it is, or as a JSON string if it has control characters, which would write lines of their own. */
    std::string printable(const std::string& name)
    {
        return isFieldValue(name) ? name : nlohmann::json(name).dump();
    }

    /** Finds the value of a metric without labels in the Prometheus text format. */
    std::optional<double> findMetric(const std::string& text, const std::string& name)
    {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + " "))
                return std::strtod(line.c_str() + name.size(), nullptr);
        }
        return std::nullopt;
    }

    /** Label sets of a metric in the Prometheus text format. */
    std::vector<std::string> findLabels(const std::string& text, const std::string& name)
    {
        std::vector<std::string> labels;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            const auto end = line.rfind('}');
            if (line.starts_with(name + "{") && end != std::string::npos)
                labels.push_back(line.substr(name.size() + 1, end - name.size() - 1));
        }
        return labels;
    }

    InstanceState makeInstanceState(const Member& member, const InstanceResponse& response)
    {
        InstanceState state { member.name, member.failureDomain };
        if (member.metricsAddress.port() == 0) {
            state.failure = "no metrics address registered";
            return state;
        }
        if (response.status != 200) {
            state.failure = response.status == 0 ? response.failure : "status " + std::to_string(response.status);
            return state;
        }
        if (const auto version = findMetric(response.body, "borageslip_entry_configuration_version"))
            state.version = static_cast<uint64_t>(*version);
        state.storeDataAge = findMetric(response.body, "borageslip_entry_knowledge_age_seconds").value_or(0);
        state.quarantined = findLabels(response.body, "borageslip_entry_quarantine_seconds");
        return state;
    }

    std::vector<InstanceState> queryMembers(std::span<const Member> members)
    {
        std::vector<std::string> addresses;
        for (const auto& member : members) {
            std::ostringstream address;
            address << member.metricsAddress;
            addresses.push_back(address.str());
        }
        const auto responses = queryInstances(addresses, "/metrics", instanceTimeout);
        std::vector<InstanceState> states;
        for (size_t i = 0; i < members.size(); ++i)
            states.push_back(makeInstanceState(members[i], responses[i]));
        return states;
    }

    nlohmann::json toJson(const InstanceState& state)
    {
        nlohmann::json json { { "name", state.name }, { "failure_domain", state.failureDomain }, { "knowledge_age_s", state.storeDataAge } };
        json["version"] = state.version ? nlohmann::json(*state.version) : nlohmann::json();
        if (!state.failure.empty())
            json["failure"] = state.failure;
        return json;
    }

    void describeServers(const platform::StoreOverview& overview, PlatformStatus& status, std::ostream& text)
    {
        struct Counts {
            int ready = 0;
            int draining = 0;
        };
        std::map<std::string, Counts> services;
        for (const auto& server : overview.servers)
            ++(server.isDraining ? services[server.service].draining : services[server.service].ready);
        status.json["services"] = nlohmann::json::object();
        for (const auto& [name, counts] : services) {
            status.json["services"][name] = { { "ready", counts.ready }, { "draining", counts.draining } };
            text << "service " << name << ": " << counts.ready << " ready, " << counts.draining << " draining\n";
        }
    }

    void describeEvacuations(const platform::StoreOverview& overview, PlatformStatus& status, std::ostream& text)
    {
        status.json["evacuated"] = nlohmann::json::array();
        for (const auto& domain : overview.evacuatedDomains) {
            const auto servers = std::count_if(overview.servers.begin(), overview.servers.end(), [&](const auto& server) { return server.failureDomain == domain; });
            status.json["evacuated"].push_back({ { "domain", domain }, { "servers", servers } });
            text << "evacuated failure domain " << domain << ": " << servers << " servers get no new work\n";
        }
    }

    void describeInstances(const platform::StoreOverview& overview, PlatformStatus& status, std::ostream& text)
    {
        const auto* stored = overview.configuration ? &*overview.configuration : nullptr;
        status.isInForceEverywhere = stored != nullptr;
        status.json["instances"] = nlohmann::json::array();
        std::map<std::string, int> quarantined;
        for (const auto& state : queryMembers(overview.members)) {
            for (const auto& labels : state.quarantined)
                ++quarantined[labels];
            status.json["instances"].push_back(toJson(state));
            const bool isInForce = stored != nullptr && state.version.value_or(0) == stored->version();
            status.isInForceEverywhere &= isInForce;
            text << (isInForce ? "in force" : "behind  ") << "  " << state.name << " (" << state.failureDomain << "): ";
            if (!state.failure.empty())
                text << state.failure << '\n';
            else
                text << "version " << state.version.value_or(0) << ", keys and servers confirmed " << state.storeDataAge << " s ago\n";
        }
        status.json["quarantined"] = nlohmann::json::array();
        for (const auto& [labels, instances] : quarantined) {
            status.json["quarantined"].push_back({ { "prompt", labels }, { "instances", instances } });
            text << "quarantined prompt " << labels << " at " << instances << " instances\n";
        }
    }

}

Result<PlatformStatus> platformStatus(const std::string& store)
{
    const auto address = parseEndpoint(store);
    if (!isOk(address))
        return error(address);
    const auto read = platform::readStoreOverview(value(address));
    if (!isOk(read))
        return error(read);
    const auto& overview = value(read);
    PlatformStatus status;
    std::ostringstream text;
    if (overview.configuration) {
        status.json["version"] = overview.configuration->version();
        text << "configuration version " << overview.configuration->version() << ", " << overview.configuration->routes().size() << " routes, ";
        if (overview.configuration->requiresKeys())
            text << overview.configuration->keyCount() << " keys\n";
        else
            text << "no key needed\n";
        status.json["unusable_accounts"] = overview.configuration->unusableAccounts();
        for (const auto& name : overview.configuration->unusableAccounts())
            text << "unusable  client account " << printable(name) << ": the name cannot be the value of a header field\n";
    } else {
        status.json["version"] = nullptr;
        text << "the store holds no valid configuration\n";
    }
    describeInstances(overview, status, text);
    describeServers(overview, status, text);
    describeEvacuations(overview, status, text);
    status.json["unusable"] = nlohmann::json::array();
    for (const auto& entry : overview.invalidEntries) {
        status.json["unusable"].push_back({ { "key", entry.key }, { "problem", entry.problem } });
        text << "unusable  " << printable(entry.key) << ": " << entry.problem << '\n';
    }
    status.text = text.str();
    if (status.text.ends_with('\n'))
        status.text.pop_back();
    return status;
}

Result<std::vector<std::string>> checkPlatformFile(PlatformFile kind, const std::string& file)
{
    const auto text = readFile(file);
    if (!isOk(text))
        return error(text);
    const auto parseProblems = [](const auto& parsed) { return isOk(parsed) ? std::vector<std::string> {} : std::vector<std::string> { error(parsed).detail }; };
    switch (kind) {
    case PlatformFile::DeployFile:
        return platform::checkDeployFile(value(text));
    case PlatformFile::Settings:
        return parseProblems(platform::parseSettings(value(text)));
    case PlatformFile::Configuration:
        return parseProblems(platform::parseConfiguration(value(text)));
    }
    return Error { ErrorKind::InvalidSettings, "unknown file kind" };
}

}
