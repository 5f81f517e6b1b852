#include <borageslip_configuration/borageslip_configuration.h>

#include <algorithm>
#include <cstdio>

using namespace borageslip;

namespace {

constexpr size_t repeats = 9;
// The target fleet has 5,000 engines, 1,900 accounts and 13,000 configuration changes per day.
constexpr double accountsPerEngine = 1900.0 / 5000;
constexpr double changesPerSecond = 13000.0 / 86400;

nlohmann::json documentOf(size_t engines)
{
    nlohmann::json document { { "plan", "0000000000000000" } };
    for (size_t i = 0; i < engines; ++i) {
        const auto id = "engine-" + std::to_string(i);
        document["engines"][id] = { { "address", "10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "." + std::to_string(i % 256) + ":8000" }, { "slots", 32 }, { "region", "region-" + std::to_string(i % 4) }, { "failure_domain", "domain-" + std::to_string(i % 9) }, { "weight", 1.0 } };
        document["models"]["model-" + std::to_string(i % 3)]["engines"].push_back(id);
    }
    for (size_t i = 0; i < std::max<size_t>(1, static_cast<size_t>(static_cast<double>(engines) * accountsPerEngine)); ++i)
        document["accounts"]["account-" + std::to_string(i)] = { { "key_sha256", { sha256Hex(std::to_string(i)) } }, { "requests_per_second", 20 }, { "weight", 1.0 } };
    return document;
}

template <typename Work>
double medianMilliseconds(Work work)
{
    std::vector<double> times;
    for (size_t i = 0; i < repeats; ++i) {
        const auto start = std::chrono::steady_clock::now();
        work();
        times.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
    }
    std::ranges::nth_element(times, times.begin() + repeats / 2);
    return times[repeats / 2];
}

}

int main()
{
    std::printf("| engines | accounts | document bytes | difference bytes | document B/s | difference B/s | build ms | patch and digest ms | parse and validate ms |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    for (const size_t engines : { 100, 300, 1000, 3000, 5000 }) {
        auto document = documentOf(engines);
        const auto before = value(FleetConfiguration::fromDocument(document));
        document["plan"] = "0123456789abcdef";
        document["accounts"]["account-0"]["requests_per_second"] = 25;
        const auto after = value(FleetConfiguration::fromDocument(document));
        std::vector<ConfigurationDifferences> peers(repeats);
        for (auto& peer : peers)
            peer.configurationApplied({ 1, before });
        size_t next = 0;
        const double build = medianMilliseconds([&] { peers[next++].configurationApplied({ 2, after }); });
        const auto whole = value(peers[0].responseFor(0));
        const auto difference = value(peers[0].responseFor(1));
        const AppliedConfiguration held { 1, before };
        const double patch = medianMilliseconds([&] { std::ignore = value(difference.resolveDocument(&held)); });
        const double parse = medianMilliseconds([&] { std::ignore = value(FleetConfiguration::parse(after->text())); });
        std::printf("| %zu | %zu | %zu | %zu | %.0f | %.1f | %.2f | %.2f | %.2f |\n", engines, document["accounts"].size(), whole.body.size(), difference.body.size(),
            static_cast<double>(whole.body.size()) * changesPerSecond, static_cast<double>(difference.body.size()) * changesPerSecond, build, patch, parse);
    }
    // The validator compiles each schema once and caches it; a different $comment forces a compilation in each call.
    auto schema = embeddedSchema("configuration");
    const auto smallest = documentOf(1);
    size_t number = 0;
    const double first = medianMilliseconds([&] {
        schema["$comment"] = ++number;
        std::ignore = validateAgainstSchema(smallest, schema);
    });
    const double again = medianMilliseconds([&] { std::ignore = validateAgainstSchema(smallest, schema); });
    std::printf("\nvalidation of a document with one engine: %.3f ms with a new schema, %.3f ms with a compiled one\n", first, again);
    return 0;
}
