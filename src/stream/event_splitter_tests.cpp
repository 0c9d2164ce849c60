#include "stream/event_splitter.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("server-sent events", "[stream]") {
    const std::string text = "data: one\n\nevent: x\ndata: two\r\n\r\n: note\n\ndata: [DONE]\n\n";

    SECTION("come out whole and in order, wherever the bytes were cut") {
        stream::event_splitter whole;
        const auto expected = stream::split(whole, text);
        REQUIRE(expected.size() == 4);
        CHECK(stream::data_of(expected[1]) == "two");
        for (std::size_t cut = 0; cut <= text.size(); ++cut) {
            stream::event_splitter state;
            auto events = stream::split(state, text.substr(0, cut));
            for (auto& event : stream::split(state, text.substr(cut))) {
                events.push_back(std::move(event));
            }
            CHECK(events == expected);
            CHECK(state.done);
        }
    }

    SECTION("without the end mark are not done") {
        stream::event_splitter state;
        stream::split(state, "data: one\n\ndata: [DO");
        CHECK_FALSE(state.done);
        CHECK(state.rest == "data: [DO");
    }

    SECTION("are cut if the bytes end within one") {
        const auto is_cut = [](const std::string& bytes) {
            stream::event_splitter state;
            stream::split(state, bytes);
            return stream::ends_within_event(state);
        };
        CHECK_FALSE(is_cut(""));
        CHECK_FALSE(is_cut("data: one\n\n"));
        CHECK_FALSE(is_cut("data: one\r\n\r\n\r\n"));
        CHECK(is_cut("data: one\n"));
        CHECK(is_cut("data: one\n\nd"));
    }

    SECTION("are found wherever their pieces end") {
        const std::string text = "data: one\n\ndata: two\r\n\r\ndata: three\n\r\n";
        for (std::size_t size = 1; size < text.size(); ++size) {
            CAPTURE(size);
            stream::event_splitter state;
            std::vector<std::string> events;
            for (std::size_t at = 0; at < text.size(); at += size) {
                for (auto& event : stream::split(state, text.substr(at, size))) {
                    events.push_back(std::move(event));
                }
            }
            CHECK(events == std::vector<std::string>{"data: one\n\n", "data: two\r\n\r\n",
                                                     "data: three\n\r\n"});
        }
    }

    SECTION("of no bounded size are noticed") {
        stream::event_splitter state;
        stream::split(state, std::string(stream::max_event_bytes + 1, 'x'));
        CHECK(state.oversize);
    }
}
