#include <borageslip_scheduling/borageslip_scheduling.h>
#include <borageslip_traffic/store/StoreReaders.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 10ms;
constexpr Duration pollInterval = 600ms;
constexpr Duration retryInterval = 200ms; ///< While a source has not noticed the new era.
constexpr Duration renewalInterval = 1800ms;
constexpr Duration sourcePause = 3000ms; ///< For which a source is not used after a failure.
constexpr Duration answerTime = 10ms;
constexpr Duration timeout = 1200ms;
constexpr int pagesOfAllKeys = 10;
constexpr int maxReadsPerSecond = 6000;
constexpr int maxWritesPerSecond = 1200;

/** A model of the instances of several failure domains whose store comes back in era 2, on a passed-in clock. */
class Fleet {
public:
    Fleet(size_t instances, size_t domains, size_t frozenReaders)
    {
        for (size_t i = 0; i < instances; ++i) {
            m_names.push_back("edge-" + std::to_string(i));
            m_domains.push_back("zone-" + std::to_string(i % domains));
        }
        std::uniform_real_distribution<double> phase(0, 1);
        for (size_t own = 0; own < instances; ++own) {
            std::vector<ReaderCandidate> others;
            std::vector<size_t> positions;
            for (size_t i = 0; i < instances; ++i) {
                if (i == own)
                    continue;
                others.push_back({ m_names[i], m_domains[i], 100 });
                positions.push_back(i);
            }
            Instance instance;
            for (const auto& source : rankedStoreSources({ m_names[own], m_domains[own], 100 }, others))
                instance.sources.push_back(source ? std::optional(positions[*source]) : std::nullopt);
            instance.nextPoll = m_start + std::chrono::duration_cast<Duration>(pollInterval * phase(m_random));
            instance.nextRenewal = m_start + std::chrono::duration_cast<Duration>(renewalInterval * phase(m_random));
            m_readers += !instance.sources.front() ? 1 : 0;
            instance.isFrozen = !instance.sources.front() && m_readers <= frozenReaders;
            m_instances.push_back(std::move(instance));
        }
    }

    void run(Duration time)
    {
        for (m_now = m_start; m_now < m_start + time; m_now += step) {
            for (size_t i = 0; i < m_instances.size(); ++i) {
                if (!m_instances[i].isFrozen)
                    act(i);
            }
        }
    }

    size_t readers() const { return m_readers; }
    size_t fullReads() const { return m_fullReads; }
    int mostReads() const { return mostInSecond(m_reads); }
    int mostWrites() const { return mostInSecond(m_writes); }

    /** Time until all instances that run hold the keys of the new era; nothing if they do not. */
    std::optional<Duration> timeUntilAdopted() const
    {
        Duration longest {};
        for (const auto& instance : m_instances) {
            if (instance.isFrozen)
                continue;
            if (instance.knowledge.dataEra != 2)
                return std::nullopt;
            longest = std::max(longest, instance.adoptedAt - m_start);
        }
        return longest;
    }

private:
    struct Instance {
        std::vector<std::optional<size_t>> sources;
        std::map<std::optional<size_t>, TimePoint> unusableUntil;
        StoreEraKnowledge knowledge { 1, 1 };
        TimePoint nextPoll {};
        TimePoint nextRenewal {};
        std::optional<TimePoint> writesRecordAt {};
        TimePoint adoptedAt {};
        bool isFrozen = false;
    };

    static int mostInSecond(const std::map<Duration, int>& counts)
    {
        int most = 0;
        for (auto first = counts.begin(); first != counts.end(); ++first) {
            int sum = 0;
            for (auto entry = first; entry != counts.end() && entry->first < first->first + 1s; ++entry)
                sum += entry->second;
            most = std::max(most, sum);
        }
        return most;
    }

    void learn(size_t index)
    {
        auto& instance = m_instances[index];
        if (instance.knowledge.newestEra == 2)
            return;
        instance.knowledge.newestEra = 2;
        instance.knowledge.changedAt = m_now;
        instance.nextPoll = m_now;
        instance.writesRecordAt = m_now + recordDelay("borageslip/members/" + m_names[index], 2);
    }

