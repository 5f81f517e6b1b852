#include "Http2Connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <vector>

namespace borageslip::detail {

namespace {

    constexpr std::chrono::milliseconds livenessCheckInterval { 500 };
    constexpr uint32_t streamWindowBytes = 256 * 1024;
    constexpr int32_t connectionWindowBytes = 16 * 1024 * 1024;
    constexpr size_t writeBatchBytes = 64 * 1024;

    nghttp2_nv nameValue(std::string_view name, std::string_view value)
    {
        // nghttp2 copies name and value and does not modify them, although its struct takes non-const pointers.
        return { reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())), reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    std::vector<nghttp2_nv> nameValues(const InnerHeaders& headers)
    {
        std::vector<nghttp2_nv> fields;
        fields.reserve(headers.size());
        // HTTP/2 requires pseudo-headers first; the map's order ensures that, since ':' sorts before letters.
        for (const auto& [name, value] : headers)
            fields.push_back(nameValue(name, value));
        return fields;
    }

    std::string_view view(const uint8_t* bytes, size_t size)
    {
        return { reinterpret_cast<const char*>(bytes), size };
    }

}

/** Forwards the C callbacks of nghttp2 to a connection and its listener. */
struct Callbacks {
    static Http2Connection& self(void* user) { return *static_cast<Http2Connection*>(user); }

    static int beginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            ++self(user).m_openStreams;
        return 0;
    }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const uint8_t* name, size_t nameSize, const uint8_t* value, size_t valueSize, uint8_t, void* user)
    {
        self(user).m_listener->headerReceived(frame->hd.stream_id, view(name, nameSize), view(value, valueSize));
        return 0;
    }

    static int frameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        auto& connection = self(user);
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0)
            connection.m_listener->pingAcknowledged();
        if (frame->hd.type == NGHTTP2_HEADERS)
            connection.m_listener->headersCompleted(frame->hd.stream_id);
        const bool mayEndStream = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (mayEndStream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            connection.m_listener->endStreamReceived(frame->hd.stream_id);
        return 0;
    }

    static int dataReceived(nghttp2_session*, uint8_t, int32_t stream, const uint8_t* bytes, size_t size, void* user)
    {
        self(user).m_listener->dataReceived(stream, view(bytes, size));
        return 0;
    }

    static int streamClosed(nghttp2_session*, int32_t stream, uint32_t errorCode, void* user)
    {
        auto& connection = self(user);
        if (connection.m_openStreams > 0)
            --connection.m_openStreams;
        connection.m_listener->streamClosed(stream, errorCode);
        return 0;
    }
};

Http2Connection::Http2Connection(boost::asio::ip::tcp::socket socket, Role role, Http2Limits limits, Listener& listener)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_role(role)
    , m_limits(limits)
    , m_listener(&listener)
    , m_lastReceived(std::chrono::steady_clock::now())
    , m_lastPing(m_lastReceived)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::frameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::dataReceived);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::streamClosed);
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    // Windows are reopened as the reader consumes data, so that a slow caller throttles its engine's stream instead of
    // filling buffers in this process.
    nghttp2_option_set_no_auto_window_update(options, 1);
    if (m_role == Role::Client)
        nghttp2_session_client_new2(&m_session, callbacks, this, options);
    else
        nghttp2_session_server_new2(&m_session, callbacks, this, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
}

Http2Connection::~Http2Connection()
{
    nghttp2_session_del(m_session);
}

void Http2Connection::start()
{
    m_isOpen = true;
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const std::array settings {
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_limits.maxConcurrentStreams },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<uint32_t>(m_limits.maxHeaderBytes) },
    };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    flush();
    readSome();
    scheduleLivenessCheck();
}

void Http2Connection::close(std::string_view reason)
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    boost::system::error_code ignored;
    m_timer.cancel(ignored);
    m_socket.close(ignored);
    m_listener->connectionClosed(reason);
}

