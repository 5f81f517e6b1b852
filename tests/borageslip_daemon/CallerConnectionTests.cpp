#include <borageslip_daemon/front/CallerConnection.h>

#include <borageslip_core/borageslip_core.h>
#include <catch2/catch.hpp>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace borageslip;

namespace {

int connectTo(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(::send(descriptor, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    return descriptor;
}

}

TEST_CASE("a caller that closes its connection before the complete response is ready is detected, and one that waits is not reported")
{
    HttpListener listener({});
    std::promise<bool> atStart;
    std::promise<bool> atEnd;
    std::promise<void> hasClosed;
    listener.server().Get("/", [&](const httplib::Request& request, httplib::Response&) {
        const CallerConnection connection(request);
        atStart.set_value(connection.isClosed());
        hasClosed.get_future().wait();
        // The close may take a moment to arrive. If it is never detected, the test runs into its time limit.
        while (!connection.isClosed())
            std::this_thread::yield();
        atEnd.set_value(true);
    });
    const auto port = listener.start("127.0.0.1", 0);
    REQUIRE(isOk(port));
    const int caller = connectTo(value(port));
    CHECK_FALSE(atStart.get_future().get());
    ::close(caller);
    hasClosed.set_value();
    CHECK(atEnd.get_future().get());
}
