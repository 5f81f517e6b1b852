#include "InnerClient.h"

#include <boost/asio/post.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

namespace borageslip {

/** A stream's state, shared by the reading thread and the I/O thread. The mutex guards the members below it, except
    partialHead, which only the I/O thread uses. */
struct InnerClient::StreamState {
    InnerRequest request;
    size_t bodyOffset = 0; // I/O thread only.
    bool isCancelled = false; // I/O thread only.
    std::shared_ptr<Peer> peer;
    int32_t stream = -1; // I/O thread only.
    std::weak_ptr<detail::Http2Connection> connection; // I/O thread only.

    std::mutex mutex;
    std::condition_variable changed;
    std::optional<InnerStream::Head> head;
    InnerStream::Head partialHead;
    std::deque<std::string> chunks;
    bool isEnded = false;
    std::optional<Error> failure;

    void fail(Error error)
    {
        const std::lock_guard lock(mutex);
        if (isEnded || failure)
            return;
        failure = std::move(error);
        changed.notify_all();
    }
};

namespace {

    std::optional<std::pair<std::string, std::string>> splitAddress(const std::string& address)
    {
        const auto colon = address.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        return std::pair { address.substr(0, colon), address.substr(colon + 1) };
    }

}

/** The connection to one peer and the requests waiting for it. Used on the I/O thread only. */
class InnerClient::Peer final : public detail::Http2Connection::Listener, public std::enable_shared_from_this<Peer> {
public:
    Peer(InnerClient& client, std::string address)
        : m_client(client)
        , m_address(std::move(address))
        , m_timer(client.m_context)
    {
    }

    void start(const std::shared_ptr<StreamState>& state)
    {
        if (state->isCancelled)
            return;
        if (m_state == ConnectionState::Ready && m_connection->timeSinceLastReceive() <= m_client.m_options.validateAfterInactivity)
            return submit(state);
        m_waiting.push_back(state);
        if (m_state == ConnectionState::Closed)
            connect();
        else if (m_state == ConnectionState::Ready)
            validate();
    }

    void cancel(const std::shared_ptr<StreamState>& state)
    {
        if (std::exchange(state->isCancelled, true))
            return;
        size_t unread = 0;
        {
            const std::lock_guard lock(state->mutex);
            for (const auto& chunk : std::exchange(state->chunks, {}))
                unread += chunk.size();
        }
        reportConsumed(state, unread);
        if (isOnCurrentConnection(*state) && m_streams.contains(state->stream))
            m_connection->resetStream(state->stream, NGHTTP2_CANCEL);
    }

    /** Reopens the flow-control windows. Also needed for closed streams, since all streams share the connection's window. */
    void reportConsumed(const std::shared_ptr<StreamState>& state, size_t bytes)
    {
        if (bytes > 0 && isOnCurrentConnection(*state))
            m_connection->consume(state->stream, bytes);
    }

    void close()
    {
        if (m_connection)
            m_connection->close("the client was stopped");
        failWaiting("the client was stopped");
    }

    void headerReceived(int32_t stream, std::string_view name, std::string_view value) override
    {
        const auto found = m_streams.find(stream);
        if (found == m_streams.end())
            return;
        if (name == ":status")
            found->second->partialHead.status = std::atoi(std::string(value).c_str());
        else
            found->second->partialHead.headers.emplace(name, value);
    }

    void headersCompleted(int32_t stream) override
    {
        updateStream(stream, [](StreamState& state) {
            if (!state.head)
                state.head = std::move(state.partialHead);
        });
    }

    void dataReceived(int32_t stream, std::string_view bytes) override
    {
        const auto found = m_streams.find(stream);
        if (found == m_streams.end() || found->second->isCancelled)
            return m_connection->consume(stream, bytes.size());
        updateStream(stream, [&](StreamState& state) { state.chunks.emplace_back(bytes); });
    }

    void endStreamReceived(int32_t stream) override
    {
        updateStream(stream, [](StreamState& state) { state.isEnded = true; });
    }

    void streamClosed(int32_t stream, uint32_t errorCode) override
    {
        const auto found = m_streams.find(stream);
        if (found == m_streams.end())
            return;
        const auto state = found->second;
        m_streams.erase(found);
        // REFUSED_STREAM guarantees that the peer has not processed the request.
        if (errorCode == NGHTTP2_REFUSED_STREAM)
            state->fail({ ErrorKind::PeerUnreachable, m_address + " refused the stream" });
        else
            state->fail({ ErrorKind::PeerConnectionLost, m_address + " reset the stream: " + nghttp2_http2_strerror(errorCode) });
    }

