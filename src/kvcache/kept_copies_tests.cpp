#include "kvcache/kept_copies.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

constexpr base::instant now{base::seconds(100)};
const std::string address = "10.9.9.1:1";
const kvcache::prompt_space space{{"m"}, {}};
const auto salt = kvcache::make_salt(space, 1);

kvcache::kept_part held(const std::string& part, std::int64_t tokens) {
    return {kvcache::part_key(salt, part), tokens};
}

} // namespace

TEST_CASE("what a store of kept cache holds is known from its events", "[kvcache]") {
    const auto chain =
        kvcache::make_chain(space, {{"agency", {2520}}, {"history", {3780}}, {"own", {100}}});
    kvcache::kept_copies copies;
    auto& store = copies[address];
    CHECK_FALSE(kvcache::is_known(copies, address, now));

    kvcache::take_listing(store, {held("agency", 2520), held("history", 3776)}, now);
    CHECK(kvcache::is_known(copies, address, now));
    CHECK(kvcache::kept_tokens(copies, address, chain, salt) == 6300);

    SECTION("under the salt that it was saved with only") {
        CHECK(kvcache::kept_tokens(copies, address, chain, kvcache::make_salt(space, 2)) == 0);
    }
    SECTION("level by level, since a part is of no use without those before it") {
        kvcache::take_changes(store, {held("history", 128)}, now);
        CHECK(kvcache::kept_tokens(copies, address, chain, salt) == 2520);
        kvcache::take_changes(store, {held("history", 3780), held("agency", 0)}, now);
        CHECK(kvcache::kept_tokens(copies, address, chain, salt) == 0);
    }
    SECTION("until it is gone: it comes back empty") {
        kvcache::note_down(store, now);
        CHECK(store.down);
        CHECK(kvcache::kept_tokens(copies, address, chain, salt) == 0);
        kvcache::take_listing(store, {}, now);
        CHECK_FALSE(store.down);
    }
    SECTION("and until nobody has heard from it for some seconds") {
        CHECK_FALSE(kvcache::is_known(copies, address, now + base::seconds(4)));
    }
}
