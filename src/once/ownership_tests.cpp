#include "once/ownership.h"
#include "once/records.h"
#include "once/timestamped_key.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorrail;

TEST_CASE("owners of keys", "[once]") {
    const std::vector<base::upstream_id> owners{{"a"}, {"b"}, {"c"}, {"d"}};

    SECTION("do not depend on the order of the members") {
        const std::vector<base::upstream_id> shuffled{{"c"}, {"a"}, {"d"}, {"b"}};
        for (int number = 0; number < 200; ++number) {
            const base::idempotency_key key{std::to_string(number)};
            const auto ranked = once::ranked_owners(key, owners);
            CHECK(ranked == once::ranked_owners(key, shuffled));
            CHECK(once::owns(ranked[0], key, owners));
            CHECK_FALSE(once::owns(ranked[1], key, owners));
        }
    }

    SECTION(
        "change from the first to the second when the first is removed, and no other key moves") {
        for (int number = 0; number < 200; ++number) {
            const base::idempotency_key key{std::to_string(number)};
            const auto ranked = once::ranked_owners(key, owners);
            std::vector<base::upstream_id> left;
            for (const auto& owner : owners) {
                if (owner.value != "a") {
                    left.push_back(owner);
                }
            }
            const auto& expected = ranked[0].value == "a" ? ranked[1] : ranked[0];
            CHECK(once::owns(expected, key, left));
        }
    }
}

TEST_CASE("timestamped keys", "[once]") {
    CHECK(once::creation_time_ms({"quay/017f22e2-79b0-7cc3-98c4-dc0c0c07398f"}) == 1645557742000);
    CHECK_FALSE(once::creation_time_ms({"quay/017f22e2-79b0-4cc3-98c4-dc0c0c07398f"}));
    CHECK_FALSE(once::creation_time_ms({"quay/slot 17"}));
    CHECK_FALSE(once::creation_time_ms({""}));
}

TEST_CASE("records in the platform's store", "[once]") {
    SECTION("are read back as they were written") {
        const once::owner_record record{{"a"}, {3},  "n", {{"a"}, {"b"}},
                                        true,  true, 17,  base::milliseconds(5)};
        CHECK(once::parse_owner(once::to_text(record)).value() == record);
        const once::segment written{
            {{"k"}, "p", once::outcome::completed, {200, "t", "\xff\n", true}, 9}};
        const auto read = once::parse_segment(once::to_text(written)).value();
        CHECK(read.at(0).response == written[0].response);
    }

    SECTION("are rejected if damaged") {
        CHECK_FALSE(once::parse_owner("{}").has_value());
        CHECK_FALSE(once::parse_owner("").has_value());
        CHECK_FALSE(once::parse_segment(R"([{"key":1}])").has_value());
    }
}
