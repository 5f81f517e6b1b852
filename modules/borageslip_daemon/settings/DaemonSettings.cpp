#include "DaemonSettings.h"

#include "EmbeddedDaemonSchema.h"

namespace borageslip {

Endpoint Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    return { std::string(text.substr(0, colon)), std::stoi(std::string(text.substr(colon + 1))) };
}

Result<DaemonSettings> DaemonSettings::read(const std::string& path)
{
    const auto text = readFile(path);
    if (!isOk(text))
        return error(text);
    auto settings = parse(value(text));
    if (!isOk(settings))
        return Error { ErrorKind::InvalidSettings, path + ": " + error(settings).detail };
    return settings;
}

Result<DaemonSettings> DaemonSettings::parse(std::string_view json)
{
    const auto document = parseValidated(json, nlohmann::json::parse(daemonSchema));
    if (!isOk(document))
        return error(document);
    const auto& root = value(document);
    const auto endpoint = [&](const char* name) { return Endpoint::parse(root[name].get<std::string>()); };
    const auto keys = [&](const char* name) { return root.value(name, std::vector<std::string> {}); };
    DaemonSettings settings;
    settings.id = root["id"];
    settings.region = Region(root["region"].get<std::string>());
    settings.failureDomain = FailureDomain(root["failure_domain"].get<std::string>());
    settings.callers = endpoint("callers");
    settings.inner = endpoint("inner");
    settings.operators = endpoint("operators");
    settings.gossip = endpoint("gossip");
    settings.store = endpoint("store");
    settings.seeds = keys("seeds");
    settings.innerKeys = keys("inner_keys");
    settings.ticketKeys = keys("ticket_keys");
    settings.operatorKeys = keys("operator_keys");
    settings.callerThreads = root.value("caller_threads", settings.callerThreads);
    settings.homeThreads = root.value("home_threads", settings.homeThreads);
    settings.maxBodyBytes = root.value("max_body_bytes", settings.maxBodyBytes);
    settings.requestDeadline = std::chrono::milliseconds(root.value("request_deadline_ms", settings.requestDeadline.count()));
    settings.drainDeadline = std::chrono::seconds(root.value("drain_deadline_s", settings.drainDeadline.count()));
    settings.logLevel = root.value("log_level", settings.logLevel);
    return settings;
}

}
