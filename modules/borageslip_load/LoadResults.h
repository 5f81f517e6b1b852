#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** The outcome of one request as its caller observed it. Times are measured from the scheduled start. */
struct RequestOutcome {
    std::string requestClass;
    std::string account;
    std::string outcome; ///< "ok", "refused", "error", "cut", "malformed", "timeout", "unreachable" or "client-limit".
    std::string errorKind;
    bool isNotRun = false;
    double firstTokenMilliseconds = -1; ///< Negative if no token was received.
    double totalMilliseconds = 0;
    std::vector<float> gapMilliseconds; ///< Times between successive chunks of text.
    uint64_t promptTokens = 0;
    uint64_t cachedTokens = 0;
    uint64_t tokens = 0;
};

/** Returns the nearest-rank percentile, or 0 without samples. Sorts the samples. */
double percentile(std::vector<float>& samples, double percent);

/** Aggregates outcomes by request class and by account. Thread-safe. */
class LoadResults {
public:
    void add(const RequestOutcome&);

    /** Returns totals and percentiles under "classes", "accounts" and "all". */
    nlohmann::json summary();

private:
    struct Group {
        uint64_t requests = 0;
        uint64_t notRun = 0;
        uint64_t tokens = 0;
        uint64_t promptTokens = 0;
        uint64_t cachedTokens = 0;
        std::map<std::string, uint64_t> outcomes;
        std::map<std::string, uint64_t> errorKinds;
        std::vector<float> firstToken;
        std::vector<float> total;
        std::vector<float> gaps;

        void add(const RequestOutcome&);
        nlohmann::json summary();
    };

    std::mutex m_mutex;
    Group m_all;
    std::map<std::string, Group> m_classes;
    std::map<std::string, Group> m_accounts;
};

/** Formats one results document as a text table with a row for each request class and one for all requests. */
std::string resultsTable(const nlohmann::json& results);

/** Formats the median, lowest and highest value of each metric as a text table with a column for each label. */
std::string compareResults(std::span<const nlohmann::json> results);

}
