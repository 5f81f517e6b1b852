#include "LoadResults.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>

namespace borageslip {

namespace {

    // Limits the gap samples of one group to some tens of megabytes.
    constexpr size_t maxSamples = 10'000'000;

    nlohmann::json percentiles(std::vector<float>& samples)
    {
        const auto count = samples.size();
        return {
            { "count", count },
            { "p50", percentile(samples, 50) },
            { "p95", percentile(samples, 95) },
            { "p99", percentile(samples, 99) },
            { "max", percentile(samples, 100) },
        };
    }

    void collectMetrics(const nlohmann::json& value, const std::string& path, std::map<std::string, double>& metrics)
    {
        if (value.is_number())
            metrics[path] = value.get<double>();
        if (!value.is_object())
            return;
        for (const auto& [name, member] : value.items())
            collectMetrics(member, path.empty() ? name : path + "/" + name, metrics);
    }

}

double percentile(std::vector<float>& samples, double percent)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    const auto rank = static_cast<size_t>(std::ceil(percent / 100 * static_cast<double>(samples.size())));
    return samples[std::clamp<size_t>(rank, 1, samples.size()) - 1];
}

void LoadResults::Group::add(const RequestOutcome& outcome)
{
    ++requests;
    ++outcomes[outcome.outcome];
    notRun += outcome.isNotRun;
    if (!outcome.errorKind.empty())
        ++errorKinds[outcome.errorKind];
    if (outcome.outcome == "ok") {
        tokens += outcome.tokens;
        promptTokens += outcome.promptTokens;
        cachedTokens += outcome.cachedTokens;
        total.push_back(static_cast<float>(outcome.totalMilliseconds));
    }
    if (outcome.firstTokenMilliseconds >= 0)
        firstToken.push_back(static_cast<float>(outcome.firstTokenMilliseconds));
    if (gaps.size() < maxSamples)
        gaps.insert(gaps.end(), outcome.gapMilliseconds.begin(), outcome.gapMilliseconds.end());
}

nlohmann::json LoadResults::Group::summary()
{
    return {
        { "requests", requests },
        { "ok_share", requests == 0 ? 0.0 : static_cast<double>(outcomes["ok"]) / static_cast<double>(requests) },
        { "outcomes", outcomes },
        { "error_kinds", errorKinds },
        { "not_run", notRun },
        { "tokens", tokens },
        { "reuse", promptTokens == 0 ? 0.0 : static_cast<double>(cachedTokens) / static_cast<double>(promptTokens) },
        { "first_token_ms", percentiles(firstToken) },
        { "gap_ms", percentiles(gaps) },
        { "total_ms", percentiles(total) },
    };
}

void LoadResults::add(const RequestOutcome& outcome)
{
    const std::lock_guard lock(m_mutex);
    m_all.add(outcome);
    m_classes[outcome.requestClass].add(outcome);
    m_accounts[outcome.account].add(outcome);
}

nlohmann::json LoadResults::summary()
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json result { { "all", m_all.summary() }, { "classes", nlohmann::json::object() }, { "accounts", nlohmann::json::object() } };
    for (auto& [name, group] : m_classes)
        result["classes"][name] = group.summary();
    for (auto& [name, group] : m_accounts)
        result["accounts"][name] = group.summary();
    return result;
}

std::string resultsTable(const nlohmann::json& results)
{
    std::ostringstream table;
    table << std::left << std::setw(22) << "class" << std::right << std::setw(9) << "requests" << std::setw(8) << "ok %" << std::setw(8) << "reuse";
    for (const char* column : { "ttft50", "ttft95", "ttft99", "gap50", "gap99", "total50", "total99" })
        table << std::setw(9) << column;
    table << '\n'
          << std::fixed;
    const auto row = [&](const std::string& name, const nlohmann::json& group) {
        table << std::left << std::setw(22) << name << std::right << std::setw(9) << group["requests"].get<uint64_t>();
        table << std::setprecision(1) << std::setw(8) << group["ok_share"].get<double>() * 100 << std::setprecision(3) << std::setw(8) << group["reuse"].get<double>() << std::setprecision(1);
        for (const char* metric : { "/first_token_ms/p50", "/first_token_ms/p95", "/first_token_ms/p99", "/gap_ms/p50", "/gap_ms/p99", "/total_ms/p50", "/total_ms/p99" })
            table << std::setw(9) << group.at(nlohmann::json::json_pointer(metric)).get<double>();
        table << '\n';
    };
    for (const auto& [name, group] : results["classes"].items())
        row(name, group);
    row("all", results["all"]);
    for (const auto& [kind, count] : results["all"]["error_kinds"].items())
        table << "  " << kind << ": " << count << '\n';
    return table.str();
}

std::string compareResults(std::span<const nlohmann::json> results)
{
    std::map<std::string, std::map<std::string, std::vector<double>>> metrics; // By metric path, then by label.
    std::map<std::string, size_t> runs;
    for (const auto& result : results) {
        const auto label = result.value("label", "run");
        ++runs[label];
        std::map<std::string, double> runMetrics;
        for (const char* part : { "all", "classes" })
            collectMetrics(result.value(part, nlohmann::json::object()), part, runMetrics);
        for (const auto& [path, value] : runMetrics)
            metrics[path][label].push_back(value);
    }
    std::ostringstream table;
    table << std::left << std::setw(48) << "figure: median (lowest to highest)" << std::right;
    for (const auto& [label, count] : runs)
        table << std::setw(36) << (label + ", " + std::to_string(count) + " runs");
    table << '\n'
          << std::fixed << std::setprecision(3);
    for (auto& [path, byLabel] : metrics) {
        table << std::left << std::setw(48) << path << std::right;
        for (const auto& [label, count] : runs) {
            auto& values = byLabel[label];
            std::ostringstream cell;
            cell << std::fixed << std::setprecision(3);
            std::sort(values.begin(), values.end());
            if (values.empty())
                cell << "-";
            else
                cell << (values[(values.size() - 1) / 2] + values[values.size() / 2]) / 2 << " (" << values.front() << " to " << values.back() << ")";
            table << std::setw(36) << cell.str();
        }
        table << '\n';
    }
    return table.str();
}

}
