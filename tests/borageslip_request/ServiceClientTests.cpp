#include <borageslip_core/borageslip_core.h>
#include <borageslip_request/borageslip_request.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <set>

using namespace borageslip;

namespace {

const SystemClock s_clock;

/** Fake service that records the client ports of its requests, so that tests can count connections. */
class FakeService {
public:
    FakeService()
    {
        m_listener.server().Post("/book", [this](const httplib::Request& request, httplib::Response& response) {
            ++calls;
            const std::lock_guard lock(m_mutex);
            clientPorts.insert(request.remote_port);
            receivedHeaders = request.headers;
            response.status = 409;
            response.set_header("X-Answer", "1");
            response.set_content(request.target + " " + request.body, "text/plain");
        });
        m_listener.server().Post("/silent", [this](const httplib::Request&, httplib::Response&) {
            ++calls;
            m_released.wait();
        });
        m_listener.server().Post("/cut", [this](const httplib::Request&, httplib::Response& response) {
            ++calls;
            response.set_content_provider(100, "text/plain", [](size_t, size_t, httplib::DataSink& sink) {
                sink.write("half", 4);
                return false;
            });
        });
        REQUIRE(isOk(m_listener.start("127.0.0.1", 0)));
    }
    ~FakeService() { stop(); }
    FakeService(const FakeService&) = delete;
    FakeService& operator=(const FakeService&) = delete;

    void stop()
    {
        if (!std::exchange(m_isStopped, true))
            m_release.set_value();
        m_listener.stop();
    }

    ServiceRequest request(const std::string& target, ServiceRequest::RetryPolicy retryPolicy = ServiceRequest::RetryPolicy::Forbidden) const
    {
        return { .host = "127.0.0.1", .port = m_listener.port(), .method = "POST", .target = target, .headers = { { "Idempotency-Key", "k" }, { "connection", "X-Hop, close" }, { "x-hop", "1" }, { "Content-Type", "text/plain" } }, .body = "b", .retryPolicy = retryPolicy };
    }

    std::atomic<int> calls = 0;
    std::set<int> clientPorts;
    httplib::Headers receivedHeaders;

private:
    std::mutex m_mutex;
    bool m_isStopped = false;
    std::promise<void> m_release;
    std::shared_future<void> m_released = m_release.get_future().share();
    HttpListener m_listener { { .pool = { .maxThreads = 8 }, .keepAliveTimeout = std::chrono::seconds(1) } };
};

}

TEST_CASE("a call and its response are forwarded without hop-by-hop headers")
{
    FakeService service;
    ServiceClient client(s_clock, {});
    const auto result = client.call(service.request("/book?x=%20y"));
    REQUIRE(isOk(result));
    CHECK(value(result).status == 409);
    CHECK(value(result).body == "/book?x=%20y b");
    CHECK(service.receivedHeaders.find("Idempotency-Key")->second == "k");
    CHECK_FALSE(service.receivedHeaders.contains("X-Hop"));
    for (const auto& [name, field] : value(result).headers)
        CHECK((name == "X-Answer" || name == "Content-Type"));
}

TEST_CASE("a call that must not be retried never reuses a connection")
{
    FakeService service;
    ServiceClient client(s_clock, {});
    const auto [retryPolicy, connections] = GENERATE(std::pair { ServiceRequest::RetryPolicy::Forbidden, size_t { 3 } }, std::pair { ServiceRequest::RetryPolicy::Allowed, size_t { 1 } });
    for (int i = 0; i < 3; ++i)
        CHECK(isOk(client.call(service.request("/book", retryPolicy))));
    CHECK(service.clientPorts.size() == connections);
}

TEST_CASE("a failed call is reported as not run only if no connection was made, and is sent at most once")
{
    FakeService service;
    ServiceClient client(s_clock, { .livenessTimeout = std::chrono::milliseconds(100) });
    const auto kind = [&](const ServiceRequest& request) { return error(client.call(request)).kind; };
    CHECK(kind(service.request("/silent")) == ErrorKind::ConnectionSilent);
    CHECK(kind(service.request("/cut")) == ErrorKind::ServiceFailed);
    CHECK(service.calls == 2);
    auto late = service.request("/book");
    late.deadline = s_clock.now();
    CHECK(kind(late) == ErrorKind::DeadlineBeforeStart);
    auto slow = service.request("/silent");
    slow.deadline = s_clock.now() + std::chrono::milliseconds(50);
    CHECK(kind(slow) == ErrorKind::DeadlineExceeded);
    const auto request = service.request("/book");
    service.stop();
    CHECK(kind(request) == ErrorKind::ServiceUnreachable);
    CHECK(service.calls == 3);
}
