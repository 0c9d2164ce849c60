#include "base/random.h"
#include "wire/messages.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("messages between processes", "[wire]") {
    wire::order order;
    order.attempt = "entry-1/3/17";
    order.pool = "model:desk-8b";
    order.body = std::string("\xff\x00 not text", 11);
    order.level_keys = {~0ULL, 3};
    order.level_tokens = {100, 200};

    SECTION("come back as they were sent, bytes that are no text included") {
        const auto back = wire::decode(wire::encode(order)).value();
        CHECK(std::get<wire::order>(back).body == order.body);
        CHECK(std::get<wire::order>(back).level_keys == order.level_keys);
        const auto end = wire::decode(wire::encode(wire::finished{"a", 12, 100, 90, {}})).value();
        CHECK(std::get<wire::finished>(end).cached_tokens == 90);
        CHECK(std::holds_alternative<wire::config_request>(
            wire::decode(wire::encode(wire::config_request{})).value()));
    }

    SECTION("with values that no sender of ours writes are refused") {
        CHECK_FALSE(wire::decode(wire::encode(wire::refused{"a", 1, 7, 0, {}, {}})).has_value());
        order.level_tokens.pop_back();
        CHECK_FALSE(wire::decode(wire::encode(order)).has_value());
        CHECK_FALSE(wire::decode("").has_value());
    }

    // A damaged or hostile peer sends a frame with bytes changed, cut or added. The process must
    // neither crash nor take more memory than the frame; it refuses the frame or reads it whole.
    SECTION("changed at random are refused or read, and never break the reader") {
        base::random_source random{20261202};
        const std::string good = wire::encode(order);
        int refused = 0;
        for (int round = 0; round < 20000; ++round) {
            std::string bad = good;
            const std::uint64_t changes = 1 + base::random_below(random, 4);
            for (std::uint64_t change = 0; change < changes; ++change) {
                bad[base::random_below(random, bad.size())] =
                    static_cast<char>(base::random_bits(random));
            }
            if (base::random_below(random, 4) == 0) {
                bad.resize(base::random_below(random, bad.size()));
            }
            refused += wire::decode(bad).has_value() ? 0 : 1;
        }
        CHECK(refused > 10000);
    }
}
