#include "fleet/fleet.h"
#include "platform/dialect.h"
#include "proxy/upstream_list.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// `NAME` is replaced by the address of the engine.
std::string entry(const std::string& born, const std::string& address = "NAME") {
    return R"({"service":"pool","address":")" + address +
           R"(","zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1)" +
           (born.empty() ? "" : ",\"born\":" + born) + "}";
}

struct listed_store {
    ports::platform_codec codec = platform::make_dialect();
    mirror::store_mirror store;
    std::int64_t revision = 0;

    // Gives each engine an address of its own unless the test sets one.
    void put(const std::string& id, std::string value) {
        const std::string key = this->codec.upstreams_prefix + id;
        if (const auto at = value.find("NAME"); at != std::string::npos) {
            value.replace(at, 4,
                          "10.0.0." + id.substr(id.size() - std::min<std::size_t>(1, id.size())) +
                              ":8080");
        }
        this->store.items[key] = {key, value, ++this->revision};
    }
    proxy::upstream_list read() { return proxy::read_upstream_list(this->store, this->codec); }
};

} // namespace

// Another program overwrites an engine's record and writes a record of its own below the engines'
// prefix. The other records must stay valid, and the overwritten one names no engine until its
// engine writes it again.
TEST_CASE("an unreadable record does not affect the others", "[proxy]") {
    listed_store listed;
    listed.put("i-1", entry("17"));
    listed.put("i-2", entry("18"));
    listed.put("i-2", "\xff\xfe");
    listed.put("", entry("19"));
    const auto list = listed.read();
    REQUIRE(list.upstreams.size() == 1);
    CHECK(list.upstreams[0].id.value == "i-1");
    CHECK(list.unreadable.at({"i-2"}) == 3);
    CHECK(list.unreadable.count({""}) == 1);

    SECTION("and it counts again once its engine has written it") {
        listed.put("i-2", entry("18"));
        CHECK(listed.read().upstreams.size() == 2);
    }
}

// Engines that report their start time always do, so a record without one among them was not
// written by an engine. On a platform whose engines never report it, all records count.
TEST_CASE("a record without a start time counts only if most have none", "[proxy]") {
    listed_store listed;
    listed.put("i-1", entry(""));
    listed.put("i-2", entry(""));
    CHECK(listed.read().upstreams.size() == 2);
    listed.put("i-3", entry("17"));
    CHECK(listed.read().upstreams.size() == 3);
    listed.put("i-1", entry("18"));
    const auto list = listed.read();
    CHECK(list.upstreams.size() == 2);
    CHECK(list.unreadable.count({"i-2"}) == 1);
}

// Engines crash and others start at their addresses a second later, while the old records stay
// listed for three more heartbeats. Requests still sent to the old ids were rejected by the new
// engines, and some were refused to the client.
TEST_CASE("an upstream whose address another one has taken is dropped at once", "[proxy]") {
    listed_store listed;
    listed.put("i-1", entry("17", "10.0.0.1:8080"));
    listed.put("i-2", entry("18", "10.0.0.2:8080"));
    REQUIRE(listed.read().upstreams.size() == 2);
    listed.put("i-9", entry("19", "10.0.0.1:8080"));
    const auto list = listed.read();
    REQUIRE(list.upstreams.size() == 2);
    CHECK(list.replaced.at({"i-1"}) == base::upstream_id{"i-9"});

    SECTION("whichever id sorts first") {
        listed.put("i-0", entry("20", "10.0.0.1:8080"));
        const auto later = listed.read();
        CHECK(later.upstreams.size() == 2);
        CHECK(later.replaced.size() == 2);
        CHECK(later.replaced.at({"i-9"}) == base::upstream_id{"i-0"});
    }
    SECTION("and gets no requests, even if no other upstream is left") {
        fleet::fleet state;
        const base::instant now{base::seconds(100)};
        listed.store.items.erase(listed.codec.upstreams_prefix + "i-2");
        listed.store.items.erase(listed.codec.upstreams_prefix + "i-9");
        fleet::apply_list(state, listed.read().upstreams, now);
        listed.put("i-9", entry("19", "10.0.0.1:8080"));
        const auto after = listed.read();
        fleet::apply_list(state, after.upstreams, now);
        for (const auto& [id, by] : after.replaced) {
            fleet::mark_replaced(state, id);
        }
        const auto left = fleet::candidates(state, {"pool"}, now, {}, {{"i-9"}});
        CHECK(left.empty());
    }
}
