#include "base/hash.h"
#include "base/random.h"
#include "routing/rendezvous.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace camphorrail;

TEST_CASE("homes by rendezvous hashing", "[routing]") {
    std::vector<std::uint64_t> members;
    members.reserve(21);
    for (int index = 0; index < 21; ++index) {
        members.push_back(base::stable_hash("pool-" + std::to_string(index)));
    }
    base::random_source random{1};

    SECTION("spread keys evenly") {
        std::vector<int> load(members.size());
        constexpr int keys = 21000;
        for (int key = 0; key < keys; ++key) {
            ++load[routing::rank_members(members, base::random_bits(random), 1).front()];
        }
        CHECK(*std::min_element(load.begin(), load.end()) > 850);
        CHECK(*std::max_element(load.begin(), load.end()) < 1150);
    }

    SECTION("only the keys of a removed member move, each to its second home") {
        for (int round = 0; round < 1000; ++round) {
            const auto key = base::random_bits(random);
            const auto before = routing::rank_members(members, key, 2);
            auto fewer = members;
            fewer[7] = members.back();
            fewer.pop_back();
            const auto after =
                members[before[0]] == members[7] ? members[before[1]] : members[before[0]];
            CHECK(fewer[routing::rank_members(fewer, key, 1).front()] == after);
        }
    }

    SECTION("are all members if fewer exist than requested") {
        CHECK(routing::rank_members({5, 6}, 1, 3).size() == 2);
        CHECK(routing::rank_members({}, 1, 3).empty());
    }
}
