#include "resumption/stream_origins.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using resumption::origin_record;
using resumption::origin_table;

namespace {

const base::instant start = base::instant(base::minutes(100));

origin_record began(const std::string& request, const std::string& pool, base::instant expires_at) {
    return {{request}, {{pool}, {"v1"}, {{"i-1"}, {7}}}, expires_at};
}

} // namespace

TEST_CASE("the origin of a stream is known until its client can no longer resume it",
          "[resumption]") {
    origin_table table;
    resumption::record_origin(table, began("r1", "pool", start + base::seconds(4)));
    resumption::drop_expired(table, start + base::seconds(3));
    const auto found = resumption::find_origin(table, {"r1"});
    REQUIRE(found.has_value());
    CHECK(found->origin.software.value == "v1");
    CHECK(found->origin.upstream.id.value == "i-1");
    CHECK_FALSE(resumption::find_origin(table, {"r2"}).has_value());
    resumption::drop_expired(table, start + base::seconds(4));
    CHECK_FALSE(resumption::find_origin(table, {"r1"}).has_value());

    SECTION("and a record that is extended stays longer") {
        resumption::record_origin(table, began("r3", "pool", start + base::seconds(9)));
        resumption::record_origin(table, began("r3", "pool", start + base::seconds(12)));
        resumption::record_origin(table, began("r3", "pool", start + base::seconds(7)));
        resumption::drop_expired(table, start + base::seconds(11));
        CHECK(resumption::find_origin(table, {"r3"}).has_value());
        resumption::drop_expired(table, start + base::seconds(12));
        CHECK_FALSE(resumption::find_origin(table, {"r3"}).has_value());
        CHECK(table.by_expiry.empty());
    }
}

TEST_CASE("the table of origins stays bounded", "[resumption]") {
    origin_table table;
    const auto count = static_cast<std::int64_t>(resumption::max_origin_records) + 10;
    for (std::int64_t each = 0; each < count; ++each) {
        resumption::record_origin(
            table, began("r" + std::to_string(each), "pool", start + base::milliseconds(each)));
    }
    CHECK(table.records.size() == resumption::max_origin_records);
    CHECK_FALSE(resumption::find_origin(table, {"r9"}).has_value());
    CHECK(resumption::find_origin(table, {"r10"}).has_value());
}

// Guards against clients that fill the memory with long names, and so make others' streams unknown.
TEST_CASE("the memory of the table of origins stays bounded", "[resumption]") {
    constexpr std::size_t limit = 200'000;
    const std::string long_name(15'000, 'x');
    origin_table table;
    table.max_bytes = limit;
    resumption::record_origin(table, began("r1", "pool", start));

    SECTION("and long names are dropped first") {
        for (int each = 0; each < 100; ++each) {
            const auto later = start + base::seconds(9);
            resumption::record_origin(table,
                                      began(long_name + std::to_string(each), "pool", later));
            CHECK(table.bytes <= limit);
        }
        CHECK(resumption::find_origin(table, {"r1"}).has_value());
    }
    SECTION("then those that expire first") {
        for (int each = 2; each < 5000; ++each) {
            const auto later = start + base::milliseconds(each);
            resumption::record_origin(table, began("r" + std::to_string(each), "pool", later));
            CHECK(table.bytes <= limit);
        }
        CHECK_FALSE(resumption::find_origin(table, {"r1"}).has_value());
        CHECK(resumption::find_origin(table, {"r4999"}).has_value());
    }
    SECTION("also when one record is extended again and again") {
        for (int each = 0; each < 5000; ++each) {
            resumption::record_origin(table, began("r1", "pool", start + base::milliseconds(each)));
        }
        CHECK(table.by_expiry.size() == 1);
    }
    resumption::drop_expired(table, start + base::minutes(1));
    CHECK(table.bytes == 0);
    CHECK(table.long_names == 0);
}

TEST_CASE("the streams of one pool are listed in a fixed order", "[resumption]") {
    origin_table table;
    for (const char* request : {"r3", "r1", "r2"}) {
        resumption::record_origin(table, began(request, "pool", start));
    }
    resumption::record_origin(table, began("r4", "other", start));
    const auto found = resumption::records_of_pool(table, {"pool"});
    REQUIRE(found.size() == 3);
    CHECK(found[0].request.value == "r1");
    CHECK(found[2].request.value == "r3");
}

TEST_CASE("a record is kept for as long as the client waits", "[resumption]") {
    CHECK(resumption::record_lifetime(base::seconds(15)) > base::seconds(15));
    CHECK(resumption::record_lifetime(base::minutes(1000)) < base::minutes(10));
}
