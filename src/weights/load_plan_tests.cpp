#include "weights/load_plan.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

std::vector<weights::load_candidate> engines(int count, std::int64_t version) {
    std::vector<weights::load_candidate> all;
    for (int each = 0; each < count; ++each) {
        all.push_back({{"e" + std::to_string(10 + each)}, version, at(0), 0, false, false});
    }
    return all;
}

} // namespace

TEST_CASE("new weights are loaded a few upstreams at a time", "[weights]") {
    auto all = engines(18, 1);
    const weights::load_rules rules;
    all[0].in_flight = 5;
    CHECK(weights::plan_loads(all, 2, at(0), rules) ==
          std::vector<base::upstream_id>{{"e11"}, {"e12"}, {"e13"}});

    SECTION("and only as many as don't slow each other") {
        all[1].loading = true;
        all[2].loading = true;
        CHECK(weights::plan_loads(all, 2, at(0), rules).size() == 1);
    }
    SECTION("never one that is suspected") {
        for (auto& each : all) {
            each.suspected = true;
        }
        CHECK(weights::plan_loads(all, 2, at(0), rules).empty());
    }
}

// Versions follow each other within seconds, and each load costs. Requests need new weights on as
// many upstreams as bear the load; the others wait, and skip a version that is replaced meanwhile.
TEST_CASE("part of the upstreams skips versions that are soon replaced", "[weights]") {
    const weights::load_rules rules;
    auto all = engines(18, 1);
    int loads = 0;
    const auto load_all_wanted = [&](std::int64_t version, base::instant now) {
        for (auto wanted = weights::plan_loads(all, version, now, rules); !wanted.empty();
             wanted = weights::plan_loads(all, version, now, rules)) {
            for (auto& each : all) {
                const bool chosen =
                    std::find(wanted.begin(), wanted.end(), each.id) != wanted.end();
                each.version = chosen ? version : each.version;
                loads += chosen ? 1 : 0;
            }
        }
    };
    load_all_wanted(2, at(1000));
    CHECK(loads == 11);
    for (auto& each : all) {
        each.outdated_since = each.version == 2 ? at(4000) : each.outdated_since;
    }
    load_all_wanted(3, at(4000));
    CHECK(loads == 22);
    load_all_wanted(3, at(9600));
    CHECK(loads == 29);
    for (const auto& each : all) {
        CHECK(each.version == 3);
    }
}
