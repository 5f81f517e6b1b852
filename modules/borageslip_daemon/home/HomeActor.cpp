#include "HomeActor.h"

#include <caf/event_based_actor.hpp>
#include <caf/response_promise.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/stateful_actor.hpp>

namespace borageslip {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };
    // Medians change slowly, and each changed value takes space in the datagrams of all members.
    constexpr int ticksPerLatencyExchange = 10;
    constexpr std::chrono::milliseconds statusTimeout { 1000 };
    // The actor itself replies within the deadline. The margin is exceeded only if the actor has stopped.
    constexpr std::chrono::milliseconds replyMargin { 1000 };

    struct HomeState {
        std::unique_ptr<EngineHome> home;
        std::map<RequestId, caf::response_promise> waiting;
        int ticks = 0;

        void deliver(EngineHome::Replies&& replies)
        {
            for (auto& [request, reply] : replies) {
                const auto found = waiting.find(request);
                if (found == waiting.end())
                    continue;
                found->second.deliver(std::move(reply));
                waiting.erase(found);
            }
        }
    };

    void exchangeLoads(EngineHome& home, const LoadExchange& exchange)
    {
        const auto loads = home.loads();
        exchange.publish(loads);
        for (const auto& load : loads) {
            if (const auto mean = exchange.meanLoad(load.model))
                home.setMeanLoad(load.model, *mean);
        }
    }

    void exchangeLatencies(EngineHome& home, const LoadExchange& exchange, TimePoint now)
    {
        exchange.publishLatencies(home.latencies(now));
        home.setPeerLatencies(exchange.peerLatencies(), now);
    }

    caf::behavior homeBehavior(caf::stateful_actor<HomeState>* self, const MemberId& member, const Clock* clock, const LoadExchange& exchange)
    {
        self->state.home = std::make_unique<EngineHome>(member);
        self->delayed_send(self, tickInterval, HomeTickMessage {});
        return {
            [=](AdmitMessage& message) -> caf::result<AdmissionReply> {
                auto& state = self->state;
                if (auto reply = state.home->admit(message.query, clock->now()))
                    return *reply;
                auto promise = self->make_response_promise();
                state.waiting.emplace(message.query.request, promise);
                return caf::delegated<AdmissionReply>();
            },
            [=](WithdrawMessage& message) {
                self->state.waiting.erase(message.request);
                self->state.deliver(self->state.home->withdraw(message.engine, message.request, clock->now()));
            },
            [=](RunEndedMessage& message) { self->state.deliver(self->state.home->finish(message.report, clock->now())); },
            [=](ChatPlacedMessage message) { self->state.home->recordPlacement(message.chat, message.servedAt, clock->now()); },
            [=](RunningCountMessage& message) { self->state.home->setReportedRunning(message.engine, message.running, clock->now()); },
            [=](EngineObservedMessage& message) { self->state.deliver(self->state.home->observe(message.observation, clock->now())); },
            [=](FleetChangedMessage& message) { self->state.deliver(self->state.home->update(*message.fleet)); },
            [=](HomeTickMessage) {
                exchangeLoads(*self->state.home, exchange);
                if (self->state.ticks++ % ticksPerLatencyExchange == 0)
                    exchangeLatencies(*self->state.home, exchange, clock->now());
                self->state.deliver(self->state.home->tick(clock->now()));
                self->delayed_send(self, tickInterval, HomeTickMessage {});
            },
            [=](HomeStatusQuery) { return HomeStatus { self->state.home->status(), self->state.home->loads() }; },
        };
    }

}

caf::actor spawnHomeActor(caf::actor_system& system, const MemberId& self, const Clock& clock, LoadExchange exchange)
{
    return system.spawn(homeBehavior, self, &clock, std::move(exchange));
}

AdmissionReply HomeClient::admit(const AdmissionQuery& query, std::chrono::milliseconds timeout) const
{
    caf::scoped_actor self(m_system);
    AdmissionReply result = Error { ErrorKind::DeadlineBeforeStart, "no decision within the deadline" };
    bool hasReply = false;
    self->request(m_home, timeout + replyMargin, AdmitMessage { query })
        .receive(
            [&](AdmissionReply& reply) {
                result = std::move(reply);
                hasReply = true;
            },
            [](caf::error&) {});
    if (!hasReply)
        self->send(m_home, WithdrawMessage { query.engine, query.request });
    return result;
}

void HomeClient::finish(const RunReport& report) const
{
    caf::anon_send(m_home, RunEndedMessage { report });
}

void HomeClient::setReportedRunning(const EngineId& engine, int running) const
{
    caf::anon_send(m_home, RunningCountMessage { engine, running });
}

void HomeClient::recordPlacement(ChatKey chat, EngineHash servedAt) const
{
    caf::anon_send(m_home, ChatPlacedMessage { chat, servedAt });
}

void HomeClient::observe(const EngineObservation& observation) const
{
    caf::anon_send(m_home, EngineObservedMessage { observation });
}

void HomeClient::update(std::shared_ptr<const FleetView> fleet) const
{
    caf::anon_send(m_home, FleetChangedMessage { std::move(fleet) });
}

std::optional<HomeStatus> HomeClient::status() const
{
    caf::scoped_actor self(m_system);
    std::optional<HomeStatus> result;
    self->request(m_home, statusTimeout, HomeStatusQuery {}).receive([&](HomeStatus& status) { result = std::move(status); }, [](caf::error&) {});
    return result;
}

void HomeClient::stop() const
{
    caf::anon_send_exit(m_home, caf::exit_reason::user_shutdown);
}

}
