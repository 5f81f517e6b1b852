#include "InnerServer.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <borageslip_core/encoding/Digest.h>
#include <condition_variable>
#include <map>
#include <mutex>

namespace borageslip {

namespace {

    constexpr size_t responseBufferBytes = 256 * 1024;

    bool isAuthorised(std::string_view authorization, const std::vector<std::string>& keys)
    {
        constexpr std::string_view scheme = "Bearer ";
        if (!authorization.starts_with(scheme))
            return false;
        const auto presented = authorization.substr(scheme.size());
        bool isAccepted = false;
        for (const auto& key : keys) {
            if (!key.empty())
                isAccepted |= equalsInConstantTime(key, presented);
        }
        return isAccepted;
    }

    /** Bounded buffer for a response body, filled by a worker thread and drained by the I/O thread. */
    class ResponseBuffer {
    public:
        bool append(std::string_view bytes)
        {
            std::unique_lock lock(m_mutex);
            m_hasSpace.wait(lock, [&] { return m_isClosed || m_bytes.size() < responseBufferBytes; });
            if (m_isClosed)
                return false;
            m_bytes.append(bytes);
            return true;
        }

        void finish()
        {
            const std::lock_guard lock(m_mutex);
            m_isFinished = true;
        }

        enum class CloseReason {
            StreamEnded,
            ConnectionLost,
        };

        void close(CloseReason reason)
        {
            std::function<void()> handler;
            {
                const std::lock_guard lock(m_mutex);
                m_isConnectionLost = !m_isClosed && reason == CloseReason::ConnectionLost;
                m_isClosed = true;
                m_hasSpace.notify_all();
                handler = std::exchange(m_closeHandler, nullptr);
            }
            if (handler)
                handler();
        }

        void setCloseHandler(std::function<void()> handler)
        {
            {
                const std::lock_guard lock(m_mutex);
                if (!m_isClosed) {
                    m_closeHandler = std::move(handler);
                    return;
                }
            }
            handler();
        }

        bool isClosed() const
        {
            const std::lock_guard lock(m_mutex);
            return m_isClosed;
        }

        bool isConnectionLost() const
        {
            const std::lock_guard lock(m_mutex);
            return m_isConnectionLost;
        }

        ssize_t read(uint8_t* target, size_t size, uint32_t* flags)
        {
            const std::lock_guard lock(m_mutex);
            const size_t copied = std::min(size, m_bytes.size());
            if (copied == 0 && !m_isFinished)
                return NGHTTP2_ERR_DEFERRED;
            std::copy_n(m_bytes.begin(), copied, target);
            m_bytes.erase(0, copied);
            if (m_isFinished && m_bytes.empty())
                *flags |= NGHTTP2_DATA_FLAG_EOF;
            m_hasSpace.notify_all();
            return static_cast<ssize_t>(copied);
        }

    private:
        mutable std::mutex m_mutex;
        std::condition_variable m_hasSpace;
        std::string m_bytes;
        std::function<void()> m_closeHandler;
        bool m_isFinished = false;
        bool m_isClosed = false;
        bool m_isConnectionLost = false;
    };

    ssize_t readResponse(nghttp2_session*, int32_t, uint8_t* target, size_t size, uint32_t* flags, nghttp2_data_source* source, void*)
    {
        return static_cast<ResponseBuffer*>(source->ptr)->read(target, size, flags);
    }

}

class InnerServer::Connection final : public detail::Http2Connection::Listener, public std::enable_shared_from_this<Connection> {
public:
    Connection(InnerServer& server, boost::asio::ip::tcp::socket socket)
        : m_server(server)
        , m_http2(std::make_shared<detail::Http2Connection>(std::move(socket), detail::Http2Connection::Role::Server, server.m_options.limits, *this))
    {
    }

    void start() { m_http2->start(); }
    void close() { m_http2->close("the server was stopped"); }

    void headerReceived(int32_t stream, std::string_view name, std::string_view value) override
    {
        auto& request = m_streams[stream].request;
        if (name == ":path")
            request.path = value;
        else
            request.headers.emplace(name, value);
    }

    void headersCompleted(int32_t) override { }

    void dataReceived(int32_t stream, std::string_view bytes) override
    {
        auto& body = m_streams[stream].request.body;
        if (body.size() + bytes.size() > m_server.m_options.limits.maxBodyBytes)
            return m_http2->resetStream(stream, NGHTTP2_ENHANCE_YOUR_CALM);
        body.append(bytes);
        m_http2->consume(stream, bytes.size());
    }

    void endStreamReceived(int32_t stream) override
    {
        auto& state = m_streams[stream];
        if (state.buffer)
            return;
        state.buffer = std::make_shared<ResponseBuffer>();
        auto responder = std::make_shared<Responder>(shared_from_this(), stream, state.buffer);
        if (!isAuthorised(headerOr(state.request.headers, "authorization"), m_server.m_options.acceptedKeys)) {
            const Error refusal { ErrorKind::Unauthenticated, "the presented key is not one of the accepted inner keys" };
            return responder->respond(401, { { "content-type", "application/problem+json" } }, problemDetails(refusal, ""));
        }
        m_server.m_handler(std::move(state.request), std::move(responder));
    }

