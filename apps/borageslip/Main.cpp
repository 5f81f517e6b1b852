#include "PlatformCommand.h"
#include "ReportCommand.h"

#include <borageslip_configuration/borageslip_configuration.h>
#include <borageslip_report/borageslip_report.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>
#include <unistd.h>

using namespace borageslip;

namespace {

enum ExitCode : int {
    Success = 0,
    Refused = 1,
    Usage = 2,
    Stale = 3,
    Unavailable = 4,
    OutcomeUnknown = 5,
    NotInForce = 6,
};

constexpr const char* exitCodeHelp = "Exit codes: 0 success; 1 refused or invalid; 2 wrong usage or settings; 3 the plan is stale; "
                                     "4 the store or the routers cannot be reached and nothing was changed; "
                                     "5 the outcome is unknown, repeat the command; 6 not in force on all routers.";

constexpr std::chrono::milliseconds routerTimeout { 2000 };
constexpr std::chrono::milliseconds progressInterval { 500 };

struct Options {
    std::string settingsFile;
    std::string store;
    std::vector<std::string> operators;
    bool isJson = false;
    bool isCheckingSettings = false;
    std::string file;
    std::string fileKind;
    std::string output;
    std::string planIdentity;
    std::string operatorName;
    std::string reason;
    std::string request;
    std::vector<std::string> logFiles;
    std::string shell;
    std::string htmlFile;
    uint64_t revision = 0;
    size_t limit = 20;
    bool isAcceptingBreaches = false;
    bool isWaiting = false;
    unsigned waitSeconds = 30;
};

int fail(const Error& failure)
{
    std::cerr << "borageslip: " << errorTraits(failure.kind).name << ": " << failure.detail << '\n';
    switch (failure.kind) {
    case ErrorKind::StalePlan:
    case ErrorKind::RevisionConflict:
        return Stale;
    case ErrorKind::StoreUnavailable:
    case ErrorKind::PeerUnreachable:
        return Unavailable;
    case ErrorKind::StoreOutcomeUnknown:
        return OutcomeUnknown;
    case ErrorKind::InvalidSettings:
        return Usage;
    default:
        return Refused;
    }
}

Error missingOperatorsError()
{
    return { ErrorKind::InvalidSettings, "no operator address of a router is set; use --operator or the settings file" };
}

std::string highlighted(const std::string& text)
{
    return isatty(STDOUT_FILENO) ? "\033[1;31m" + text + "\033[0m" : text;
}

/** Store connection for one run of the client. */
struct Session {
    explicit Session(const Options& options)
        : store(settingsFor(options.store), budget)
    {
    }

    static ConsulConnection::Settings settingsFor(const std::string& address)
    {
        const auto colon = address.rfind(':');
        if (colon == std::string::npos)
            throw CLI::ValidationError("--store", "expected ip:port");
        return { address.substr(0, colon), std::stoi(address.substr(colon + 1)) };
    }

