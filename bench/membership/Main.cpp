#include <CLI/CLI.hpp>
#include <borageslip_core/time/SystemClock.h>
#include <borageslip_membership/borageslip_membership.h>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

struct Row {
    double members = 0;
    double known = 0; ///< Mean number of members known to a member at the end.
    double sent = 0; ///< Bytes per second and member.
    double received = 0;
    double cpu = 0; ///< Milliseconds of processor time per second and member.
    double memory = 0; ///< Resident kilobytes per member, without those of the process before the services start.
};

double residentKilobytes()
{
    size_t total = 0;
    size_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

double processorMilliseconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto milliseconds = [](const timeval& time) { return static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_usec) / 1000; };
    return milliseconds(usage.ru_utime) + milliseconds(usage.ru_stime);
}

// Large enough for all members to join at once within the bounded run; the steady rate is far below it.
constexpr ControlBudget::Settings wideBudget { 200000, 2000ms };

Row measure(size_t count, std::chrono::seconds settle, std::chrono::seconds duration)
{
    const auto emptyMemory = residentKilobytes();
    const SystemClock clock;
    std::vector<std::unique_ptr<ControlBudget>> budgets;
    std::vector<std::unique_ptr<MembershipService>> services;
    for (size_t i = 0; i < count; ++i) {
        MembershipService::Settings settings;
        settings.self.id = MemberId("router-" + std::to_string(i));
        settings.self.startIncarnation = 1;
        settings.self.region = Region("region-" + std::to_string(i % 4));
        settings.self.failureDomain = FailureDomain("domain-" + std::to_string(i % 9));
        settings.self.gossipAddress = "127.0.0.1:0";
        settings.self.callerAddress = settings.self.innerAddress = settings.self.operatorAddress = "127.0.0.1:8000";
        settings.signingKey = "bench";
        if (!services.empty())
            settings.seeds = { services.front()->self().gossipAddress };
        budgets.push_back(std::make_unique<ControlBudget>(wideBudget, clock.now()));
        auto started = MembershipService::start(settings, *budgets.back(), clock, nullptr);
        if (!isOk(started)) {
            std::fprintf(stderr, "%s\n", error(started).detail.c_str());
            break;
        }
        services.push_back(value(std::move(started)));
    }
    std::this_thread::sleep_for(settle);
    const auto traffic = [&] {
        std::pair<double, double> bytes;
        for (size_t i = 0; i < services.size(); ++i) {
            for (size_t kind = 0; kind < ControlBudget::kindCount; ++kind)
                bytes.first += static_cast<double>(budgets[i]->bytesSpent(static_cast<ControlKind>(kind)));
            bytes.second += static_cast<double>(services[i]->bytesReceived());
        }
        return bytes;
    };
    const auto begin = clock.now();
    const auto before = traffic();
    const auto cpuBefore = processorMilliseconds();
    for (uint32_t second = 0; second < static_cast<uint32_t>(duration.count()); ++second) {
        for (auto& service : services)
            service->publishLoads(std::array { ModelLoad { ModelId("a"), second, 5 }, ModelLoad { ModelId("b"), second, 5 }, ModelLoad { ModelId("c"), second, 5 } });
        std::this_thread::sleep_for(1s);
    }
    const auto after = traffic();
    const auto seconds = std::chrono::duration<double>(clock.now() - begin).count();
    const auto n = static_cast<double>(services.size());
    Row row { n, 0, (after.first - before.first) / seconds / n, (after.second - before.second) / seconds / n, (processorMilliseconds() - cpuBefore) / seconds / n, 0 };
    row.memory = (residentKilobytes() - emptyMemory) / n;
    for (auto& service : services)
        row.known += static_cast<double>(service->members()->size()) / n;
    return row;
}

void printFit(const char* name, const std::vector<Row>& rows, double Row::*field)
{
    const auto n = static_cast<double>(rows.size());
    double meanX = 0;
    double meanY = 0;
    for (const auto& row : rows) {
        meanX += row.members / n;
        meanY += row.*field / n;
    }
    double sxx = 0;
    double sxy = 0;
    for (const auto& row : rows) {
        sxx += (row.members - meanX) * (row.members - meanX);
        sxy += (row.members - meanX) * (row.*field - meanY);
    }
    const auto slope = sxy / sxx;
    const auto intercept = meanY - slope * meanX;
    double residual = 0;
    for (const auto& row : rows)
        residual += std::pow(row.*field - intercept - slope * row.members, 2);
    std::printf("%-24s = %9.3f + %9.5f (+- %.5f) per member\n", name, intercept, slope, std::sqrt(residual / (n - 2) / sxx));
}

}

int main(int argc, char** argv)
{
    CLI::App app("Measures traffic, processor time and memory of membership services on loopback");
    std::vector<size_t> sizes { 10, 30, 100, 330 };
    int settle = 9;
    int duration = 8;
    app.add_option("--sizes", sizes, "Numbers of members, each measured in a separate process");
    app.add_option("--settle", settle, "Settling time before the measurement, in seconds")->check(CLI::Range(1, 10));
    app.add_option("--seconds", duration, "Duration of the measurement, in seconds")->check(CLI::Range(1, 10));
    bool isSingle = false;
    app.add_flag("--row", isSingle, "Measure the first size in this process and print only the numbers");
    CLI11_PARSE(app, argc, argv);
    if (isSingle) {
        const auto row = measure(sizes.at(0), std::chrono::seconds(settle), std::chrono::seconds(duration));
        std::printf("%f %f %f %f %f %f\n", row.members, row.known, row.sent, row.received, row.cpu, row.memory);
        return 0;
    }
    std::vector<Row> rows;
    std::printf("members known sent_B/s received_B/s cpu_ms/s resident_KB (each per member)\n");
    for (const auto size : sizes) {
        const auto command = std::string(argv[0]) + " --row --sizes " + std::to_string(size) + " --settle " + std::to_string(settle) + " --seconds " + std::to_string(duration);
        auto* pipe = popen(command.c_str(), "r");
        Row row;
        if (!pipe || std::fscanf(pipe, "%lf %lf %lf %lf %lf %lf", &row.members, &row.known, &row.sent, &row.received, &row.cpu, &row.memory) != 6)
            return 1;
        pclose(pipe);
        std::printf("%7.0f %5.1f %8.0f %12.0f %8.3f %11.0f\n", row.members, row.known, row.sent, row.received, row.cpu, row.memory);
        std::fflush(stdout);
        rows.push_back(row);
    }
    printFit("sent B/s", rows, &Row::sent);
    printFit("received B/s", rows, &Row::received);
    printFit("cpu ms/s", rows, &Row::cpu);
    printFit("resident KB", rows, &Row::memory);
    return 0;
}
