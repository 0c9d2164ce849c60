#include "outliers/outliers.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using base::milliseconds;
using outliers::cause;

namespace {

constexpr std::size_t entry_count = 31;

base::entry_id entry(std::size_t number) {
    return {"entry-" + std::to_string(number)};
}

base::upstream_instance upstream(std::size_t number, std::int64_t incarnation = 1) {
    return {{"upstream-" + std::to_string(number)}, {incarnation}};
}

struct world {
    outliers::outlier_state state;
    outliers::outlier_rules rules;
    outliers::surroundings known;

    world() {
        this->known.now = base::instant{base::seconds(100)};
        this->known.linked_entries = entry_count - 1;
        for (std::size_t each = 0; each < entry_count; ++each) {
            this->known.entries.push_back(entry(each));
        }
        for (std::size_t each = 0; each < 8; ++each) {
            this->known.upstreams.push_back({upstream(each), {"pool"}, {}});
        }
    }

    void report(std::size_t from, std::size_t about) {
        outliers::record_report(this->state, upstream(about), entry(from), this->known.now,
                                this->rules);
    }
    std::vector<outliers::suspicion_change> update() {
        return outliers::update(this->state, this->known, this->rules);
    }
    std::vector<outliers::suspicion_change> after(milliseconds span) {
        this->known.now += span;
        return this->update();
    }
    std::vector<outliers::suspicion_change> suspect(std::size_t about) {
        for (std::size_t from = 0; from < outliers::quorum(entry_count); ++from) {
            this->report(from, about);
        }
        return this->update();
    }
};

} // namespace

// Guards against an entry whose own network has failed excluding an upstream for all.
TEST_CASE("a suspicion is common when a quorum of entries reports it in time", "[outliers]") {
    CHECK(outliers::quorum(1) == 2);
    CHECK(outliers::quorum(31) == 3);
    CHECK(outliers::quorum(100) == 4);
    world fleet;
    fleet.report(1, 0);
    fleet.report(1, 0);
    fleet.report(2, 0);
    CHECK(fleet.update().empty());
    SECTION("reports that are too old do not count") {
        fleet.after(milliseconds(4100));
        fleet.report(3, 0);
        CHECK(fleet.update().empty());
    }
    SECTION("nor do those that a later byte refutes") {
        fleet.known.upstreams[0].last_byte_at = fleet.known.now + milliseconds(300);
        fleet.after(milliseconds(400));
        fleet.report(3, 0);
        CHECK(fleet.update().empty());
    }
    SECTION("nor those about another incarnation") {
        outliers::record_report(fleet.state, upstream(0, 2), entry(3), fleet.known.now, {});
        CHECK(fleet.update().empty());
    }
    SECTION("an entry without links acts alone") {
        fleet.known.linked_entries = 1;
        fleet.report(3, 0);
        CHECK(fleet.update().empty());
    }
    fleet.report(4, 0);
    fleet.report(5, 0);
    fleet.known.linked_entries = entry_count - 1;
    const auto changes = fleet.update();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].why == cause::quorum);
    CHECK(fleet.state.suspicions.at(upstream(0).id).is_excluded);
}

// Guards against upstreams that stay excluded after they have recovered.
TEST_CASE("a common suspicion ends", "[outliers]") {
    world fleet;
    REQUIRE(fleet.suspect(0).size() == 1);
    const auto ended_by = [&](milliseconds span) {
        const auto changes = fleet.after(span);
        REQUIRE(changes.size() == 1);
        CHECK(fleet.state.suspicions.empty());
        return changes[0].why;
    };
    SECTION("with a byte received later") {
        CHECK(outliers::record_byte(fleet.state, upstream(0), fleet.known.now).empty());
        CHECK(outliers::record_byte(fleet.state, upstream(0, 2), base::instant::max()).empty());
        const auto later = fleet.known.now + base::micros(1);
        CHECK(outliers::record_byte(fleet.state, upstream(0), later).size() == 1);
        CHECK(fleet.update().empty());
    }
    SECTION("with a byte that another entry reports in its load") {
        fleet.known.upstreams[0].last_byte_at = fleet.known.now + milliseconds(300);
        CHECK(ended_by(milliseconds(400)) == cause::byte_received);
    }
    SECTION("with a new incarnation") {
        fleet.known.upstreams[0].instance = upstream(0, 2);
        CHECK(ended_by(milliseconds(1)) == cause::restarted_or_unlisted);
    }
    SECTION("when nobody has reported it for long") {
        CHECK(fleet.after(milliseconds(9900)).empty());
        CHECK(ended_by(milliseconds(200)) == cause::no_more_reports);
    }
    SECTION("when the entry has lost its links") {
        fleet.known.linked_entries = 1;
        CHECK(ended_by(milliseconds(1)) == cause::cut_off);
    }
}

// Guards against reports that fill the memory. What is disregarded and excluded is tested under
// load in proxy/suspicion_load_tests.cpp.
TEST_CASE("the number of reports is bounded", "[outliers]") {
    world fleet;
    fleet.rules.max_reports = 2;
    fleet.suspect(0);
    fleet.suspect(1);
    REQUIRE(fleet.state.reports.size() == 1);
    CHECK(fleet.state.reports.at(upstream(1)).size() == 2);
}

// Guards against probes by several entries at once, and against none when an entry has failed.
TEST_CASE("entries probe in turn, in an order of each upstream", "[outliers]") {
    world fleet;
    fleet.suspect(0);
    const auto& suspicion = fleet.state.suspicions.at(upstream(0).id);
    std::set<base::entry_id> probers;
    for (std::size_t each = 0; each < entry_count; ++each) {
        const auto turn = outliers::probe_turn(suspicion, fleet.known.now, fleet.rules);
        probers.insert(outliers::prober(upstream(0).id, turn, fleet.known.entries));
        fleet.known.now += fleet.rules.probe_turn;
    }
    CHECK(probers.size() == entry_count);
}
