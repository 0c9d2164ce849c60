#include "base/random.h"
#include "stream/assembler.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace camphorrail;

namespace {

struct frame {
    base::attempt_id attempt;
    std::int64_t sequence = 0;
    bool end = false;
    std::string text;
};

std::vector<frame> answer_of(const std::string& attempt, int pieces, int skip) {
    std::vector<frame> frames;
    for (int piece = skip; piece < pieces; ++piece) {
        frames.push_back({{attempt}, piece - skip, false, std::to_string(piece) + " "});
    }
    frames.push_back({{attempt}, pieces - skip, true, ""});
    return frames;
}

} // namespace

TEST_CASE("an answer put together from frames", "[stream]") {
    stream::assembler state;
    stream::begin(state, {"a"});

    SECTION("is whole only with its end mark and every piece before it") {
        CHECK(stream::accept_piece(state, {"a"}, 0) == stream::verdict::deliver);
        CHECK(stream::accept_end(state, {"a"}, 2) == stream::verdict::cut);
        CHECK_FALSE(state.whole);
        CHECK(stream::accept_piece(state, {"a"}, 1) == stream::verdict::deliver);
        CHECK(stream::accept_end(state, {"a"}, 2) == stream::verdict::deliver);
        CHECK(state.whole);
    }

    // The first attempt's link goes quiet, a second attempt takes over from the pieces delivered,
    // and then the first one's frames arrive after all, crossed with the second's, some twice. The
    // caller must see each piece once and in order.
    SECTION("stays in order when a late attempt crosses the one that replaced it") {
        int violations = 0;
        constexpr int schedules = 2000;
        for (int seed = 0; seed < schedules; ++seed) {
            base::random_source random{static_cast<std::uint64_t>(seed)};
            stream::assembler crossed;
            stream::begin(crossed, {"a"});
            const int pieces = 1 + static_cast<int>(base::random_below(random, 12));
            auto first = answer_of("a", pieces, 0);
            const auto seen = base::random_below(random, first.size());
            std::string text;
            const auto feed = [&](const frame& got) {
                const auto verdict = got.end
                                         ? stream::accept_end(crossed, got.attempt, got.sequence)
                                         : stream::accept_piece(crossed, got.attempt, got.sequence);
                if (verdict == stream::verdict::deliver) {
                    text += got.text;
                }
            };
            for (std::size_t index = 0; index < seen; ++index) {
                feed(first[index]);
            }
            stream::begin(crossed, {"b"});
            const auto second = answer_of("b", pieces, static_cast<int>(crossed.delivered));
            std::size_t late = base::random_below(random, first.size());
            for (const frame& got : second) {
                while (late < first.size() && base::random_below(random, 2) == 0) {
                    feed(first[late++]);
                }
                feed(got);
                if (base::random_below(random, 4) == 0) {
                    feed(got);
                }
            }
            std::string expected;
            for (int piece = 0; piece < pieces; ++piece) {
                expected += std::to_string(piece) + " ";
            }
            violations += crossed.whole && text == expected ? 0 : 1;
        }
        CHECK(violations == 0);
    }
}
