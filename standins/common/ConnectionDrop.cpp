#include "ConnectionDrop.h"

#include <netinet/in.h>
#include <sys/socket.h>

namespace borageslip::standin {

namespace {

    // The thread pool serves about a thousand connections by default, so descriptors stay far below this.
    constexpr int maxDescriptor = 8192;

    int portOf(const sockaddr_storage& address)
    {
        if (address.ss_family != AF_INET)
            return 0;
        sockaddr_in inet {};
        std::memcpy(&inet, &address, sizeof inet);
        return ntohs(inet.sin_port);
    }

}

void dropConnection(const httplib::Request& request)
{
    for (int descriptor = 3; descriptor < maxDescriptor; ++descriptor) {
        sockaddr_storage peer {};
        socklen_t length = sizeof peer;
        if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) != 0 || portOf(peer) != request.remote_port)
            continue;
        sockaddr_storage local {};
        length = sizeof local;
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &length);
        if (portOf(local) != request.local_port)
            continue;
        ::shutdown(descriptor, SHUT_RDWR);
        return;
    }
}

}
