#include <borageslip_scheduling/borageslip_scheduling.h>

#include <borageslip_core/identity/Hash.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

/** Simulates requests to servers in turn, skipping servers that are to be avoided. */
class Traffic {
public:
    explicit Traffic(size_t servers)
    {
        for (size_t i = 0; i < servers; ++i)
            health.add(i + 1);
    }

    /** Runs for some simulated seconds.
        @param failing server of which every second request fails; 0 for none.
        @param slow server that takes ten times as long as the others; 0 for none. */
    void run(int seconds, uint64_t failing, uint64_t slow)
    {
        for (int tick = 0; tick < seconds * 10; ++tick) {
            for (uint64_t server = 1; server <= 4; ++server)
                send(server, server == failing && tick % 2 == 0, server == slow ? 500ms : 50ms);
            now += 100ms;
            health.evaluate(now);
        }
    }

    /** Share of the requests that may be sent to the server. */
    double share(uint64_t server) const
    {
        int taken = 0;
        for (uint64_t request = 0; request < 1000; ++request)
            taken += health.isAvoided(server, hashBytes(std::to_string(request)), now) ? 0 : 1;
        return taken / 1000.0;
    }

    ServerHealth health;
    TimePoint now = TimePoint() + 1h;

private:
    void send(uint64_t server, bool fails, Duration time)
    {
        if (health.isAvoided(server, hashBytes(std::to_string(++m_request)), now))
            return;
        health.recordSend(server, now);
        if (fails)
            health.recordFailure(server, now, now);
        else
            health.recordAnswer(server, time, now, now);
    }

    uint64_t m_request = 0;
};

}

TEST_CASE("a server that fails half of its requests loses its share within seconds, even if it passes health checks")
{
    Traffic traffic(4);
    traffic.run(6, 2, 0);
    traffic.health.recordSend(2, traffic.now); // Counts as a probe, so that none is due.
    CHECK(traffic.share(2) == 0);
    CHECK(traffic.share(1) == 1);
    CHECK(traffic.share(3) == 1);
}

TEST_CASE("a server that has stopped failing regains its share")
{
    Traffic traffic(4);
    traffic.run(6, 2, 0);
    traffic.run(30, 0, 0);
    CHECK(traffic.share(2) == 1);
}

TEST_CASE("a slow server loses its share in steps and regains it")
{
    Traffic traffic(4);
    traffic.run(8, 0, 3);
    CHECK(traffic.share(3) < 0.6);
    CHECK(traffic.share(1) == 1);
    traffic.run(40, 0, 0);
    CHECK(traffic.share(3) == 1);
}

TEST_CASE("one of two servers may have a reduced share, and it recovers without other servers to compare with")
{
    Traffic traffic(2);
    traffic.run(6, 2, 0);
    CHECK(traffic.share(1) == 1);
    CHECK(traffic.share(2) < 1);
    traffic.run(30, 0, 0);
    CHECK(traffic.share(2) == 1);
}

TEST_CASE("outcomes reported by other instances reveal a failing server that this instance hardly uses")
{
    Traffic traffic(4);
    for (int second = 0; second < 5; ++second) {
        for (uint64_t server = 1; server <= 4; ++server)
            traffic.health.recordPeerOutcomes(server, server == 2 ? 3 : 6, server == 2 ? 3 : 0, traffic.now);
        traffic.now += 1s;
        traffic.health.evaluate(traffic.now);
    }
    traffic.health.recordSend(2, traffic.now);
    CHECK(traffic.share(2) == 0);
    CHECK(traffic.share(1) == 1);
}

TEST_CASE("rare failures do not reduce a server's share")
{
    Traffic traffic(4);
    for (int i = 0; i < 20; ++i) {
        traffic.health.recordFailure(1, traffic.now, traffic.now);
        traffic.run(1, 0, 0);
    }
    CHECK(traffic.share(1) == 1);
}
