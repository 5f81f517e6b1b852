#pragma once

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/** A TCP relay in front of a server. Its open connections can be frozen, that is, kept open without forwarding data, or
    closed. */
class FreezableRelay {
    using Tcp = boost::asio::ip::tcp;

    struct Connection {
        explicit Connection(boost::asio::io_context& context)
            : client(context)
            , target(context)
        {
        }
        Tcp::socket client;
        Tcp::socket target;
        std::array<char, 65536> fromClient {};
        std::array<char, 65536> fromTarget {};
        bool isFrozen = false;
    };

public:
    explicit FreezableRelay(const std::string& target)
        : m_acceptor(m_context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_target(boost::asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(std::stoi(target.substr(target.rfind(':') + 1))))
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~FreezableRelay()
    {
        m_context.stop();
        m_thread.join();
    }

    FreezableRelay(const FreezableRelay&) = delete;
    FreezableRelay& operator=(const FreezableRelay&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    int acceptedConnections() const { return m_accepted; }

    void freezeOpenConnections()
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            for (const auto& connection : m_connections)
                connection->isFrozen = true;
            done.set_value();
        });
        done.get_future().wait();
    }

    void closeOpenConnections()
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            boost::system::error_code ignored;
            for (const auto& connection : m_connections) {
                connection->client.close(ignored);
                connection->target.close(ignored);
            }
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    void accept()
    {
        auto connection = std::make_shared<Connection>(m_context);
        m_acceptor.async_accept(connection->client, [this, connection](const boost::system::error_code& failure) {
            if (failure)
                return;
            ++m_accepted;
            m_connections.push_back(connection);
            connection->target.connect(m_target);
            relay(connection, connection->client, connection->target, connection->fromClient);
            relay(connection, connection->target, connection->client, connection->fromTarget);
            accept();
        });
    }

    void relay(const std::shared_ptr<Connection>& connection, Tcp::socket& from, Tcp::socket& to, std::array<char, 65536>& buffer)
    {
        from.async_read_some(boost::asio::buffer(buffer), [this, connection, &from, &to, &buffer](const boost::system::error_code& failure, size_t size) {
            if (connection->isFrozen)
                return;
            boost::system::error_code ignored;
            if (failure) {
                to.close(ignored);
                return;
            }
            boost::asio::write(to, boost::asio::buffer(buffer.data(), size), ignored);
            relay(connection, from, to, buffer);
        });
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    const Tcp::endpoint m_target;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::atomic<int> m_accepted { 0 };
    std::thread m_thread;
};
