#include "prefix/prefix_chain.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("prefix chains", "[prefix]") {
    const prefix::cache_scope desk{{"quay"}, {"desk-8b"}, "w1"};
    const auto chain = prefix::make_chain(desk, {"agency", "history", "request"});

    SECTION("share exactly the levels that two prompts have in common") {
        const auto other = prefix::make_chain(desk, {"agency", "history", "another"});
        REQUIRE(chain.size() == 3);
        CHECK(chain[1].key == other[1].key);
        CHECK(chain[2].key != other[2].key);
    }

    // An engine still holds blocks of another team, or of the weights before a reload. The same
    // text must not match these blocks: the client would get a response computed from another
    // scope's state.
    SECTION("never share levels across teams, models or weights") {
        const std::vector<prefix::cache_scope> others{{{"pier"}, {"desk-8b"}, "w1"},
                                                      {{"quay"}, {"log-70b"}, "w1"},
                                                      {{"quay"}, {"desk-8b"}, "w2"}};
        for (const auto& scope : others) {
            const auto other = prefix::make_chain(scope, {"agency", "history", "request"});
            for (std::size_t level = 0; level < chain.size(); ++level) {
                CHECK(chain[level].key != other[level].key);
            }
        }
    }

    SECTION("split a long part into pieces, and are limited to the maximum number of levels") {
        const auto shorter = prefix::make_chain(desk, {std::string(20000, 'a') + "x"});
        const auto longer = prefix::make_chain(desk, {std::string(20000, 'a') + "y"});
        CHECK(shorter.size() == 3);
        CHECK(shorter[1].key == longer[1].key);
        CHECK(shorter[2].key != longer[2].key);
        CHECK(prefix::make_chain(desk, {std::string(900000, 'a')}).size() == prefix::max_levels);
    }
}
