#include "InstanceScrape.h"

#include <algorithm>
#include <atomic>
#include <httplib.h>
#include <thread>

namespace borageslip {

namespace {

    constexpr size_t maxConcurrentScrapes = 16;

    InstanceScrape scrapeInstance(const std::string& address, std::chrono::milliseconds timeout)
    {
        InstanceScrape scrape;
        scrape.address = address;
        httplib::Client client("http://" + address);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        for (const auto* path : { "/operator/objectives", "/metrics" }) {
            const auto response = client.Get(path);
            if (!response || response->status != 200) {
                scrape.failure = std::string(path) + ": " + (response ? "status " + std::to_string(response->status) : httplib::to_string(response.error()));
                return scrape;
            }
            if (path == std::string_view("/metrics"))
                scrape.metrics = response->body;
            else
                scrape.objectives = nlohmann::json::parse(response->body, nullptr, false);
        }
        return scrape;
    }

}

std::vector<InstanceScrape> scrapeInstances(std::span<const std::string> operatorAddresses, std::chrono::milliseconds timeout)
{
    std::vector<InstanceScrape> scrapes(operatorAddresses.size());
    std::atomic<size_t> next = 0;
    std::vector<std::jthread> threads;
    for (size_t i = 0; i < std::min(maxConcurrentScrapes, operatorAddresses.size()); ++i) {
        threads.emplace_back([&] {
            for (size_t index = next++; index < operatorAddresses.size(); index = next++)
                scrapes[index] = scrapeInstance(operatorAddresses[index], timeout);
        });
    }
    threads.clear();
    return scrapes;
}

}