    SystemClock clock;
    CallBudget budget { clock, { .callsPerSecond = 50, .burst = 500 } };
    ConsulStore store;
};

void print(const Options& options, const nlohmann::json& json, const std::string& text)
{
    std::cout << (options.isJson ? json.dump(4) : text) << '\n';
}

std::string formatTable(const Plan& plan)
{
    std::ostringstream text;
    text << "plan " << plan.identity << " on revision " << plan.baseRevision << "\n\nchanges\n"
         << describeChanges(plan.changes) << "\n\nengines\n";
    for (const auto& engine : plan.engines) {
        text << engine.engine.text() << ':';
        for (const auto& model : engine.drops)
            text << " drops " << model.text();
        for (const auto& model : engine.loads)
            text << " loads " << model.text();
        text << '\n';
    }
    text << "\nmodel                engines        slots          chats that move\n";
    for (const auto& model : plan.capacity) {
        const auto column = [](const std::string& cell, size_t width) { return cell + std::string(cell.size() < width ? width - cell.size() : 1, ' '); };
        text << column(model.model.text(), 21) << column(std::to_string(model.enginesBefore) + " -> " + std::to_string(model.enginesAfter), 15)
             << column(std::to_string(model.slotsBefore) + " -> " + std::to_string(model.slotsAfter), 15) << std::lround(model.movedChatShare * 100) << "%\n";
    }
    for (const auto& warning : plan.warnings) {
        const bool isBreach = warning.severity == PlanWarning::Severity::Breach;
        text << (isBreach ? highlighted("breach") : "warning") << ": " << warning.path << ": " << warning.text << '\n';
    }
    return text.str();
}

int makePlan(const Options& options, KeyValueStore& store, const Intent& intent)
{
    const auto base = readPlanBase(store);
    if (!isOk(base))
        return fail(error(base));
    const PlanBuilder builder({ queryFleetStatus(options.operators, routerTimeout).accountsInUse() });
    const auto plan = builder.build(intent, value(base));
    if (!isOk(plan))
        return fail(error(plan));
    if (!options.output.empty()) {
        std::ofstream file(options.output);
        file << value(plan).toJson().dump(4) << '\n';
        if (!file.flush())
            return fail({ ErrorKind::InvalidSettings, "cannot write " + options.output });
    }
    print(options, value(plan).toJson(), formatTable(value(plan)));
    return Success;
}

int runPlan(const Options& options)
{
    const auto text = readFile(options.file);
    if (!isOk(text))
        return fail(error(text));
    const auto intent = Intent::parse(value(text));
    if (!isOk(intent))
        return fail(error(intent));
    Session session(options);
    return makePlan(options, session.store, value(intent));
}

int runUndo(const Options& options)
{
    Session session(options);
    const auto intent = ConfigurationHistory(session.store, session.clock).undoIntent(options.planIdentity, options.operatorName, options.reason);
    if (!isOk(intent))
        return fail(error(intent));
    return makePlan(options, session.store, value(intent));
}

std::string formatTable(const FleetStatus& fleet, uint64_t revision)
{
    std::string text = "revision " + std::to_string(revision) + " in force on " + std::to_string(fleet.countUpToDate(revision)) + " of " + std::to_string(fleet.routers.size());
    for (const auto& router : fleet.outdatedRouters(revision))
        text += "\n" + highlighted("behind") + ": " + router.address + " " + router.id + " " + (router.failure.empty() ? "revision " + std::to_string(router.revision) + " " + router.state : router.failure);
    return text;
}

nlohmann::json statusToJson(const FleetStatus& fleet, uint64_t revision)
{
    nlohmann::json json { { "revision", revision }, { "in_force", fleet.countUpToDate(revision) }, { "routers", nlohmann::json::array() } };
    for (const auto& router : fleet.routers)
        json["routers"].push_back({ { "address", router.address }, { "id", router.id }, { "revision", router.revision }, { "state", router.state }, { "failure", router.failure } });
    return json;
}

int waitUntilInForce(const Options& options, uint64_t revision)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(options.waitSeconds);
    while (true) {
        const auto fleet = queryFleetStatus(options.operators, routerTimeout);
        print(options, statusToJson(fleet, revision), formatTable(fleet, revision));
        if (fleet.outdatedRouters(revision).empty())
            return Success;
        if (std::chrono::steady_clock::now() >= deadline)
            return NotInForce;
        std::this_thread::sleep_for(progressInterval);
    }
}

int runConfirm(const Options& options)
{
    if (options.isWaiting && options.operators.empty())
        return fail(missingOperatorsError());
    const auto text = readFile(options.file);
    if (!isOk(text))
        return fail(error(text));
    const auto plan = Plan::parse(value(text));
    if (!isOk(plan))
        return fail(error(plan));
    Session session(options);
    PlanConfirmation::Settings settings;
    settings.context.accountsInUse = queryFleetStatus(options.operators, routerTimeout).accountsInUse();
    settings.breaches = options.isAcceptingBreaches ? PlanConfirmation::BreachPolicy::Accept : PlanConfirmation::BreachPolicy::Refuse;
    settings.waitBeforeReadBack = [] { std::this_thread::sleep_for(progressInterval); };
    const auto confirmed = PlanConfirmation(session.store, session.clock, settings).confirm(value(plan));
    if (!isOk(confirmed))
        return fail(error(confirmed));
    const auto [revision, isSuperseded] = value(confirmed);
    print(options, { { "revision", revision }, { "superseded", isSuperseded } }, "confirmed as revision " + std::to_string(revision) + (isSuperseded ? ", superseded by a later plan" : ""));
    return options.isWaiting ? waitUntilInForce(options, revision) : Success;
}

int runStatus(const Options& options)
{
    if (options.operators.empty())
        return fail(missingOperatorsError());
    const auto fleet = queryFleetStatus(options.operators, routerTimeout);
    uint64_t revision = fleet.newestRevision();
    if (!options.store.empty()) {
        Session session(options);
        const auto reading = session.store.read(configurationKey);
        if (!isOk(reading))
            std::cerr << "borageslip: the store did not respond; comparing with the highest revision of any router\n";
        else if (value(reading).value)
            revision = value(reading).value->modifyIndex;
    }
    print(options, statusToJson(fleet, revision), formatTable(fleet, revision));
    return fleet.outdatedRouters(revision).empty() ? Success : NotInForce;
}