std::optional<int32_t> Http2Connection::submitRequest(const InnerHeaders& headers, nghttp2_data_provider* body)
{
    const auto fields = nameValues(headers);
    const int32_t stream = nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(), body, nullptr);
    if (stream < 0)
        return std::nullopt;
    ++m_openStreams;
    // The receive timeout starts with the first open stream, not with the last traffic of an idle connection.
    if (m_openStreams == 1)
        m_lastReceived = std::chrono::steady_clock::now();
    flush();
    return stream;
}

void Http2Connection::submitResponse(int32_t stream, const InnerHeaders& headers, nghttp2_data_provider* body)
{
    const auto fields = nameValues(headers);
    nghttp2_submit_response(m_session, stream, fields.data(), fields.size(), body);
    flush();
}

void Http2Connection::resumeData(int32_t stream)
{
    nghttp2_session_resume_data(m_session, stream);
    flush();
}

void Http2Connection::resetStream(int32_t stream, uint32_t errorCode)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, errorCode);
    flush();
}

void Http2Connection::consume(int32_t stream, size_t bytes)
{
    nghttp2_session_consume(m_session, stream, bytes);
    flush();
}

void Http2Connection::ping()
{
    m_lastPing = std::chrono::steady_clock::now();
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

void Http2Connection::flush()
{
    // nghttp2_session_mem_send() must not be called from a callback of nghttp2_session_mem_recv(). readSome() flushes
    // after mem_recv() has returned.
    if (m_isOpen && !m_isInCallback && !m_isWriting)
        writePending();
}

void Http2Connection::writePending()
{
    m_writeBuffer.clear();
    while (m_writeBuffer.size() < writeBatchBytes) {
        const uint8_t* bytes = nullptr;
        m_isInCallback = true;
        const ssize_t size = nghttp2_session_mem_send(m_session, &bytes);
        m_isInCallback = false;
        if (size < 0)
            return close("HTTP/2 protocol error while sending");
        if (size == 0)
            break;
        m_writeBuffer.append(reinterpret_cast<const char*>(bytes), static_cast<size_t>(size));
    }
    if (m_writeBuffer.empty()) {
        if (nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0)
            close("the HTTP/2 session ended");
        return;
    }
    m_isWriting = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writeBuffer), [self = shared_from_this()](const boost::system::error_code& failure, size_t) {
        self->m_isWriting = false;
        if (failure)
            return self->close(failure.message());
        self->flush();
    });
}

void Http2Connection::readSome()
{
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer), [self = shared_from_this()](const boost::system::error_code& failure, size_t size) {
        if (failure)
            return self->close(failure.message());
        if (!self->m_isOpen)
            return;
        self->m_lastReceived = std::chrono::steady_clock::now();
        self->m_isInCallback = true;
        const ssize_t consumed = nghttp2_session_mem_recv(self->m_session, self->m_readBuffer.data(), size);
        self->m_isInCallback = false;
        if (consumed < 0)
            return self->close(nghttp2_strerror(static_cast<int>(consumed)));
        self->flush();
        if (self->m_isOpen)
            self->readSome();
    });
}

void Http2Connection::scheduleLivenessCheck()
{
    m_timer.expires_after(livenessCheckInterval);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (failure || !self->m_isOpen)
            return;
        self->checkLiveness();
        if (self->m_isOpen)
            self->scheduleLivenessCheck();
    });
}

void Http2Connection::checkLiveness()
{
    // Idle connections are not pinged: with 329 peers, PINGs would use most of the bandwidth budget for control traffic.
    if (m_openStreams == 0)
        return;
    const auto now = std::chrono::steady_clock::now();
    if (now - m_lastReceived > m_limits.receiveTimeout)
        return close("the connection went silent");
    if (now - m_lastReceived > m_limits.pingInterval && now - m_lastPing > m_limits.pingInterval)
        ping();
}

}