    void pingAcknowledged() override
    {
        if (m_state != ConnectionState::Validating)
            return;
        m_state = ConnectionState::Ready;
        m_timer.cancel();
        submitWaiting();
    }

    void connectionClosed(std::string_view reason) override
    {
        m_timer.cancel();
        const bool wasValidating = m_state == ConnectionState::Validating;
        m_state = ConnectionState::Closed;
        const auto streams = std::exchange(m_streams, {});
        const Error failure { reason == "the connection went silent" ? ErrorKind::ConnectionSilent : ErrorKind::PeerConnectionLost, m_address + ": " + std::string(reason) };
        for (const auto& [id, state] : streams)
            state->fail(failure);
        // Requests that waited for the validation have not been sent, so they can safely use a new connection.
        if (wasValidating && !m_waiting.empty() && m_client.m_work.owns_work())
            connect();
    }

private:
    enum class ConnectionState {
        Closed,
        Connecting,
        Validating,
        Ready,
    };

    bool isOnCurrentConnection(const StreamState& state) const
    {
        return m_connection && m_connection->isOpen() && state.connection.lock() == m_connection;
    }

    template <typename Update>
    void updateStream(int32_t stream, Update update)
    {
        const auto found = m_streams.find(stream);
        if (found == m_streams.end())
            return;
        const std::lock_guard lock(found->second->mutex);
        update(*found->second);
        found->second->changed.notify_all();
    }

    void connect()
    {
        m_state = ConnectionState::Connecting;
        const auto hostAndPort = splitAddress(m_address);
        boost::system::error_code failure;
        const auto ip = hostAndPort ? boost::asio::ip::make_address(hostAndPort->first, failure) : boost::asio::ip::address();
        if (!hostAndPort || failure)
            return connectFailed("malformed address, expected ip:port");
        auto socket = std::make_shared<boost::asio::ip::tcp::socket>(m_client.m_context);
        const boost::asio::ip::tcp::endpoint endpoint(ip, static_cast<uint16_t>(std::atoi(hostAndPort->second.c_str())));
        m_timer.expires_after(m_client.m_options.connectTimeout);
        m_timer.async_wait([socket](const boost::system::error_code& cancelled) {
            boost::system::error_code ignored;
            if (!cancelled)
                socket->close(ignored);
        });
        socket->async_connect(endpoint, [self = shared_from_this(), socket](const boost::system::error_code& error) {
            self->m_timer.cancel();
            if (error)
                return self->connectFailed(error.message());
            self->connected(std::move(*socket));
        });
    }

    void connected(boost::asio::ip::tcp::socket socket)
    {
        // The previous connection may still be on the call stack while it closes; its pending handlers keep it alive.
        m_connection = std::make_shared<detail::Http2Connection>(std::move(socket), detail::Http2Connection::Role::Client, m_client.m_options.limits, *this);
        m_state = ConnectionState::Ready;
        m_connection->start();
        submitWaiting();
    }

    void connectFailed(std::string_view reason)
    {
        m_state = ConnectionState::Closed;
        failWaiting(reason);
    }

    void failWaiting(std::string_view reason)
    {
        for (const auto& state : std::exchange(m_waiting, {}))
            state->fail({ ErrorKind::PeerUnreachable, m_address + ": " + std::string(reason) });
    }

