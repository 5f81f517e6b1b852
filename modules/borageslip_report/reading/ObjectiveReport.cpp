#include "ObjectiveReport.h"

#include <algorithm>

namespace borageslip {

namespace {

    using CauseTable = std::map<std::string, BurnCause>;

    WindowCounts parseWindow(const nlohmann::json& json) { return { json.at("met").get<uint64_t>(), json.at("missed").get<uint64_t>() }; }

    void add(WindowCounts& sum, const WindowCounts& counts)
    {
        sum.met += counts.met;
        sum.missed += counts.missed;
    }

    struct PartialRow {
        ObjectiveRow row;
        CauseTable kinds;
        CauseTable accounts;
        CauseTable engines;
    };

    /** Scrape of one router, converted to the types of the report. The constructor throws nlohmann::json::exception on a
        malformed response. */
    struct ParsedInstance {
        explicit ParsedInstance(const InstanceScrape& scrape)
            : uptime(scrape.objectives.at("uptime_s").get<int64_t>())
            , interval(scrape.objectives.at("interval_s").get<int64_t>())
        {
            for (const auto& entry : scrape.objectives.at("objectives"))
                rows.push_back(parseRow(entry));
        }

        static PartialRow parseRow(const nlohmann::json& entry)
        {
            PartialRow partial;
            auto& row = partial.row;
            for (const auto* field : { "name", "service", "account", "priority", "first_token_ms", "between_tokens_ms", "target" })
                row.definition[field] = entry.at(field);
            row.name = entry.at("name");
            row.target = entry.at("target");
            row.fast = parseWindow(entry.at("fast"));
            row.slow = parseWindow(entry.at("slow"));
            row.budget = parseWindow(entry.at("budget"));
            for (const auto& counts : entry.at("intervals"))
                row.intervals.push_back({ counts.at(0).get<uint64_t>(), counts.at(1).get<uint64_t>() });
            const auto& causes = entry.at("causes");
            partial.kinds = parseCauses(causes.at("kinds"));
            partial.accounts = parseCauses(causes.at("accounts"));
            partial.engines = parseCauses(causes.at("engines"));
            return partial;
        }

        static CauseTable parseCauses(const nlohmann::json& json)
        {
            CauseTable table;
            for (const auto& [name, counts] : json.items())
                table[name] = { name, counts.at("fast").get<uint64_t>(), counts.at("slow").get<uint64_t>() };
            return table;
        }

        std::chrono::seconds uptime;
        std::chrono::seconds interval;
        std::vector<PartialRow> rows;
    };

    void add(CauseTable& sum, const CauseTable& causes)
    {
        for (const auto& [name, cause] : causes) {
            auto& entry = sum[name];
            entry.name = name;
            entry.fast += cause.fast;
            entry.slow += cause.slow;
        }
    }

    void add(PartialRow& sum, const PartialRow& other)
    {
        add(sum.row.fast, other.row.fast);
        add(sum.row.slow, other.row.slow);
        add(sum.row.budget, other.row.budget);
        sum.row.intervals.resize(std::max(sum.row.intervals.size(), other.row.intervals.size()));
        // Aligns the intervals at the end, since the last one is the current one on every router.
        for (size_t fromEnd = 1; fromEnd <= other.row.intervals.size(); ++fromEnd)
            add(sum.row.intervals[sum.row.intervals.size() - fromEnd], other.row.intervals[other.row.intervals.size() - fromEnd]);
        add(sum.kinds, other.kinds);
        add(sum.accounts, other.accounts);
        add(sum.engines, other.engines);
    }

    std::vector<BurnCause> largestCauses(const CauseTable& causes)
    {
        std::vector<BurnCause> top;
        top.reserve(causes.size());
        for (const auto& [name, cause] : causes)
            top.push_back(cause);
        std::ranges::stable_sort(top, std::greater {}, &BurnCause::slow);
        top.resize(std::min(top.size(), ObjectiveReport::maxCauses));
        return top;
    }

    nlohmann::json countsToJson(const ObjectiveRow& row, const WindowCounts& counts)
    {
        const auto rate = row.burnRate(counts);
        return { { "met", counts.met }, { "missed", counts.missed }, { "burn_rate", rate ? nlohmann::json(*rate) : nlohmann::json() } };
    }

    nlohmann::json causesToJson(const std::vector<BurnCause>& causes)
    {
        auto list = nlohmann::json::array();
        for (const auto& cause : causes)
            list.push_back({ { "name", cause.name }, { "missed_fast", cause.fast }, { "missed_slow", cause.slow } });
        return list;
    }