int runShow(const Options& options)
{
    Session session(options);
    const auto base = readPlanBase(session.store);
    if (!isOk(base))
        return fail(error(base));
    if (!value(base).configuration)
        return fail({ ErrorKind::NotFound, "the store holds no configuration" });
    const auto& document = value(base).configuration->document();
    print(options, { { "revision", value(base).revision }, { "document", document } }, "revision " + std::to_string(value(base).revision) + "\n" + document.dump(4));
    return Success;
}

int runHistory(const Options& options)
{
    Session session(options);
    const auto base = readPlanBase(session.store);
    if (!isOk(base))
        return fail(error(base));
    if (!value(base).configuration)
        return fail({ ErrorKind::NotFound, "the store holds no configuration" });
    const auto entries = ConfigurationHistory(session.store, session.clock).entriesBefore(value(base).configuration->document(), options.limit);
    if (!isOk(entries))
        return fail(error(entries));
    auto json = nlohmann::json::array();
    std::string text;
    for (const auto& entry : value(entries)) {
        json.push_back({ { "replaced_revision", entry.revision }, { "plan", entry.replacedBy }, { "operator", entry.operatorName }, { "reason", entry.reason }, { "time", entry.time } });
        text += entry.time + "  " + entry.replacedBy + "  " + entry.operatorName + "  " + entry.reason + "\n";
    }
    print(options, json, text);
    return Success;
}

int runDiff(const Options& options)
{
    Session session(options);
    const auto base = readPlanBase(session.store);
    if (!isOk(base))
        return fail(error(base));
    const auto entry = ConfigurationHistory(session.store, session.clock).read(options.revision);
    if (!isOk(entry))
        return fail(error(entry));
    if (!value(base).configuration)
        return fail({ ErrorKind::NotFound, "the store holds no configuration" });
    const auto& current = value(base).configuration->document();
    print(options, mergePatchBetween(value(entry).document, current), describeChanges(documentDifference(value(entry).document, current)));
    return Success;
}

int runExplain(const Options& options)
{
    if (!options.logFiles.empty()) {
        const auto timeline = readRequestTimeline(options.request, options.logFiles);
        if (!isOk(timeline))
            return fail(error(timeline));
        printRequestTimeline(std::cout, value(timeline));
        return Success;
    }
    const auto response = explainRequest(options.operators, options.request, routerTimeout);
    if (!isOk(response))
        return fail(error(response));
    std::cout << value(response).dump(4) << '\n';
    return Success;
}

int runReport(const Options& options)
{
    if (options.operators.empty())
        return fail(missingOperatorsError());
    const auto printed = printReport({ options.operators, options.htmlFile, options.isJson });
    return isOk(printed) ? Success : fail(error(printed));
}

int runPlatformStatus(const Options& options)
{
    if (options.store.empty())
        return fail({ ErrorKind::InvalidSettings, "no store address is set; use --store or the settings file" });
    const auto status = platformStatus(options.store);
    if (!isOk(status))
        return fail(error(status));
    print(options, value(status).json, value(status).text);
    return value(status).isInForceEverywhere ? Success : NotInForce;
}

int runPlatformCheck(const Options& options)
{
    static const std::map<std::string, PlatformFile> s_kinds { { "deploy", PlatformFile::DeployFile }, { "settings", PlatformFile::Settings }, { "configuration", PlatformFile::Configuration } };
    const auto problems = checkPlatformFile(s_kinds.at(options.fileKind), options.file);
    if (!isOk(problems))
        return fail(error(problems));
    std::string text;
    for (const auto& problem : value(problems))
        text += (text.empty() ? "" : "\n") + options.file + ": " + problem;
    print(options, { { "file", options.file }, { "problems", value(problems) } }, text.empty() ? options.file + ": ok" : text);
    return value(problems).empty() ? Success : Refused;
}

int printCompletion(const CLI::App& app)
{
    std::string words;
    for (const auto* command : app.get_subcommands([](const CLI::App*) { return true; }))
        words += command->get_name() + " ";
    for (const auto* option : app.get_options()) {
        for (const auto& name : option->get_lnames())
            words += "--" + name + " ";
    }
    std::cout << "_borageslip()\n{\n    local words=\"" << words << "\"\n"
              << "    COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\") $(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
              << "complete -F _borageslip borageslip\n";
    return Success;
}

