#pragma once

#include "../engine/Exchange.h"

#include <memory>
#include <string>

namespace borageslip {

/** Serves the requests on one connection sequentially, and detects when the caller disconnects.

    Its coroutines keep it alive. Call it from the event loop only.
    @see CallerListener, Exchange */
class CallerSession final : public ResponseSink, public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(TrafficEngine&, boost::asio::ip::tcp::socket);
    ~CallerSession() override;
    CallerSession(const CallerSession&) = delete;
    CallerSession& operator=(const CallerSession&) = delete;

    void start();

    /** Closes the connection after the current request, or at once if it is idle and has served a request. */
    void beginDrain();

    bool isIdle() const { return !m_exchange; }

    /** The request that is being received or served; absent while the session waits for one. */
    std::optional<OpenRequest> openRequest() const;

    /** Closes the connection at once if it waits for a request. */
    void closeIfWaiting();

    /** Closes the connection at once if it waits for a request and no byte of one has arrived. */
    void closeIfUnused();

    /** Ends the request because of a planned stop. @param scope of All also rejects a request that is being received. */
    void endForStop(StopScope scope);

    /** Closes the connection in a way that lets the caller detect that the response is incomplete, if it is. */
    void abortUnfinished();

    /** Rejects all requests, because the listener has too many sessions. */
    void rejectRequests() { m_rejectsRequests = true; }

    /** Since when it has waited for a request; absent while it receives or serves one, or closes. */
    const std::optional<TimePoint>& waitingSince() const { return m_waitingSince; }

    boost::asio::awaitable<bool> begin(const HttpResponseHead&, std::optional<uint64_t> length) override;
    boost::asio::awaitable<bool> write(std::string_view bytes) override;
    boost::asio::awaitable<bool> end() override;
    void abort() override;
    boost::asio::awaitable<bool> sendError(const Error&) override;
    bool hasBegun() const override { return m_hasBegun; }
    bool isCallerDisconnected() const override { return m_isDisconnected; }

private:
    /** How the end of the response body is marked. */
    enum class Framing {
        Length,
        Chunked,
        UntilClose,
    };

    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<bool> serveRequest();
    boost::asio::awaitable<bool> receiveRequest(RequestReader&, TimePoint arrivedAt);
    boost::asio::awaitable<bool> flush();

    /** Rejects a request that is not complete, and closes the connection once the caller can have read the response. */
    boost::asio::awaitable<void> rejectIncomplete(const Error&);

    /** States the bytes that the session holds. Returns whether the memory budget allows them. */
    bool holdMemory() { return m_memory.hold(m_receiveBuffer.size() + m_requestBytes); }
    Error overloadedError(std::string_view detail);
    bool closesAfterResponse() const { return m_isDraining || !m_keepsConnection; }
    void handleDisconnect();

    TrafficEngine& m_engine;
    boost::asio::ip::tcp::socket m_socket;
    AutoResetEvent m_received;
    AutoResetEvent m_consumed;
    std::string m_receiveBuffer; ///< Received bytes that have not been parsed yet.
    size_t m_requestBytes = 0; ///< Of the body of the current request.
    MemoryBudget::Share m_memory;
    std::string m_sendBuffer; ///< Bytes of the response that have not been sent yet.
    std::shared_ptr<Exchange> m_exchange;
    Framing m_framing = Framing::Length;
    unsigned m_httpVersion = 11;
    bool m_isHeadRequest = false;
    bool m_hasNoBody = false; ///< Whether the response must not have a body: to HEAD, or by its status.
    bool m_isResponsePrepared = false; ///< Whether the response's header is in the send buffer.
    bool m_hasBegun = false; ///< Whether bytes of the response have been sent.
    bool m_isDisconnected = false;
    bool m_isDraining = false;
    bool m_isClosing = false;
    bool m_rejectsRequests = false;
    std::optional<TimePoint> m_waitingSince;
    std::optional<TimePoint> m_receivingSince; ///< Present while a request is being received.
    bool m_hasServedRequest = false;
    bool m_keepsConnection = true;
};

}
