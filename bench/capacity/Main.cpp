#include <CLI/CLI.hpp>
#include <algorithm>
#include <borageslip_daemon/borageslip_daemon.h>
#include <borageslip_request/borageslip_request.h>
#include <cstdio>
#include <ctime>
#include <deque>
#include <iostream>
#include <malloc.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr size_t targetMembers = 330;
constexpr size_t regionCount = 4;
constexpr size_t domainCount = 9;
constexpr size_t modelCount = 3;

double heapKilobytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1024;
}

double processorMilliseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_nsec) / 1e6;
}

/** Returns the median processor time of several calls; other processes affect it less than the elapsed time. */
template <typename Call>
double medianMilliseconds(Call&& call, size_t count = 7)
{
    std::vector<double> times;
    for (size_t i = 0; i < count; ++i) {
        const auto before = processorMilliseconds();
        call();
        times.push_back(processorMilliseconds() - before);
    }
    std::sort(times.begin(), times.end());
    return times[count / 2];
}

std::string padded(const char* prefix, size_t number)
{
    auto digits = std::to_string(number);
    return std::string(prefix) + std::string(digits.size() < 4 ? 4 - digits.size() : 0, '0') + digits;
}

std::string regionName(size_t number)
{
    return "region-" + std::to_string(number % regionCount);
}

nlohmann::json makeDocument(size_t engines, size_t accounts)
{
    nlohmann::json document { { "plan", "120000-0123456789abcdef0123456789abcdef" }, { "models", nlohmann::json::object() }, { "engines", nlohmann::json::object() }, { "accounts", nlohmann::json::object() } };
    for (size_t i = 0; i < modelCount; ++i)
        document["models"]["model-" + std::to_string(i)] = { { "version", "2026-11" }, { "engines", nlohmann::json::array() }, { "minimum_engines", 1 } };
    for (size_t i = 0; i < engines; ++i) {
        const auto id = padded("engine-", i);
        document["engines"][id] = { { "address", "10.11." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":8000" }, { "region", regionName(i) }, { "failure_domain", "domain-" + std::to_string(i % domainCount) }, { "slots", 16 } };
        document["models"]["model-" + std::to_string(i % modelCount)]["engines"].push_back(id);
    }
    for (size_t i = 0; i < accounts; ++i)
        document["accounts"][padded("account-", i)] = { { "key_sha256", { sha256Hex(padded("key-", i)) } }, { "requests_per_second", 20.0 } };
    return document;
}

std::shared_ptr<const std::vector<Member>> makeMembers(size_t count)
{
    auto members = std::make_shared<std::vector<Member>>();
    for (size_t i = 0; i < count; ++i) {
        Member member;
        member.id = MemberId(padded("router-", i));
        member.incarnation = member.startIncarnation = 1'780'000'000'000 + i;
        member.region = Region(regionName(i));
        member.failureDomain = FailureDomain("domain-" + std::to_string(i % domainCount));
        member.callerAddress = member.innerAddress = member.gossipAddress = member.operatorAddress = "10.12.1.1:8000";
        members->push_back(std::move(member));
    }
    return members;
}

FleetConfiguration::Pointer parsed(std::string_view text)
{
    auto result = FleetConfiguration::parse(text);
    if (!isOk(result)) {
        std::cerr << error(result).detail << '\n';
        std::exit(1);
    }
    return value(std::move(result));
}

void print(const nlohmann::json& row)
{
    std::cout << row.dump() << std::endl;
}

/** Runs a measurement in a child process, so that memory left over from the previous one is not counted. */
template <typename Point>
void inChild(Point&& point)
{
    std::cout.flush();
    const auto child = fork();
    if (child == 0) {
        point();
        std::cout.flush();
        _exit(0);
    }
    int status = 0;
    waitpid(child, &status, 0);
}

void measureConfiguration()
{
    constexpr std::array<std::pair<size_t, size_t>, 6> sizes { { { 100, 190 }, { 500, 400 }, { 1000, 700 }, { 2000, 1000 }, { 3500, 1500 }, { 5000, 1900 } } };
    for (const auto& [engines, accounts] : sizes) {
        inChild([engines = engines, accounts = accounts] {
            const auto text = makeDocument(engines, accounts).dump();
            parsed(R"({"models":{},"accounts":{}})"); // Compiles the schema, which is done once per process and must not be measured.
            malloc_trim(0);
            const auto heapBefore = heapKilobytes();
            const auto configuration = parsed(text);
            const auto heap = heapKilobytes() - heapBefore;
            const auto parse = medianMilliseconds([&] { parsed(text); }, 5);
            const auto members = makeMembers(targetMembers);
            const Region region(regionName(0));
            const auto viewBefore = heapKilobytes();
            const FleetView view(configuration, members, region);
            const auto viewHeap = heapKilobytes() - viewBefore;
            const auto build = medianMilliseconds([&] { FleetView again(configuration, members, region); });
            EngineHome home(members->front().id);
            home.update(view);
            const auto update = medianMilliseconds([&] { home.update(view); });
            print({ { "engines", engines }, { "accounts", accounts }, { "document_kb", static_cast<double>(text.size()) / 1000 }, { "base64_kb", static_cast<double>(text.size()) / 750 },
                { "parse_ms", parse }, { "resident_kb", heap }, { "view_ms", build }, { "view_kb", viewHeap }, { "home_update_ms", update }, { "home_engines", home.engines().size() } });
        });
    }
}