/** Fills options that are missing on the command line from the settings file. */
Status readClientSettings(Options& options)
{
    if (options.settingsFile.empty())
        return ok();
    const auto settings = readSettings(options.settingsFile, embeddedSchema("operator-client"));
    if (!isOk(settings))
        return error(settings);
    if (options.store.empty())
        options.store = value(settings).value("store", "");
    if (options.operators.empty())
        options.operators = value(settings).value("operators", std::vector<std::string> {});
    return ok();
}

using Command = int (*)(const Options&);

int runProgram(int argc, char** argv)
{
    Options options;
    CLI::App app("Operator client of the borageslip router fleet", "borageslip");
    app.footer(exitCodeHelp);
    app.set_version_flag("--version", BORAGESLIP_VERSION);
    app.add_option("--settings", options.settingsFile, "JSON settings file (schemas/operator-client.schema.json)");
    app.add_option("--store", options.store, "ip:port of the platform's key-value service");
    app.add_option("--operator", options.operators, "ip:port of a router's operator address; repeatable")->expected(1)->take_all();
    app.add_flag("--json", options.isJson, "Print JSON");
    app.add_flag("--check-settings", options.isCheckingSettings, "Check the settings and exit");
    app.require_subcommand(0, 1);

    std::vector<std::pair<CLI::App*, Command>> commands;
    const auto add = [&](const char* name, const char* description, Command command) {
        commands.emplace_back(app.add_subcommand(name, description)->fallthrough(), command);
        return commands.back().first;
    };
    auto* plan = add("plan", "Compute the plan for an intent and show its effects", runPlan);
    plan->add_option("intent", options.file, "Intent file (schemas/intent.schema.json)")->required();
    plan->add_option("--output", options.output, "Write the plan to this file");
    auto* confirm = add("confirm", "Apply a plan; safe to repeat", runConfirm);
    confirm->add_option("plan", options.file, "Plan file")->required();
    confirm->add_flag("--accept-breaches", options.isAcceptingBreaches, "Apply the plan even if it has breaches");
    confirm->add_flag("--wait", options.isWaiting, "Show progress until in force on all routers");
    confirm->add_option("--wait-seconds", options.waitSeconds, "Time limit for --wait in seconds")->capture_default_str();
    add("show", "Show the stored configuration", runShow);
    add("status", "Show which routers have the configuration in force", runStatus);
    add("history", "List the plans that took effect, newest first", runHistory)->add_option("--limit", options.limit, "Number of plans")->capture_default_str();
    add("diff", "Show what changed since a replaced revision", runDiff)->add_option("revision", options.revision, "Replaced revision")->required();
    auto* undo = add("undo", "Plan the reversal of a plan", runUndo);
    undo->add_option("--plan", options.planIdentity, "Plan identity; the newest plan by default");
    undo->add_option("--by", options.operatorName, "Name of the operator")->required();
    undo->add_option("--reason", options.reason, "Reason")->required();
    undo->add_option("--output", options.output, "Write the plan to this file");
    auto* explain = add("explain", "Show how a request was handled, from the routers or from log files", runExplain);
    explain->add_option("request", options.request, "Request id")->required();
    explain->add_option("--logs", options.logFiles, "Log files of all instances, read instead of querying the routers");
    add("report", "Show the objectives, the error budget left and the causes of missed events", runReport)->add_option("--html", options.htmlFile, "Also write the report as an HTML page to this file");
    add("platform-status", "Show which instances on the users' platform have the stored configuration in force", runPlatformStatus);
    auto* check = add("platform-check", "Check a file before it is deployed to the users' platform", runPlatformCheck);
    check->add_option("kind", options.fileKind, "deploy, settings or configuration")->required()->check(CLI::IsMember({ "deploy", "settings", "configuration" }));
    check->add_option("file", options.file, "File to check")->required();
    auto* completion = app.add_subcommand("completion", "Print a shell completion script");
    completion->add_option("shell", options.shell, "bash")->required()->check(CLI::IsMember({ "bash" }));

    try {
        app.parse(argc, argv);
        if (const auto status = readClientSettings(options); !isOk(status))
            return fail(error(status));
        if (options.isCheckingSettings)
            return Success;
        if (completion->parsed())
            return printCompletion(app);
        for (const auto& [command, run] : commands) {
            if (command->parsed())
                return run(options);
        }
        std::cout << app.help();
        return Usage;
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? Success : Usage;
    }
}

}

int main(int argc, char** argv)
{
    try {
        return runProgram(argc, argv);
    } catch (const std::exception& problem) {
        std::cerr << "borageslip: " << problem.what() << '\n';
        return Refused;
    }
}
