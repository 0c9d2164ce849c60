#include "kvcache/store_index.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

constexpr base::instant now{base::seconds(100)};
const std::string address = "10.9.9.1:1";
const kvcache::prompt_scope scope{{"m"}, {}};
const auto salt = kvcache::make_salt(scope, 1);

kvcache::stored_part stored(const std::string& part, std::int64_t tokens) {
    return {kvcache::part_key(salt, part), tokens};
}

} // namespace

TEST_CASE("contents of a KV cache store are tracked from its events", "[kvcache]") {
    const auto chain =
        kvcache::make_chain(scope, {{"agency", {2520}}, {"history", {3780}}, {"own", {100}}});
    kvcache::store_index index;
    auto& store = index[address];
    CHECK_FALSE(kvcache::is_up_to_date(index, address, now));

    kvcache::apply_listing(store, {stored("agency", 2520), stored("history", 3776)}, now);
    CHECK(kvcache::is_up_to_date(index, address, now));
    CHECK(kvcache::stored_tokens(index, address, chain, salt) == 6300);

    SECTION("a part is found only under the salt it was saved with") {
        CHECK(kvcache::stored_tokens(index, address, chain, kvcache::make_salt(scope, 2)) == 0);
    }
    SECTION("levels count only if all levels before them are present") {
        kvcache::apply_changes(store, {stored("history", 128)}, now);
        CHECK(kvcache::stored_tokens(index, address, chain, salt) == 2520);
        kvcache::apply_changes(store, {stored("history", 3780), stored("agency", 0)}, now);
        CHECK(kvcache::stored_tokens(index, address, chain, salt) == 0);
    }
    SECTION("an unreachable store counts as empty until its next listing") {
        kvcache::mark_down(store, now);
        CHECK(store.down);
        CHECK(kvcache::stored_tokens(index, address, chain, salt) == 0);
        kvcache::apply_listing(store, {}, now);
        CHECK_FALSE(store.down);
    }
    SECTION("contents expire if no event arrives for several seconds") {
        CHECK_FALSE(kvcache::is_up_to_date(index, address, now + base::seconds(4)));
    }
}