    nlohmann::json histogramToJson(const MergedHistogram& histogram)
    {
        auto boundaries = nlohmann::json::array();
        for (size_t i = 0; i + 1 < histogram.boundaries().size(); ++i)
            boundaries.push_back(histogram.boundaries()[i]);
        return { { "boundaries_s", boundaries }, { "cumulative", histogram.cumulative() } };
    }

}

std::optional<double> ObjectiveRow::burnRate(const WindowCounts& counts) const
{
    if (counts.total() == 0)
        return std::nullopt;
    return static_cast<double>(counts.missed) / static_cast<double>(counts.total()) / (1 - target);
}

std::optional<double> ObjectiveRow::budgetLeft() const
{
    const auto used = burnRate(budget);
    return used ? std::optional(1 - *used) : std::nullopt;
}

std::string ObjectiveRow::scope() const
{
    std::string text;
    for (const auto* field : { "service", "account", "priority" }) {
        if (!definition.at(field).is_null())
            text += std::string(text.empty() ? "" : ", ") + field + " " + (definition[field].is_string() ? definition[field].get<std::string>() : definition[field].dump());
    }
    return text.empty() ? "all" : text;
}

ObjectiveReport ObjectiveReport::merge(std::span<const InstanceScrape> scrapes)
{
    ObjectiveReport report;
    std::vector<std::string> order;
    std::map<std::string, PartialRow> rows;
    for (const auto& scrape : scrapes) {
        const auto exclude = [&](const std::string& reason) { report.failures.emplace_back(scrape.address, reason); };
        if (!scrape.failure.empty()) {
            exclude(scrape.failure);
            continue;
        }
        try {
            const ParsedInstance instance(scrape);
            const auto firstToken = MergedHistogram::parse(scrape.metrics, "borageslip_first_token_seconds");
            const auto betweenTokens = MergedHistogram::parse(scrape.metrics, "borageslip_between_tokens_seconds");
            if (!isOk(firstToken) || !isOk(betweenTokens)) {
                exclude(error(isOk(firstToken) ? betweenTokens : firstToken).detail);
                continue;
            }
            auto mergedFirst = report.firstToken;
            auto mergedBetween = report.betweenTokens;
            if (!isOk(mergedFirst.add(value(firstToken))) || !isOk(mergedBetween.add(value(betweenTokens)))) {
                exclude("its histograms have different bucket boundaries than the other routers");
                continue;
            }
            report.firstToken = std::move(mergedFirst);
            report.betweenTokens = std::move(mergedBetween);
            ++report.instances;
            report.longestUptime = std::max(report.longestUptime, instance.uptime);
            report.interval = instance.interval;
            for (const auto& partial : instance.rows) {
                const auto key = partial.row.definition.dump();
                const auto [found, isNew] = rows.try_emplace(key, partial);
                if (isNew)
                    order.push_back(key);
                else
                    add(found->second, partial);
            }
        } catch (const nlohmann::json::exception&) {
            exclude("malformed response");
        }
    }
    for (const auto& key : order) {
        auto& partial = rows.at(key);
        partial.row.kinds = largestCauses(partial.kinds);
        partial.row.accounts = largestCauses(partial.accounts);
        partial.row.engines = largestCauses(partial.engines);
        report.objectives.push_back(std::move(partial.row));
    }
    return report;
}

nlohmann::json ObjectiveReport::toJson() const
{
    nlohmann::json json {
        { "instances", instances },
        { "longest_uptime_s", longestUptime.count() },
        { "objectives", nlohmann::json::array() },
        { "failures", nlohmann::json::array() },
        { "first_token", histogramToJson(firstToken) },
        { "between_tokens", histogramToJson(betweenTokens) },
    };
    for (const auto& row : objectives) {
        auto entry = row.definition;
        entry["fast"] = countsToJson(row, row.fast);
        entry["slow"] = countsToJson(row, row.slow);
        entry["budget"] = countsToJson(row, row.budget);
        const auto left = row.budgetLeft();
        entry["budget_left"] = left ? nlohmann::json(*left) : nlohmann::json();
        entry["causes"] = { { "kinds", causesToJson(row.kinds) }, { "accounts", causesToJson(row.accounts) }, { "engines", causesToJson(row.engines) } };
        json["objectives"].push_back(std::move(entry));
    }
    for (const auto& [address, reason] : failures)
        json["failures"].push_back({ { "address", address }, { "reason", reason } });
    return json;
}

}