    void validate()
    {
        m_state = ConnectionState::Validating;
        m_timer.expires_after(m_client.m_options.validationTimeout);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
            if (!cancelled && self->m_state == ConnectionState::Validating)
                self->m_connection->close("the connection went silent");
        });
        m_connection->ping();
    }

    void submitWaiting()
    {
        for (const auto& state : std::exchange(m_waiting, {})) {
            if (!state->isCancelled)
                submit(state);
        }
    }

    void submit(const std::shared_ptr<StreamState>& state)
    {
        InnerHeaders headers = state->request.headers;
        headers[":method"] = "POST";
        headers[":scheme"] = "http";
        headers[":path"] = state->request.path;
        headers[":authority"] = m_address;
        headers["authorization"] = "Bearer " + m_client.m_options.key;
        nghttp2_data_provider body { { .ptr = state.get() }, readBody };
        const auto stream = m_connection->submitRequest(headers, &body);
        if (!stream)
            return state->fail({ ErrorKind::PeerUnreachable, m_address + " accepts no more streams on this connection" });
        state->stream = *stream;
        state->connection = m_connection;
        m_streams.emplace(*stream, state);
    }

    static ssize_t readBody(nghttp2_session*, int32_t, uint8_t* target, size_t size, uint32_t* flags, nghttp2_data_source* source, void*)
    {
        auto& state = *static_cast<StreamState*>(source->ptr);
        const auto rest = std::string_view(state.request.body).substr(state.bodyOffset, size);
        std::copy(rest.begin(), rest.end(), target);
        state.bodyOffset += rest.size();
        if (state.bodyOffset == state.request.body.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(rest.size());
    }

    InnerClient& m_client;
    const std::string m_address;
    boost::asio::steady_timer m_timer;
    ConnectionState m_state = ConnectionState::Closed;
    std::shared_ptr<detail::Http2Connection> m_connection;
    std::map<int32_t, std::shared_ptr<StreamState>> m_streams;
    std::vector<std::shared_ptr<StreamState>> m_waiting;
};

class InnerClient::Stream final : public InnerStream {
public:
    Stream(InnerClient& client, std::shared_ptr<StreamState> state)
        : m_client(client)
        , m_state(std::move(state))
    {
    }

    ~Stream() override { cancel(); }

    Result<Head> head(std::chrono::milliseconds timeout) override
    {
        std::unique_lock lock(m_state->mutex);
        const bool isReady = m_state->changed.wait_for(lock, timeout, [&] { return m_state->head || m_state->failure; });
        if (m_state->head)
            return *m_state->head;
        if (m_state->failure)
            return *m_state->failure;
        return Error { isReady ? ErrorKind::Internal : ErrorKind::ConnectionSilent, "the peer sent no response headers in time" };
    }

    Result<std::optional<std::string>> next(std::chrono::milliseconds timeout) override
    {
        std::unique_lock lock(m_state->mutex);
        m_state->changed.wait_for(lock, timeout, [&] { return !m_state->chunks.empty() || m_state->isEnded || m_state->failure; });
        if (!m_state->chunks.empty()) {
            auto chunk = std::move(m_state->chunks.front());
            m_state->chunks.pop_front();
            lock.unlock();
            boost::asio::post(m_client.m_context, [state = m_state, size = chunk.size()] { state->peer->reportConsumed(state, size); });
            return std::optional(std::move(chunk));
        }
        if (m_state->isEnded)
            return std::optional<std::string>();
        if (m_state->failure)
            return *m_state->failure;
        return Error { ErrorKind::ConnectionSilent, "the peer sent nothing in time" };
    }

    void cancel() override
    {
        boost::asio::post(m_client.m_context, [state = m_state] { state->peer->cancel(state); });
    }

private:
    InnerClient& m_client;
    const std::shared_ptr<StreamState> m_state;
};

InnerClient::InnerClient(Options options)
    : m_options(std::move(options))
    , m_work(m_context.get_executor())
    , m_thread([this] { m_context.run(); })
{
}

InnerClient::~InnerClient()
{
    stop();
}

std::unique_ptr<InnerStream> InnerClient::start(const std::string& address, InnerRequest request)
{
    auto state = std::make_shared<StreamState>();
    state->request = std::move(request);
    boost::asio::post(m_context, [this, state, address] {
        auto& peer = m_peers[address];
        if (!peer)
            peer = std::make_shared<Peer>(*this, address);
        state->peer = peer;
        peer->start(state);
    });
    return std::make_unique<Stream>(*this, std::move(state));
}

void InnerClient::stop()
{
    if (!m_thread.joinable())
        return;
    boost::asio::post(m_context, [this] {
        m_work.reset();
        for (const auto& [address, peer] : m_peers)
            peer->close();
        m_context.stop();
    });
    m_thread.join();
}

Result<std::string> readAll(InnerStream& stream, size_t maxBytes, std::chrono::milliseconds timeout)
{
    std::string body;
    while (true) {
        auto chunk = stream.next(timeout);
        if (!isOk(chunk))
            return error(chunk);
        if (!value(chunk))
            return body;
        body += *value(chunk);
        if (body.size() > maxBytes)
            return Error { ErrorKind::RequestTooLarge, "the peer's response exceeds the size limit" };
    }
}

}
