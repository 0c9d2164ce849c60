#include "resumption/software_versions.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using base::software_version;
using resumption::introduction;
using resumption::pool_versions;
using resumption::version_record;
using resumption::version_rules;

namespace {

const software_version first{"v1"};
const software_version second{"v2"};
const version_rules rules;
const base::instant start = base::instant(base::minutes(100));

version_record both(introduction state_of_second) {
    return {{first, introduction::active}, {second, state_of_second}};
}

} // namespace

TEST_CASE("a record of versions survives its encoding", "[resumption]") {
    const auto record = both(introduction::announced);
    CHECK(resumption::parse_record(resumption::encode(record)) == record);

    SECTION("and text that is not a record is rejected") {
        const char* text = GENERATE("", "[]", "{}", "7", R"({"v1":"gone"})", R"({"v1":1})",
                                    R"({"":"active"})", R"({"v1":"active")");
        CHECK_FALSE(resumption::parse_record(text).has_value());
    }
}

TEST_CASE("the versions of a pool are introduced one after another", "[resumption]") {
    pool_versions state;
    CHECK_FALSE(resumption::may_begin_streams(state, first));
    CHECK_FALSE(resumption::only_version(state).has_value());

    SECTION("the first one may begin streams as soon as it is recorded") {
        const auto written = resumption::next_record(state, {}, {first}, start, rules);
        CHECK(written == version_record{{first, introduction::active}});
        CHECK_FALSE(resumption::may_begin_streams(state, first));
        resumption::apply_record(state, written, start, rules);
        CHECK(resumption::may_begin_streams(state, first));
        CHECK(resumption::only_version(state) == first);
        CHECK_FALSE(resumption::next_record(state, {written}, {first}, start, rules).has_value());

        SECTION("a second one is announced first") {
            const auto announced =
                resumption::next_record(state, {written}, {first, second}, start, rules);
            CHECK(announced == both(introduction::announced));
            resumption::apply_record(state, announced, start, rules);
            CHECK(resumption::has_several_versions(state));
            CHECK_FALSE(resumption::only_version(state).has_value());
            CHECK_FALSE(resumption::may_begin_streams(state, second));
            CHECK(resumption::may_begin_streams(state, first));

            SECTION("and begins streams once entries with an older view resume none") {
                const auto soon = start + rules.introduction_time - base::milliseconds(1);
                const auto due = start + rules.introduction_time;
                CHECK(rules.max_view_age < rules.introduction_time);
                CHECK_FALSE(
                    resumption::next_record(state, {announced}, {first, second}, soon, rules));
                const auto active =
                    resumption::next_record(state, {announced}, {first, second}, due, rules);
                CHECK(active == both(introduction::active));
                resumption::apply_record(state, active, due, rules);
                CHECK(resumption::may_begin_streams(state, second));
            }
            SECTION("or as soon as all entries have seen the announcement") {
                CHECK(resumption::next_record(state, {announced, true}, {first, second}, start,
                                              rules) == both(introduction::active));
            }
            SECTION("but not while the store does not hold the announcement") {
                const auto due = start + rules.introduction_time;
                CHECK(resumption::next_record(state, {written}, {first, second}, due, rules) ==
                      announced);
            }
        }
    }
    SECTION("several that run before any is recorded are active together") {
        CHECK(resumption::next_record(state, {}, {first, second}, start, rules) ==
              both(introduction::active));
    }
    SECTION("nothing is written of a pool without engines") {
        CHECK_FALSE(resumption::next_record(state, {}, {}, start, rules).has_value());
    }
}

TEST_CASE("a version that no engine runs is dropped when its streams are over", "[resumption]") {
    pool_versions state;
    const auto stored = both(introduction::active);
    resumption::apply_record(state, stored, start, rules);
    resumption::record_running(state, {first, second}, start + base::seconds(5));
    const auto gone_at = start + base::seconds(5);
    const auto before = gone_at + rules.retirement_time - base::seconds(1);
    CHECK_FALSE(resumption::next_record(state, {stored}, {second}, before, rules).has_value());
    const auto after = gone_at + rules.retirement_time;
    const version_record left{{second, introduction::active}};
    CHECK(resumption::next_record(state, {stored}, {second}, after, rules) == left);

    SECTION("and an entry that saw its last engine end a little later agrees") {
        resumption::apply_record(state, left, before, rules);
        CHECK(resumption::only_version(state) == second);
    }
}

// A store that returns from an older copy lacks a version whose engines have begun streams. An
// entry that starts then takes the other version for the only one.
TEST_CASE("a version that the store has lost is announced anew", "[resumption]") {
    pool_versions state;
    resumption::apply_record(state, both(introduction::active), start, rules);
    const version_record copy{{first, introduction::active}};
    resumption::apply_record(state, copy, start + base::seconds(20), rules);
    CHECK_FALSE(resumption::may_begin_streams(state, second));
    CHECK(resumption::has_several_versions(state));
    CHECK(resumption::next_record(state, {copy}, {first, second}, start + base::seconds(30),
                                  rules) == both(introduction::announced));

    SECTION("and one that has lost the whole record announces all") {
        resumption::apply_record(state, std::nullopt, start + base::seconds(40), rules);
        CHECK_FALSE(resumption::may_begin_streams(state, first));
        const version_record announced{{first, introduction::announced},
                                       {second, introduction::announced}};
        CHECK(resumption::next_record(state, {}, {first, second}, start + base::seconds(60),
                                      rules) == announced);
    }
}
