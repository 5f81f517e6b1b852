#include <CLI/CLI.hpp>
#include <atomic>
#include <borageslip_experiment/borageslip_experiment.h>
#include <borageslip_load/borageslip_load.h>
#include <fstream>
#include <iostream>
#include <thread>

using namespace borageslip;

namespace {

struct RunOptions {
    std::string mix;
    std::string schema = BORAGESLIP_SCHEMAS "/load-mix.schema.json";
    std::vector<std::string> entries;
    std::string results;
    std::string history;
    std::string label = "run";
    uint64_t seed = 1;
    int64_t seconds = 30;
    size_t requests = 100'000;
    double rateFactor = 1;
    int64_t requestTimeout = 60;
    size_t maxOpen = 2000;
};

int fail(const Error& failure)
{
    std::cerr << failure.detail << '\n';
    return 2;
}

int runLoad(const RunOptions& options)
{
    const auto schema = readSettings(options.schema, nlohmann::json::object());
    if (!isOk(schema))
        return fail(error(schema));
    const auto document = readSettings(options.mix, value(schema));
    if (!isOk(document))
        return fail(error(document));
    const auto mix = loadMixFromJson(value(document));
    const ArrivalLimits arrivals { std::chrono::seconds(options.seconds), options.requests, options.rateFactor };
    const auto plan = planArrivals(mix, arrivals, options.seed);

    const SystemClock clock;
    DirectoryClient directory(options.entries, clock);
    HistoryWriter history(options.history);
    LoadResults results;
    LoadRunner::Limits limits;
    limits.maxOpen = options.maxOpen;
    limits.requestTimeout = std::chrono::seconds(options.requestTimeout);
    LoadRunner(mix, limits, directory, history, results, clock).run(plan);

    auto summary = results.summary();
    summary["label"] = options.label;
    summary["mix"] = mix.name;
    summary["seed"] = options.seed;
    summary["seconds"] = options.seconds;
    summary["rate_factor"] = options.rateFactor;
    summary["planned"] = plan.size();
    summary["directory_questions"] = directory.requestCount();
    std::cout << resultsTable(summary);
    if (!options.results.empty())
        std::ofstream(options.results) << summary.dump(2) << '\n';
    return 0;
}

struct ExperimentOptions {
    std::vector<std::string> patterns;
    std::vector<std::string> policies { "product" };
    std::string schema = BORAGESLIP_SCHEMAS "/load-pattern.schema.json";
    std::string results;
    uint64_t seeds = 100;
    size_t threads = 2;
    bool showsClasses = false;
};

Result<LoadPattern> readPattern(const std::string& file, const nlohmann::json& schema)
{
    const auto document = readSettings(file, schema);
    if (!isOk(document))
        return error(document);
    return loadPatternFromJson(value(document));
}

/** Runs all seeds of one pattern and policy. The outcomes do not depend on the number of threads. */
ExperimentSeries runSeeds(const LoadPattern& pattern, const PlacementStrategy& strategy, const ExperimentOptions& options)
{
    ExperimentSeries series { pattern.name, std::string(strategy.name), std::vector<ExperimentOutcome>(options.seeds) };
    std::atomic<uint64_t> next { 0 };
    std::vector<std::jthread> threads;
    for (size_t i = 0; i < options.threads; ++i) {
        threads.emplace_back([&] {
            for (auto seed = next++; seed < options.seeds; seed = next++)
                series.runs[seed] = PolicyExperiment(pattern, strategy, seed + 1).run();
        });
    }
    threads.clear();
    return series;
}

int runExperiment(const ExperimentOptions& options)
{
    const auto schema = readSettings(options.schema, nlohmann::json::object());
    if (!isOk(schema))
        return fail(error(schema));
    std::vector<ExperimentSeries> all;
    for (const auto& file : options.patterns) {
        const auto pattern = readPattern(file, value(schema));
        if (!isOk(pattern))
            return fail(error(pattern));
        for (const auto& name : options.policies) {
            const auto strategy = placementStrategy(name);
            if (!isOk(strategy))
                return fail(error(strategy));
            all.push_back(runSeeds(value(pattern), value(strategy), options));
        }
    }
    std::cout << experimentTable(all);
    if (options.showsClasses)
        std::cout << '\n'
                  << experimentClassTable(all);
    if (!options.results.empty())
        std::ofstream(options.results) << experimentJson(all).dump(2) << '\n';
    return 0;
}

int compare(const std::vector<std::string>& files)
{
    std::vector<nlohmann::json> results;
    for (const auto& file : files) {
        const auto result = readSettings(file, nlohmann::json::object());
        if (!isOk(result))
            return fail(error(result));
        results.push_back(value(result));
    }
    std::cout << compareResults(results);
    return 0;
}

}

int main(int argc, char** argv)
{
    CLI::App app("Load generator and placement experiments for a borageslip fleet", "borageslip-load");
    app.set_version_flag("--version", BORAGESLIP_VERSION);
    app.require_subcommand(1);
    RunOptions options;
    auto* run = app.add_subcommand("run", "Send the requests of a load mix and record the responses");
    run->add_option("--mix", options.mix, "Load mix file")->required();
    run->add_option("--schema", options.schema, "JSON schema of the load mix file")->capture_default_str();
    run->add_option("--entry", options.entries, "Address of an entry instance as ip:port; repeatable")->required();
    run->add_option("--results", options.results, "Results file to write");
    run->add_option("--history", options.history, "History file to write");
    run->add_option("--label", options.label, "Label of the run in the output of compare");
    run->add_option("--seed", options.seed, "Random seed of the arrivals");
    run->add_option("--seconds", options.seconds, "Time over which requests arrive, in seconds")->check(CLI::Range(1, 86'400));
    run->add_option("--requests", options.requests, "Maximum number of requests")->check(CLI::Range(1, 10'000'000));
    run->add_option("--rate-factor", options.rateFactor, "Factor applied to the rate of the mix")->check(CLI::Range(0.0001, 10'000.0));
    run->add_option("--request-timeout-s", options.requestTimeout, "Request timeout in seconds")->check(CLI::Range(1, 3600));
    run->add_option("--max-open", options.maxOpen, "Maximum number of concurrent requests")->check(CLI::Range(1, 4000));
    std::vector<std::string> files;
    auto* comparison = app.add_subcommand("compare", "Print the medians and spread of results files, with a column for each label");
    comparison->add_option("files", files, "Results files")->required();
    ExperimentOptions experimentOptions;
    auto* experiment = app.add_subcommand("experiment", "Compare placement policies on load patterns with simulated engines, without a network");
    experiment->add_option("--pattern", experimentOptions.patterns, "Load pattern file; repeatable")->required();
    experiment->add_option("--policy", experimentOptions.policies, "Placement policy; repeatable: product, coordinated, single-flight, all-knowing, least-load, hashing, random")->capture_default_str();
    experiment->add_option("--schema", experimentOptions.schema, "JSON schema of the pattern files")->capture_default_str();
    experiment->add_option("--seeds", experimentOptions.seeds, "Number of runs of each pattern and policy")->check(CLI::Range(1, 100'000))->capture_default_str();
    experiment->add_option("--threads", experimentOptions.threads, "Number of concurrent runs")->check(CLI::Range(1, 64))->capture_default_str();
    experiment->add_flag("--classes", experimentOptions.showsClasses, "Also print the outcomes of each request class");
    experiment->add_option("--results", experimentOptions.results, "Results file to write");
    CLI11_PARSE(app, argc, argv);
    if (experiment->parsed())
        return runExperiment(experimentOptions);
    return run->parsed() ? runLoad(options) : compare(files);
}