    void act(size_t index)
    {
        auto& instance = m_instances[index];
        if (instance.writesRecordAt && m_now >= *instance.writesRecordAt) {
            m_writes[m_now - m_start] += 2;
            instance.writesRecordAt.reset();
            instance.nextRenewal = m_now + renewalInterval;
        }
        if (!instance.writesRecordAt && m_now >= instance.nextRenewal) {
            ++m_writes[m_now - m_start];
            instance.nextRenewal = m_now + renewalInterval;
            learn(index);
        }
        if (m_now >= instance.nextPoll)
            poll(index);
    }

    void poll(size_t index)
    {
        auto& instance = m_instances[index];
        const auto isUsable = [&](const auto& candidate) { return m_now >= instance.unusableUntil[candidate]; };
        const auto found = std::find_if(instance.sources.begin(), instance.sources.end(), isUsable);
        if (found == instance.sources.end()) {
            instance.unusableUntil.clear();
            return;
        }
        const auto source = *found;
        if (source && m_instances[*source].isFrozen) {
            instance.unusableUntil[source] = m_now + timeout + sourcePause;
            instance.nextPoll = m_now + timeout;
            return;
        }
        if (!source)
            ++m_reads[m_now - m_start];
        const uint64_t era = source ? m_instances[*source].knowledge.dataEra : 2;
        if (era == 2)
            learn(index);
        const auto use = decideSourceUse(instance.knowledge, era, m_now);
        instance.nextPoll = m_now + (use == SourceUse::AwaitSource ? retryInterval : pollInterval);
        if (use == SourceUse::UseOther) {
            instance.unusableUntil[source] = m_now + sourcePause;
            instance.nextPoll = m_now + answerTime;
        }
        if (use != SourceUse::ReadAll)
            return;
        if (!source) {
            m_reads[m_now - m_start] += pagesOfAllKeys;
            ++m_fullReads;
        }
        instance.knowledge.dataEra = 2;
        instance.adoptedAt = m_now;
    }

    const TimePoint m_start = TimePoint() + 1h;
    TimePoint m_now = m_start;
    std::minstd_rand m_random { 1 };
    std::vector<std::string> m_names;
    std::vector<std::string> m_domains;
    std::vector<Instance> m_instances;
    size_t m_readers = 0;
    size_t m_fullReads = 0;
    std::map<Duration, int> m_reads; ///< Calls of the store, by time.
    std::map<Duration, int> m_writes;
};

}

// Guards against more calls in a second than the store takes, and against instances that learn of the new era late.
TEST_CASE("after a change of era only the readers read all keys from the store, within its rates")
{
    for (const auto& [instances, domains] : std::vector<std::pair<size_t, size_t>> { { 62, 4 }, { 300, 7 } }) {
        Fleet fleet(instances, domains, 0);
        fleet.run(6s);
        REQUIRE(fleet.timeUntilAdopted());
        INFO(instances << " instances: " << fleet.fullReads() << " full reads, " << fleet.mostReads() << " reads and " << fleet.mostWrites() << " writes in a second");
        CHECK(*fleet.timeUntilAdopted() <= 1500ms);
        CHECK(fleet.fullReads() == fleet.readers());
        CHECK(fleet.mostReads() <= maxReadsPerSecond / 4);
        CHECK(fleet.mostWrites() <= maxWritesPerSecond);
    }
}

// Guards against the same while readers are frozen, so that their followers need other sources.
TEST_CASE("after a change of era the store's rates hold while readers are frozen")
{
    for (const auto& [instances, domains] : std::vector<std::pair<size_t, size_t>> { { 62, 4 }, { 300, 7 } }) {
        Fleet fleet(instances, domains, instances / 20);
        fleet.run(10s);
        REQUIRE(fleet.timeUntilAdopted());
        INFO(instances << " instances: " << fleet.fullReads() << " full reads, " << fleet.mostReads() << " reads and " << fleet.mostWrites() << " writes in a second");
        CHECK(*fleet.timeUntilAdopted() <= 6s);
        CHECK(fleet.mostReads() <= maxReadsPerSecond);
        CHECK(fleet.mostWrites() <= maxWritesPerSecond);
    }
}
