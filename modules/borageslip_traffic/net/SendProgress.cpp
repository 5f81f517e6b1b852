#include "SendProgress.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace borageslip {

SendProgress sendProgress(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    const auto handle = socket.native_handle();
    const bool isKnown = ::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    if (!isKnown || info.tcpi_state == TCP_CLOSE)
        return SendProgress::ConnectionLost;
    int outstanding = 0;
    if (::ioctl(handle, SIOCOUTQ, &outstanding) != 0)
        return SendProgress::ConnectionLost;
    return outstanding == 0 ? SendProgress::Acknowledged : SendProgress::Outstanding;
}

}