void measureShares()
{
    for (const size_t accounts : { 50, 190, 475, 950, 1900 }) {
        inChild([accounts] {
            const SystemClock clock;
            const auto members = makeMembers(targetMembers);
            const auto configuration = parsed(makeDocument(100, accounts).dump());
            const FleetView view(configuration, members, Region(regionName(0)));
            const auto heapBefore = heapKilobytes();
            AccountLimits entry(clock, members->front().id);
            const auto useAll = [&] {
                for (const auto& [id, account] : configuration->accounts())
                    entry.acquire(id, account);
            };
            useAll();
            const auto heap = heapKilobytes() - heapBefore;
            std::vector<AccountLimits::Report> reports;
            const auto take = medianMilliseconds([&] { reports = entry.takeReports(view); });
            std::vector<AccountLimits::AccountRate> rows;
            for (const auto& report : reports)
                rows.insert(rows.end(), report.rows.begin(), report.rows.end());
            std::string bytes;
            const auto encode = medianMilliseconds([&] { bytes = AccountLimits::encode(members->front().id, rows); });
            AccountLimits home(clock, members->back().id);
            const auto homeBefore = heapKilobytes();
            home.allocateShares(view, members->front().id, rows);
            const auto homeHeap = heapKilobytes() - homeBefore;
            const auto share = medianMilliseconds([&] { home.allocateShares(view, members->front().id, rows); }, 3);
            print({ { "accounts", accounts }, { "homes_reported_to", reports.size() }, { "take_ms", take }, { "encode_ms", encode }, { "report_bytes", bytes.size() },
                { "share_ms", share }, { "resident_kb", heap }, { "home_kb", homeHeap } });
        });
    }
}

void measureOutcomes()
{
    for (const size_t count : { 1000, 2000, 5000, 10000, 20000 }) {
        inChild([count] {
            const SystemClock clock;
            OutcomeTable::Settings settings;
            OutcomeTable table(clock, "router-0001.1780000000000", settings);
            const std::string digest(64, 'd');
            const RecordedOutcome outcome { 201, { { "content-type", "application/json" }, { "x-service", "booking" } }, std::string(200, 'b') };
            const auto before = heapKilobytes();
            const auto cpuBefore = processorMilliseconds();
            for (size_t i = 0; i < count; ++i) {
                const CallKey key { AccountId(padded("account-", i % 1900)), "t1.router-0001.1780000000000." + std::string(32, 'r') + padded("", i) + std::string(32, 'm') };
                const auto admission = table.begin(key, digest, 1'780'000'000'000 + i);
                if (!std::holds_alternative<OutcomeTable::Started>(admission))
                    std::cerr << "the outcome table did not start call " << i << '\n';
                table.markSent(key);
                table.finish(key, outcome);
            }
            const auto cpu = processorMilliseconds() - cpuBefore;
            const auto heap = heapKilobytes() - before;
            table.close();
            size_t handover = 0;
            for (const auto& part : table.exportParts(1 << 20))
                handover += part.size();
            print({ { "outcomes", count }, { "heap_kb", heap }, { "counted_kb", static_cast<double>(table.bytes()) / 1024 }, { "handover_kb", static_cast<double>(handover) / 1000 }, { "cpu_ms", cpu } });
        });
    }
}

/** Measures the age of the load sums that members know of each other, with member tables that exchange datagrams in
    simulated time. */