    void streamClosed(int32_t stream, uint32_t) override
    {
        const auto found = m_streams.find(stream);
        if (found == m_streams.end())
            return;
        if (found->second.buffer)
            found->second.buffer->close(ResponseBuffer::CloseReason::StreamEnded);
        m_streams.erase(found);
    }

    void pingAcknowledged() override { }

    void connectionClosed(std::string_view) override
    {
        for (auto& [id, state] : m_streams) {
            if (state.buffer)
                state.buffer->close(ResponseBuffer::CloseReason::ConnectionLost);
        }
        m_streams.clear();
        // The connection is erased in a posted task, because its methods are still on the call stack here.
        boost::asio::post(*m_server.m_context, [&server = m_server, self = shared_from_this()] { server.m_connections.erase(self); });
    }

private:
    struct StreamState {
        InnerRequest request;
        std::shared_ptr<ResponseBuffer> buffer;
    };

    class Responder final : public InnerResponder {
    public:
        Responder(std::shared_ptr<Connection> connection, int32_t stream, std::shared_ptr<ResponseBuffer> buffer)
            : m_context(connection->m_server.m_context)
            , m_connection(std::move(connection))
            , m_stream(stream)
            , m_buffer(std::move(buffer))
        {
        }

        ~Responder() override
        {
            if (!m_isFinished)
                abort();
        }

        void start(int status, InnerHeaders headers) override
        {
            headers[":status"] = std::to_string(status);
            post([headers = std::move(headers), buffer = m_buffer](Connection& connection, int32_t stream) {
                if (!connection.m_streams.contains(stream))
                    return;
                nghttp2_data_provider body { { .ptr = buffer.get() }, readResponse };
                connection.m_http2->submitResponse(stream, headers, &body);
            });
        }

        bool write(std::string_view bytes) override
        {
            if (!m_buffer->append(bytes))
                return false;
            resume();
            return true;
        }

        void finish() override
        {
            m_isFinished = true;
            m_buffer->finish();
            resume();
        }

        void abort() override
        {
            m_isFinished = true;
            post([](Connection& connection, int32_t stream) {
                if (connection.m_streams.contains(stream))
                    connection.m_http2->resetStream(stream, NGHTTP2_INTERNAL_ERROR);
            });
        }

        bool isCancelled() const override { return m_buffer->isClosed(); }
        bool isConnectionLost() const override { return m_buffer->isConnectionLost(); }
        void onCancelled(std::function<void()> handler) override { m_buffer->setCloseHandler(std::move(handler)); }

    private:
        template <typename Action>
        void post(Action action)
        {
            boost::asio::post(*m_context, [connection = m_connection, stream = m_stream, action = std::move(action)] { action(*connection, stream); });
        }

        void resume()
        {
            post([](Connection& connection, int32_t stream) {
                if (connection.m_streams.contains(stream))
                    connection.m_http2->resumeData(stream);
            });
        }

        const std::shared_ptr<boost::asio::io_context> m_context; ///< Destroyed after the connection, whose socket uses it.
        const std::shared_ptr<Connection> m_connection;
        const int32_t m_stream;
        const std::shared_ptr<ResponseBuffer> m_buffer;
        bool m_isFinished = false;
    };

    InnerServer& m_server;
    const std::shared_ptr<detail::Http2Connection> m_http2;
    std::map<int32_t, StreamState> m_streams;
};

InnerServer::InnerServer(Options options, Handler handler)
    : m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_context(std::make_shared<boost::asio::io_context>())
    , m_acceptor(*m_context)
{
}

InnerServer::~InnerServer()
{
    stop();
}

Result<int> InnerServer::start(const std::string& host, int port)
{
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(host, failure);
    const boost::asio::ip::tcp::endpoint endpoint(address, static_cast<uint16_t>(port));
    if (!failure)
        m_acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        m_acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        m_acceptor.bind(endpoint, failure);
    if (!failure)
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
    if (failure)
        return Error { ErrorKind::InvalidSettings, "cannot listen on " + host + ":" + std::to_string(port) + ": " + failure.message() };
    accept();
    m_thread = std::thread([this] { m_context->run(); });
    return static_cast<int>(m_acceptor.local_endpoint().port());
}

void InnerServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& failure, boost::asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!failure) {
            auto connection = std::make_shared<Connection>(*this, std::move(socket));
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

void InnerServer::stop()
{
    if (!m_thread.joinable())
        return;
    boost::asio::post(*m_context, [this] {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        const auto connections = m_connections;
        for (const auto& connection : connections)
            connection->close();
        m_context->stop();
    });
    m_thread.join();
}

}
