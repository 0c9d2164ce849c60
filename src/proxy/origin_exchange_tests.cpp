#include "proxy/origin_exchange.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace camphorrail;
using resumption::introduction;

namespace {

const resumption::stream_origin origin{{"pool"}, {"v1"}, {{"i-1"}, {7}}};

// Entries with one exchange each. A message arrives at once, or never at an entry that is cut off.
struct exchange_world {
    struct entry {
        tests::proxy_world world;
        base::entry_id id;
        std::unique_ptr<proxy::origin_exchange> exchange;
        bool cut_off = false;
        int received = 0;
    };
    std::vector<std::unique_ptr<entry>> entries;

    explicit exchange_world(std::size_t count) {
        for (std::size_t each = 0; each < count; ++each) {
            this->entries.push_back(std::make_unique<entry>());
            this->start(*this->entries.back(), each);
        }
    }

    void start(entry& one, std::size_t number) {
        one.id = {"entry-" + std::to_string(number)};
        one.world.name_entry(one.id);
        one.world.state.origins = {};
        auto& versions = one.world.state.software[{"pool"}];
        versions.recorded = true;
        versions.known[{"v1"}].state = introduction::active;
        versions.known[{"v2"}].state = introduction::active;
        one.exchange = std::make_unique<proxy::origin_exchange>(one.world.entry());
        one.exchange->connected_entries = [this, &one] {
            std::vector<camphorrail::entries::linked_entry> others;
            for (const auto& each : this->entries) {
                if (each.get() != &one) {
                    others.push_back({each->id, {"zone"}});
                }
            }
            return others;
        };
        one.exchange->send = [this, &one](const auto& to, const peering::message& message) {
            this->deliver(one, to, message);
        };
    }

    void deliver(entry& from, const std::vector<base::entry_id>& to,
                 const peering::message& message) {
        for (const auto& each : this->entries) {
            const bool wanted = std::find(to.begin(), to.end(), each->id) != to.end();
            if (!wanted || each->cut_off || from.cut_off) {
                continue;
            }
            ++each->received;
            std::visit(
                [&](const auto& payload) {
                    if constexpr (requires {
                                      each->exchange->receive(from.id, payload, base::instant{});
                                  }) {
                        each->exchange->receive(from.id, payload, each->world.entry().now());
                    }
                },
                message);
        }
    }

    std::optional<proxy::origin_answer> ask(std::size_t number, const std::string& request) {
        std::optional<proxy::origin_answer> got;
        auto& one = *this->entries[number];
        one.exchange->find({request}, [&](const proxy::origin_answer& answer) { got = answer; });
        one.world.run_until([&] { return got.has_value(); });
        return got;
    }

    bool knows(std::size_t number, const std::string& request) {
        return resumption::find_origin(this->entries[number]->world.state.origins, {request})
            .has_value();
    }
};

} // namespace

// The entry that began the stream is killed a moment later, and the client comes to another one.
TEST_CASE("other entries know where a stream began as soon as it has begun",
          "[proxy][resumption]") {
    exchange_world fleet(3);
    fleet.entries[0]->exchange->record({"r1"}, origin, base::seconds(5));
    CHECK(fleet.knows(0, "r1"));
    CHECK(fleet.knows(1, "r1"));
    CHECK(fleet.knows(2, "r1"));

    SECTION("but are told nothing while the pool has one version") {
        fleet.entries[0]->world.state.software[{"pool"}].known.erase({"v2"});
        fleet.entries[0]->exchange->record({"r2"}, origin, base::seconds(5));
        CHECK(fleet.knows(0, "r2"));
        CHECK_FALSE(fleet.knows(1, "r2"));

        SECTION("until another one is announced") {
            fleet.entries[0]->exchange->send_pool({"pool"});
            CHECK(fleet.knows(1, "r2"));
            CHECK(fleet.knows(2, "r2"));
        }
    }
    SECTION("and forget it when the client no longer waits") {
        auto& other = *fleet.entries[1];
        other.world.move_clock(base::seconds(20));
        other.exchange->tick();
        CHECK_FALSE(fleet.knows(1, "r1"));
    }
    SECTION("and an entry that starts later is told") {
        fleet.entries[2]->world.state.origins = {};
        fleet.entries[1]->exchange->send_all_to({"entry-2"});
        CHECK(fleet.knows(2, "r1"));
    }
}

TEST_CASE("an entry asks others for a stream that it does not know", "[proxy][resumption]") {
    exchange_world fleet(3);
    fleet.entries[2]->cut_off = true;
    fleet.entries[0]->exchange->record({"r1"}, origin, base::seconds(5));
    fleet.entries[2]->cut_off = false;
    REQUIRE_FALSE(fleet.knows(2, "r1"));
    const auto got = fleet.ask(2, "r1");
    REQUIRE(got.has_value());
    REQUIRE(got->origin.has_value());
    CHECK(got->origin->software == origin.software);
    CHECK(got->origin->upstream == origin.upstream);
    CHECK(fleet.knows(2, "r1"));

    SECTION("and learns that nobody knows it") {
        const auto unknown = fleet.ask(2, "r9");
        REQUIRE(unknown.has_value());
        CHECK_FALSE(unknown->origin.has_value());
        CHECK(unknown->is_final);
    }
    SECTION("and does not wait long for an entry that is cut off") {
        fleet.entries[0]->cut_off = true;
        const auto unknown = fleet.ask(2, "r9");
        REQUIRE(unknown.has_value());
        CHECK_FALSE(unknown->origin.has_value());
        CHECK_FALSE(unknown->is_final);
    }
    SECTION("and gets no reply if it has no links") {
        exchange_world alone(1);
        const auto unknown = alone.ask(0, "r9");
        REQUIRE(unknown.has_value());
        CHECK_FALSE(unknown->is_final);
    }
}

// If each stream were told to all entries, their messages would grow with the square of their
// number.
TEST_CASE("in a large fleet each stream is recorded by a few entries", "[proxy][resumption]") {
    constexpr std::size_t count = 12;
    exchange_world fleet(count);
    constexpr int streams = 20;
    for (int each = 0; each < streams; ++each) {
        fleet.entries[0]->exchange->record({"r" + std::to_string(each)}, origin, base::seconds(5));
    }
    int messages = 0;
    for (const auto& each : fleet.entries) {
        messages += each->received;
    }
    CHECK(messages <= 2 * streams);

    SECTION("and the others find it") {
        for (std::size_t asking = 1; asking < count; ++asking) {
            const auto got = fleet.ask(asking, "r7");
            REQUIRE(got.has_value());
            CHECK(got->origin.has_value());
        }
    }
    SECTION("also when the entry that began it is gone") {
        fleet.entries[0]->cut_off = true;
        const auto got = fleet.ask(5, "r7");
        REQUIRE(got.has_value());
        CHECK(got->origin.has_value());
    }
}
