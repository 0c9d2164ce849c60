#include "buffers/yielding.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace camphorrail;
using buffers::holder_id;

namespace {

constexpr base::milliseconds step{100};
constexpr std::int64_t kilobyte = 1024;
constexpr std::int64_t megabyte = 1024 * kilobyte;

// A streamed response whose caller reads slowly or not at all.
struct slow_response {
    holder_id id;
    base::instant begins;
    std::int64_t left_upstream = 0;
    std::int64_t read_per_step = 0;
    base::instant last_read{};
    std::int64_t unsent = 0;
    buffers::reading_state reading;
};

struct slow_load {
    buffers::budget limits;
    std::map<holder_id, slow_response> responses;
    buffers::account state;
    std::vector<holder_id> yields;
    std::int64_t most_held = 0;
    base::micros longest_unread{0};
};

// Callers of small responses that read 5 to 24 KB/s, and one in a hundred that never reads a large
// one.
void add_callers(slow_load& load, std::int64_t count) {
    for (std::int64_t each = 1; each <= count; ++each) {
        const bool never_reads = each % 100 == 0;
        const auto begins = base::instant{} + each * base::milliseconds(30);
        load.responses[{each}] = {{each},
                                  begins,
                                  never_reads ? 6 * megabyte : (20 + each % 180) * kilobyte,
                                  never_reads ? 0 : (5 + each % 20) * kilobyte / 10,
                                  begins};
    }
}

void advance(slow_load& load, slow_response& one, base::instant now) {
    one.unsent = std::max<std::int64_t>(0, one.unsent - one.read_per_step);
    buffers::resume_reading(one.reading, load.state, load.limits, now);
    const auto read =
        one.reading.paused ? 0 : std::min<std::int64_t>(one.left_upstream, 100 * kilobyte);
    one.last_read = read > 0 || one.left_upstream == 0 ? now : one.last_read;
    one.left_upstream -= read;
    one.unsent += read;
    buffers::record(load.state, one.id, {{0, one.unsent, 0}, buffers::stage::responding});
    load.longest_unread = std::max<base::micros>(load.longest_unread, now - one.last_read);
    if (one.unsent > 256 * kilobyte) {
        buffers::read_on(one.reading, load.state, load.limits, read, now);
    }
}

slow_load run(std::int64_t memory_mb, base::seconds span) {
    slow_load load{buffers::budget_of(memory_mb)};
    add_callers(load, 1500);
    for (base::instant now{}; now < base::instant{} + span; now += step) {
        for (auto& [id, each] : load.responses) {
            if (now >= each.begins) {
                advance(load, each, now);
            }
        }
        load.most_held = std::max(load.most_held, buffers::total(load.state.held));
        for (const auto id : buffers::choose_yields(load.state, load.limits)) {
            load.yields.push_back(id);
            load.responses.erase(id);
            buffers::remove(load.state, id);
        }
    }
    return load;
}

} // namespace

// Guards against memory that grows with slow callers, against upstreams that cut off a response
// because it stays unread, and against small responses that are aborted for the sake of large ones.
TEST_CASE("slow callers of an entry with 88 MB", "[buffers]") {
    const auto load = run(88, base::seconds(60));
    CAPTURE(load.most_held, load.longest_unread.count(), load.yields.size());
    // What arrives within one step comes on top.
    CHECK(load.most_held < 44 * megabyte + 2 * megabyte);
    CHECK(load.longest_unread <= buffers::max_read_pause + step);
    CHECK_FALSE(load.yields.empty());
    CHECK(std::all_of(load.yields.begin(), load.yields.end(),
                      [](holder_id id) { return id.value % 100 == 0; }));
    CHECK(run(88, base::seconds(60)).yields == load.yields);
}
