#include "Fixtures.h"

#include <catch2/catch.hpp>
#include <random>

using namespace borageslip;

namespace {

/** The configuration holder of a daemon with its recent differences. */
struct Peer {
    explicit Peer(ConfigurationDifferences::Limits limits = {})
        : differences(limits)
    {
        holder.addListener(differences);
    }

    void apply(uint64_t revision, const nlohmann::json& document) { REQUIRE(isOk(holder.apply(revision, document.dump()))); }

    ConfigurationHolder holder;
    ConfigurationDifferences differences;
};

nlohmann::json documentOfPlan(int plan, double weight)
{
    auto document = sampleDocument();
    document["plan"] = std::to_string(plan);
    document["engines"]["e1"]["weight"] = weight;
    return document;
}

nlohmann::json randomlyChanged(nlohmann::json document, std::mt19937_64& random)
{
    const std::string name = "x" + std::to_string(random() % 4);
    auto& accounts = document["accounts"];
    if (random() % 3 == 0)
        accounts.erase(name);
    else
        accounts[name] = { { "key_sha256", { sha256Hex(name + std::to_string(random() % 3)) } }, { "weight", 1 + random() % 3 } };
    if (random() % 2 == 0)
        accounts["a"]["burst"] = 1 + random() % 2;
    else
        accounts["a"].erase("burst");
    if (random() % 3 == 0)
        document.erase("plan");
    else
        document["plan"] = std::to_string(random());
    return document;
}

}

TEST_CASE("a peer that is one revision behind gets a difference instead of the complete document")
{
    Peer peer;
    CHECK_FALSE(isOk(peer.differences.responseFor(0)));
    peer.apply(3, documentOfPlan(1, 1));
    peer.apply(7, documentOfPlan(2, 2));
    const auto answer = value(peer.differences.responseFor(3));
    CHECK(answer.kind == ConfigurationResponse::Kind::Difference);
    CHECK(answer.body == R"([{"engines":{"e1":{"weight":2.0}},"plan":"2"}])");
    CHECK(value(peer.differences.responseFor(0)).kind == ConfigurationResponse::Kind::Document);
    CHECK(value(peer.differences.responseFor(2)).kind == ConfigurationResponse::Kind::Document);
    CHECK(value(peer.differences.responseFor(7)).kind == ConfigurationResponse::Kind::UpToDate);
    CHECK(value(peer.differences.responseFor(9)).kind == ConfigurationResponse::Kind::UpToDate);
}

TEST_CASE("a difference yields exactly the announced document or is rejected, and the complete document is always accepted")
{
    size_t rejected = 0;
    size_t taken = 0;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        std::mt19937_64 random(seed);
        Peer peer;
        Peer asker;
        auto document = sampleDocument();
        for (uint64_t revision = 1; revision <= 30; ++revision) {
            document = randomlyChanged(document, random);
            // Both skip some revisions, as daemons do during a burst of changes.
            if (random() % 2 == 0)
                peer.apply(revision, document);
            if (random() % 4 == 0)
                asker.apply(revision, document);
            const auto held = asker.holder.current();
            const auto answer = peer.differences.responseFor(held ? held->revision : 0);
            if (!isOk(answer) || value(answer).kind == ConfigurationResponse::Kind::UpToDate)
                continue;
            const auto text = value(answer).resolveDocument(held.get());
            INFO("seed " << seed << " revision " << revision);
            if (isOk(text))
                REQUIRE(value(text) == peer.holder.current()->configuration->text());
            else
                REQUIRE(value(answer).kind == ConfigurationResponse::Kind::Difference);
            ++(isOk(text) ? taken : rejected);
            REQUIRE(isOk(value(peer.differences.responseFor(0)).resolveDocument(nullptr)));
        }
    }
    CHECK(taken > rejected);
    CHECK(rejected > 0);
    CHECK(invariantViolations() == 0);
}

TEST_CASE("a difference that is corrupted or applies to another document is rejected")
{
    Peer peer;
    peer.apply(1, documentOfPlan(1, 1));
    peer.apply(2, documentOfPlan(2, 2));
    const auto answer = value(peer.differences.responseFor(1));
    Peer other;
    other.apply(1, documentOfPlan(1, 1));
    const auto held = other.holder.current();
    CHECK(isOk(answer.resolveDocument(held.get())));
    CHECK_FALSE(isOk(answer.resolveDocument(nullptr)));
    for (const auto* body : { "", "{}", "[", "[1]", "[{}]", R"([{"plan":"3"}])" }) {
        auto damaged = answer;
        damaged.body = body;
        CHECK_FALSE(isOk(damaged.resolveDocument(held.get())));
    }
    auto whole = value(peer.differences.responseFor(0));
    whole.body.back() = ' ';
    CHECK_FALSE(isOk(whole.resolveDocument(nullptr)));
}

TEST_CASE("the stored patches stay within their limits, and a peer older than the first patch gets the complete document")
{
    Peer peer({ .patches = 3, .bytes = 1 << 20 });
    Peer small({ .patches = 100, .bytes = 10 });
    for (int plan = 1; plan <= 20; ++plan) {
        peer.apply(static_cast<uint64_t>(plan), documentOfPlan(plan, plan));
        small.apply(static_cast<uint64_t>(plan), documentOfPlan(plan, plan));
    }
    CHECK(value(peer.differences.responseFor(17)).kind == ConfigurationResponse::Kind::Difference);
    CHECK(value(peer.differences.responseFor(16)).kind == ConfigurationResponse::Kind::Document);
    CHECK(value(small.differences.responseFor(19)).kind == ConfigurationResponse::Kind::Document);
}
