#include "ExperimentTable.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>

namespace borageslip {

namespace {

    template <typename Metric>
    double meanOf(const ExperimentSeries& series, Metric metric)
    {
        double sum = 0;
        for (const auto& run : series.runs)
            sum += metric(run);
        return series.runs.empty() ? 0 : sum / static_cast<double>(series.runs.size());
    }

    double onTimeShare(const ExperimentOutcome& run)
    {
        return run.total().onTimeShare();
    }

    double halfRange(const ExperimentSeries& series)
    {
        const auto [least, most] = std::minmax_element(series.runs.begin(), series.runs.end(), [](const auto& first, const auto& second) { return onTimeShare(first) < onTimeShare(second); });
        return series.runs.empty() ? 0 : (onTimeShare(*most) - onTimeShare(*least)) / 2;
    }

    std::string formatNumber(double value, int digits)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.*f", digits, value);
        return text.data();
    }

    std::string row(std::span<const std::string> cells)
    {
        std::string text = "|";
        for (const auto& cell : cells)
            text += " " + cell + " |";
        return text + "\n";
    }

    nlohmann::json toJson(const ClassOutcome& outcome)
    {
        return { { "offered", outcome.offered }, { "on_time", outcome.onTime }, { "late", outcome.late }, { "timed_out", outcome.timedOut }, { "rejected", outcome.rejected }, { "failed", outcome.failed },
            { "left", outcome.gaveUp }, { "tokens_delivered", outcome.tokensDelivered } };
    }

    nlohmann::json toJson(const ExperimentOutcome& run)
    {
        nlohmann::json classes;
        for (const auto& [name, outcome] : run.classes)
            classes[name] = toJson(outcome);
        return { { "classes", classes }, { "tokens_generated", run.tokensGenerated }, { "tokens_prefilled", run.tokensPrefilled },
            { "tokens_prefilled_in_vain", run.tokensPrefillWasted }, { "tokens_reused", run.tokensReused }, { "tokens_shareable", run.tokensShareable }, { "tokens_least", run.tokensLeast },
            { "rejections", run.rejections }, { "repeats", run.retries }, { "preemptions", run.preemptions }, { "denials", run.denials },
            { "busiest_over_mean", run.busiestOverMean }, { "busiest_over_mean_highest", run.busiestOverMeanHighest }, { "first_token_p50_ms", run.firstTokenP50 },
            { "first_token_p99_ms", run.firstTokenP99 }, { "completion_p99_ms", run.completionP99 } };
    }

}

std::string experimentTable(std::span<const ExperimentSeries> all)
{
    std::string text = "| pattern | policy | on time | +/- | tokens delivered | rejections | failed | prefilled in vain | reuse | prefilled / least | busiest/mean | worst second | first token p50 ms | p99 ms | completion p99 ms | denials |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto& series : all) {
        const std::vector<std::string> cells {
            series.pattern,
            series.strategy,
            formatNumber(meanOf(series, onTimeShare), 3),
            formatNumber(halfRange(series), 3),
            formatNumber(meanOf(series, [](const auto& run) { return static_cast<double>(run.total().tokensDelivered); }), 0),
            formatNumber(meanOf(series, [](const auto& run) { return static_cast<double>(run.rejections); }), 0),
            formatNumber(meanOf(series, [](const auto& run) { return static_cast<double>(run.total().failed); }), 1),
            formatNumber(meanOf(series, [](const auto& run) { return run.wastedPrefillShare(); }), 3),
            formatNumber(meanOf(series, [](const auto& run) { return run.reuseShare(); }), 3),
            formatNumber(meanOf(series, [](const auto& run) { return run.prefillFactor(); }), 3),
            formatNumber(meanOf(series, [](const auto& run) { return run.busiestOverMean; }), 2),
            formatNumber(meanOf(series, [](const auto& run) { return run.busiestOverMeanHighest; }), 2),
            formatNumber(meanOf(series, [](const auto& run) { return run.firstTokenP50; }), 0),
            formatNumber(meanOf(series, [](const auto& run) { return run.firstTokenP99; }), 0),
            formatNumber(meanOf(series, [](const auto& run) { return run.completionP99; }), 0),
            formatNumber(meanOf(series, [](const auto& run) { return static_cast<double>(run.denials); }), 0),
        };
        text += row(cells);
    }
    return text;
}

std::string experimentClassTable(std::span<const ExperimentSeries> all)
{
    std::string text = "| pattern | policy | class | offered | on time | late | timed out | rejected | failed | left |\n|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto& series : all) {
        std::set<std::string> names;
        for (const auto& run : series.runs) {
            for (const auto& [name, outcome] : run.classes)
                names.insert(name);
        }
        for (const auto& name : names) {
            const auto mean = [&](int ClassOutcome::*count) {
                return meanOf(series, [&](const auto& run) {
                    const auto found = run.classes.find(name);
                    return found == run.classes.end() ? 0.0 : static_cast<double>(found->second.*count);
                });
            };
            const double offered = mean(&ClassOutcome::offered);
            std::vector<std::string> cells { series.pattern, series.strategy, name, formatNumber(offered, 0) };
            for (const auto count : { &ClassOutcome::onTime, &ClassOutcome::late, &ClassOutcome::timedOut, &ClassOutcome::rejected, &ClassOutcome::failed, &ClassOutcome::gaveUp })
                cells.push_back(formatNumber(offered == 0 ? 0 : mean(count) / offered, 3));
            text += row(cells);
        }
    }
    return text;
}

nlohmann::json experimentJson(std::span<const ExperimentSeries> all)
{
    auto list = nlohmann::json::array();
    for (const auto& series : all) {
        auto runs = nlohmann::json::array();
        for (const auto& run : series.runs)
            runs.push_back(toJson(run));
        list.push_back({ { "pattern", series.pattern }, { "policy", series.strategy }, { "runs", std::move(runs) } });
    }
    return list;
}

}
