#include "entries/duty_ranking.h"

#include <catch2/catch.hpp>

#include <set>

using namespace camphorrail;

TEST_CASE("entries agree on the ranking for a duty", "[entries]") {
    std::vector<base::entry_id> all;
    all.reserve(20);
    for (int each = 0; each < 20; ++each) {
        all.push_back({"entry-" + std::to_string(each)});
    }
    const auto rank_of = [&all](const base::entry_id& self, const std::string& duty) {
        auto others = all;
        std::erase(others, self);
        return entries::duty_rank(others, self, duty);
    };
    std::set<std::size_t> ranks;
    std::set<std::string> first;
    for (const auto& self : all) {
        ranks.insert(rank_of(self, "duty"));
    }
    CHECK(ranks.size() == all.size());
    CHECK(*ranks.rbegin() == all.size() - 1);

    SECTION("different duties are assigned to different entries") {
        for (int duty = 0; duty < 20; ++duty) {
            for (const auto& self : all) {
                if (rank_of(self, "duty-" + std::to_string(duty)) == 0) {
                    first.insert(self.value);
                }
            }
        }
        CHECK(first.size() > 8);
    }
    SECTION("rank 1 becomes rank 0 when the first entry is removed") {
        for (const auto& self : all) {
            if (rank_of(self, "duty") != 1) {
                continue;
            }
            auto others = all;
            std::erase(others, self);
            std::erase_if(others, [&](const auto& id) { return rank_of(id, "duty") == 0; });
            CHECK(entries::duty_rank(others, self, "duty") == 0);
        }
    }
}
