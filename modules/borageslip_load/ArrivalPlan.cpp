#include "ArrivalPlan.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace borageslip {

namespace {

    // Length of the user message that each further turn adds to the prompt.
    constexpr uint64_t tokensPerQuestion = 50;

    class Planner {
    public:
        Planner(const LoadMix& mix, const ArrivalLimits& limits, uint64_t seed)
            : m_mix(mix)
            , m_limits(limits)
            , m_seed(seed)
            , m_random(seed)
        {
            std::vector<double> weights;
            for (const auto& requestClass : mix.classes)
                weights.push_back(requestClass.weight);
            m_classes = std::discrete_distribution<size_t>(weights.begin(), weights.end());
        }

        std::vector<PlannedRequest> plan()
        {
            const double totalShare = std::accumulate(m_mix.accounts.begin(), m_mix.accounts.end(), 0.0, [](double sum, const auto& account) { return sum + account.share; });
            for (size_t account = 0; account < m_mix.accounts.size(); ++account)
                planAccount(account, m_mix.arrivalsPerSecond * m_limits.rateFactor * m_mix.accounts[account].share / totalShare);
            std::stable_sort(m_requests.begin(), m_requests.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
            if (m_requests.size() > m_limits.maxRequests)
                m_requests.resize(m_limits.maxRequests);
            return std::move(m_requests);
        }

    private:
        double factorAt(double seconds, const std::string& account) const
        {
            double globalFactor = 1;
            double accountFactor = 1;
            for (const auto& step : m_mix.profile) {
                if (step.atSeconds > seconds)
                    continue;
                if (step.account.empty())
                    globalFactor = step.factor;
                else if (step.account == account)
                    accountFactor = step.factor;
            }
            return globalFactor * accountFactor;
        }

        // Samples a non-homogeneous Poisson process by thinning: draws arrivals at the highest rate of the profile and keeps each
        // with the probability of the rate at its time divided by the highest rate.
        void planAccount(size_t account, double baseRate)
        {
            const auto& name = m_mix.accounts[account].name;
            const double duration = std::chrono::duration<double>(m_limits.duration).count();
            double maxFactor = factorAt(0, name);
            for (const auto& step : m_mix.profile)
                maxFactor = std::max(maxFactor, factorAt(step.atSeconds, name));
            if (baseRate * maxFactor <= 0)
                return;
            std::exponential_distribution<double> gap(baseRate * maxFactor);
            const size_t limit = m_requests.size() + m_limits.maxRequests;
            for (double at = gap(m_random); at < duration && m_requests.size() < limit; at += gap(m_random)) {
                if (std::uniform_real_distribution(0.0, maxFactor)(m_random) < factorAt(at, name))
                    planConversation(account, at, duration);
            }
        }

        void planConversation(size_t account, double at, double duration)
        {
            const size_t index = m_classes(m_random);
            const auto& requestClass = m_mix.classes[index];
            const auto number = std::to_string(m_seed) + "-" + std::to_string(m_conversations++);
            const auto turns = requestClass.kind == LoadMix::Kind::Chat ? std::max<uint64_t>(1, draw(requestClass.turns)) : 1;
            uint64_t prompt = std::max<uint64_t>(1, draw(requestClass.promptTokens));
            for (uint64_t turn = 0; turn < turns && at < duration; ++turn) {
                PlannedRequest request;
                request.at = std::chrono::microseconds(static_cast<int64_t>(at * 1e6));
                request.id = "load-" + number + "-" + std::to_string(turn);
                request.account = account;
                request.requestClass = index;
                request.chat = "chat-" + number;
                request.promptTokens = prompt;
                request.maxTokens = std::max<uint64_t>(1, draw(requestClass.maxTokens));
                if (happens(requestClass.stragglerPercent))
                    request.maxTokens = static_cast<uint64_t>(static_cast<double>(request.maxTokens) * requestClass.stragglerFactor);
                request.isRepeated = happens(requestClass.repeatPercent);
                prompt += request.maxTokens + tokensPerQuestion;
                m_requests.push_back(std::move(request));
                at += std::uniform_real_distribution(requestClass.pauseSeconds.low, requestClass.pauseSeconds.high)(m_random);
            }
        }

        uint64_t draw(LoadMix::Range range)
        {
            return std::uniform_int_distribution(static_cast<uint64_t>(range.low), static_cast<uint64_t>(range.high))(m_random);
        }

        bool happens(double percent)
        {
            return std::uniform_real_distribution(0.0, 100.0)(m_random) < percent;
        }

        const LoadMix& m_mix;
        const ArrivalLimits& m_limits;
        const uint64_t m_seed;
        std::mt19937_64 m_random;
        std::discrete_distribution<size_t> m_classes;
        std::vector<PlannedRequest> m_requests;
        uint64_t m_conversations = 0;
    };

}

std::vector<PlannedRequest> planArrivals(const LoadMix& mix, const ArrivalLimits& limits, uint64_t seed)
{
    return Planner(mix, limits, seed).plan();
}

}
