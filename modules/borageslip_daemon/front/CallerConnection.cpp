#include "CallerConnection.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>

namespace borageslip {

namespace {

    using AddressFunction = int (*)(int, sockaddr*, socklen_t*);

    bool hasAddress(AddressFunction addressOf, int descriptor, const std::string& host, int port)
    {
        sockaddr_storage address {};
        socklen_t length = sizeof address;
        if (addressOf(descriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0 || address.ss_family != AF_INET)
            return false;
        sockaddr_in inet {};
        std::memcpy(&inet, &address, sizeof inet);
        std::array<char, INET_ADDRSTRLEN> text {};
        return ntohs(inet.sin_port) == port && ::inet_ntop(AF_INET, &inet.sin_addr, text.data(), text.size()) && host == text.data();
    }

    std::optional<int> parseDescriptor(const std::string& name)
    {
        int number = 0;
        const auto [end, failure] = std::from_chars(name.data(), name.data() + name.size(), number);
        return failure == std::errc() ? std::optional(number) : std::nullopt;
    }

}

CallerConnection::CallerConnection(const httplib::Request& request)
{
    // The request contains both addresses of its connection but not the descriptor, so it is looked up by the addresses.
    std::error_code failure;
    for (std::filesystem::directory_iterator entry("/proc/self/fd", failure), end; !failure && entry != end; entry.increment(failure)) {
        const auto descriptor = parseDescriptor(entry->path().filename().string());
        if (!descriptor || !hasAddress(::getpeername, *descriptor, request.remote_addr, request.remote_port) || !hasAddress(::getsockname, *descriptor, request.local_addr, request.local_port))
            continue;
        m_descriptor = *descriptor;
        return;
    }
}

bool CallerConnection::isClosed() const
{
    if (m_descriptor < 0)
        return false;
    char byte = 0;
    const auto received = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}