void measureFreshness(size_t gossipBytes)
{
    for (const size_t count : { 10, 20, 40, 80, 160 }) {
        inChild([count, gossipBytes] {
            constexpr auto step = 100ms;
            constexpr int steps = 3000;
            constexpr int settledSteps = 2000;
            TimePoint now {};
            std::vector<std::unique_ptr<ControlBudget>> budgets;
            std::vector<std::unique_ptr<MemberTable>> tables;
            std::map<std::string, size_t> indexOf;
            const auto members = makeMembers(count);
            MemberTable::Settings settings;
            settings.gossipBytes = gossipBytes;
            for (size_t i = 0; i < count; ++i) {
                auto self = (*members)[i];
                self.gossipAddress = "10.12." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7000";
                indexOf[self.gossipAddress] = i;
                // Large enough for all members to join at once within the run; the steady rate is far below it.
                budgets.push_back(std::make_unique<ControlBudget>(ControlBudget::Settings { 200000, 2000ms }, now));
                tables.push_back(std::make_unique<MemberTable>(self, settings, SwimCodec("bench"), *budgets.back(), i, now));
                if (i > 0)
                    tables.back()->setSeeds({ tables.front()->self().gossipAddress });
            }
            std::vector<double> ages;
            double sent = 0; // Bytes per second and member, after the settling time.
            std::deque<std::pair<size_t, OutgoingDatagram>> inFlight;
            for (int tick = 0; tick < steps; ++tick) {
                now += step;
                const auto milliseconds = static_cast<uint32_t>((tick + 1) * step.count());
                for (size_t i = 0; i < count; ++i) {
                    tables[i]->gossip().publishLoads(std::array { ModelLoad { ModelId("a"), milliseconds, 1 }, ModelLoad { ModelId("b"), 5, 5 }, ModelLoad { ModelId("c"), 5, 5 } });
                    for (auto& datagram : tables[i]->tick(now))
                        inFlight.emplace_back(i, std::move(datagram));
                }
                while (!inFlight.empty()) {
                    const auto [from, datagram] = std::move(inFlight.front());
                    inFlight.pop_front();
                    if (tick >= settledSteps)
                        sent += static_cast<double>(datagram.bytes.size()) / (static_cast<double>((steps - settledSteps) * count) * 0.1);
                    const auto to = indexOf.at(datagram.to);
                    for (auto& reply : tables[to]->receive(datagram.bytes, tables[from]->self().gossipAddress, now))
                        inFlight.emplace_back(to, std::move(reply));
                }
                if (tick < settledSteps || tick % 50 != 0)
                    continue;
                for (size_t i = 0; i < count; i += std::max<size_t>(1, count / 10)) {
                    for (const auto& other : *members) {
                        const auto published = tables[i]->gossip().meanLoad(ModelId("a"), [&](const MemberId& id) { return id == other.id; });
                        if (published && other.id != tables[i]->self().id)
                            ages.push_back((milliseconds - *published) / 1000);
                    }
                }
            }
            std::sort(ages.begin(), ages.end());
            double sum = 0;
            for (const auto age : ages)
                sum += age;
            print({ { "members", count }, { "known", tables.back()->members().size() }, { "sent_bytes_s", sent }, { "mean_age_s", sum / static_cast<double>(ages.size()) }, { "median_age_s", ages[ages.size() / 2] }, { "p99_age_s", ages[ages.size() * 99 / 100] } });
        });
    }
}

int sendUsage(const std::string& peer, const std::string& key, size_t calls, size_t rowCount)
{
    InnerClient::Options options;
    options.key = key;
    InnerClient client(options);
    std::vector<AccountLimits::AccountRate> rows;
    for (size_t i = 0; i < rowCount; ++i)
        rows.push_back({ AccountId(padded("account-", i)), 1.5 });
    for (size_t call = 0; call < calls; ++call) {
        const auto stream = client.start(peer, { "/inner/usage", {}, AccountLimits::encode(MemberId("entry-1"), rows) });
        const auto response = readAll(*stream, 1 << 20, 2000ms);
        if (!isOk(response)) {
            std::cerr << error(response).detail << '\n';
            return 1;
        }
        // Longer than validateAfterInactivity, so that the connection is validated first, as for reports once a second.
        if (call + 1 < calls)
            std::this_thread::sleep_for(1050ms);
    }
    return 0;
}

}

int main(int argc, char** argv)
{
    CLI::App app("Measures processor time, memory and message sizes of single components; prints one JSON object per measurement");
    app.require_subcommand(1);
    app.add_subcommand("configuration", "Configuration size, parsing time, memory and FleetView by number of engines and accounts")->callback(measureConfiguration);
    app.add_subcommand("shares", "Usage reports and rate shares by number of accounts with a rate limit")->callback(measureShares);
    app.add_subcommand("outcomes", "Memory and processor time of the outcome table by number of recorded outcomes")->callback(measureOutcomes);
    size_t gossipBytes = MemberTable::Settings {}.gossipBytes;
    auto* freshness = app.add_subcommand("freshness", "Age of gossiped load sums by number of members, in simulated time");
    freshness->add_option("--board-bytes", gossipBytes, "Bytes for gossiped values in one datagram");
    freshness->callback([&] { measureFreshness(gossipBytes); });
    auto* usage = app.add_subcommand("usage-calls", "Send usage reports to the inner address of a daemon, one per second");
    std::string peer;
    std::string key;
    size_t calls = 1;
    size_t rows = 1;
    usage->add_option("--peer", peer, "Inner address of the daemon as ip:port")->required();
    usage->add_option("--key", key, "Key for the inner address")->required();
    usage->add_option("--calls", calls, "Number of reports")->check(CLI::Range(1, 30));
    usage->add_option("--rows", rows, "Number of accounts in each report")->check(CLI::Range(1, 10000));
    CLI11_PARSE(app, argc, argv);
    return usage->parsed() ? sendUsage(peer, key, calls, rows) : 0;
}
