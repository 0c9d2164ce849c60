#include "platform/dialect.h"
#include "proxy/upstream_list.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

std::string entry(const std::string& born) {
    return R"({"service":"pool","address":"10.0.0.1:8080","zone":"a","version":"v1","slots":8,
               "state":"ready","coldLeftMs":0,"seq":1)" +
           (born.empty() ? "" : ",\"born\":" + born) + "}";
}

struct listed_store {
    ports::dialect words = platform::make_dialect();
    mirror::store_mirror store;
    std::int64_t revision = 0;

    void put(const std::string& id, const std::string& value) {
        const std::string key = this->words.upstreams_prefix + id;
        this->store.items[key] = {key, value, ++this->revision};
    }
    proxy::upstream_list read() { return proxy::read_upstream_list(this->store, this->words); }
};

} // namespace

// Another program writes over an engine's entry, and below the engines' prefix. The others hold,
// and the entry that was written over names no engine until the engine writes it again.
TEST_CASE("an entry that can't be read leaves the others as they are", "[proxy]") {
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

// Engines that say when they started always do. An entry in between that doesn't is no engine's; on
// a platform whose engines never say it, all of them count.
TEST_CASE("an entry without a start counts only where most have none", "[proxy]") {
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
