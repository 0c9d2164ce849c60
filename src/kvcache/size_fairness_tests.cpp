#include "base/random.h"
#include "kvcache/overload.h"
#include "kvcache/size_fairness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

using namespace camphorrail;

namespace {

constexpr base::milliseconds target{1000};
// Clients give up after this long without a first event.
constexpr int client_timeout_ms = 4000;
constexpr double tokens_per_ms = 61.0;
constexpr std::size_t engine_count = 6;
// A third more than the engines can prefill, for the whole simulation.
constexpr double overload = 1.35;
constexpr int span_ms = 60000;

// A tenth of the prompts are large, two tenths are of medium size.
enum size_class : std::size_t { ordinary, middle, large };
constexpr std::array<std::int64_t, 3> tokens_of{5000, 15000, 32000};
constexpr double mean_tokens = 0.7 * 5000 + 0.2 * 15000 + 0.1 * 32000;

struct prompt {
    size_class size = ordinary;
    int arrived_ms = 0;
    bool is_retry = false;
};

struct tally {
    int arrived = 0;
    int served = 0;

    [[nodiscard]] double share() const { return static_cast<double>(this->served) / this->arrived; }
};

struct outcome {
    std::array<tally, 3> by_size;
    tally all;
};

// Simulates an entry's decision whether an engine that is busy for `wait_ms` accepts a prompt.
struct entry {
    kvcache::size_history record;

    bool takes(const prompt& one, double wait_ms) {
        const std::int64_t tokens = tokens_of[one.size];
        const double own_ms = static_cast<double>(tokens) / tokens_per_ms;
        return kvcache::decide_admission(this->record, {tokens, wait_ms, wait_ms + own_ms, target},
                                         {}) != kvcache::admission_decision::rejected;
    }
};

size_class draw_size(base::random_source& random) {
    const double drawn = base::random_unit(random);
    return drawn < 0.7 ? ordinary : drawn < 0.9 ? middle : large;
}

// Simulates engines that prefill one prompt after the other, and clients that retry once after a
// rejection.
outcome run_day() {
    base::random_source random{11};
    entry admission;
    std::array<double, engine_count> busy_until{};
    std::vector<prompt> pending_retries;
    outcome result;
    double next_ms = 0.0;
    std::uint64_t number = 0;
    const auto finish = [&result](const prompt& one, bool served) {
        for (auto* each : {&result.by_size[one.size], &result.all}) {
            each->arrived += 1;
            each->served += served ? 1 : 0;
        }
    };
    const auto arrive = [&](prompt one, int now) {
        auto& first_free = *std::min_element(busy_until.begin(), busy_until.end());
        const double wait_ms = std::max(0.0, first_free - now);
        if (admission.takes(one, wait_ms)) {
            const double own_ms = static_cast<double>(tokens_of[one.size]) / tokens_per_ms;
            first_free = now + wait_ms + own_ms;
            finish(one, wait_ms + own_ms <= client_timeout_ms);
        } else if (one.is_retry) {
            finish(one, false);
        } else {
            one.is_retry = true;
            one.arrived_ms = now + static_cast<int>(kvcache::retry_delay(++number * 7919).count());
            pending_retries.push_back(one);
        }
    };
    const double between_ms =
        mean_tokens / tokens_per_ms / static_cast<double>(engine_count) / overload;
    for (int now = 0; now < span_ms; ++now) {
        for (; next_ms <= now; next_ms += base::random_exponential(random, between_ms)) {
            arrive({draw_size(random), now, false}, now);
        }
        for (std::size_t at = 0; at < pending_retries.size();) {
            if (pending_retries[at].arrived_ms > now) {
                ++at;
                continue;
            }
            const prompt retry = pending_retries[at];
            pending_retries.erase(pending_retries.begin() + static_cast<std::ptrdiff_t>(at));
            arrive(retry, now);
        }
    }
    return result;
}

} // namespace

// Guards against starvation of large prompts. Clients with the largest tenth of a route's prompts
// are rejected, retry after the given delay, and are rejected again for as long as the pool is
// overloaded, while nearly all others are served: prompts that would be late are rejected, and
// large ones are late after the shortest wait.
TEST_CASE("a pool in persistent overload does not serve only ordinary prompts", "[kvcache]") {
    const auto day = run_day();
    CAPTURE(day.all.share(), day.by_size[ordinary].share(), day.by_size[middle].share(),
            day.by_size[large].share());
    CHECK(day.by_size[large].share() >= 0.5 * day.all.share());
    CHECK(day.by_size[middle].share() >= 0.5 * day.all.share());
    // Large prompts displace only a few others.
    CHECK(day.all.share() > 0.85);
}

TEST_CASE("a prompt is rejected due to its size only while enough similar ones are accepted",
          "[kvcache]") {
    const kvcache::size_fairness_rules rules;
    kvcache::size_history record;
    const auto judge = [&](std::int64_t tokens, double wait_ms, double first_byte_ms) {
        return kvcache::decide_admission(record, {tokens, wait_ms, first_byte_ms, target}, rules);
    };
    const auto add_prompts = [&](int count, std::int64_t tokens, bool taken) {
        record.prompts.insert(record.prompts.end(), count, {tokens, taken});
    };
    constexpr std::int64_t small = 1000;
    constexpr std::int64_t big = 30000;

    SECTION("it is rejected if there are too few prompts to compute rates") {
        add_prompts(20, small, true);
        add_prompts(5, big, false);
        CHECK(judge(big, 600, 1100) == kvcache::admission_decision::rejected);
    }
    SECTION("it is rejected while the acceptance rate of its size is at least half of the overall "
            "rate") {
        add_prompts(45, small, true);
        add_prompts(5, big, true);
        add_prompts(3, big, false);
        CHECK(judge(big, 600, 1100) == kvcache::admission_decision::rejected);
    }
    SECTION("it is accepted below that rate, unless the wait alone takes the whole target") {
        add_prompts(45, small, true);
        add_prompts(1, big, true);
        add_prompts(9, big, false);
        CHECK(judge(big, 1000, 1500) == kvcache::admission_decision::rejected);
        CHECK(judge(big, 600, 1100) == kvcache::admission_decision::accepted_for_fairness);
        CHECK(judge(small, 990, 1010) == kvcache::admission_decision::rejected);
    }
    SECTION("prompts outside of the window do not count") {
        add_prompts(50, big, false);
        for (std::size_t each = 0; each < rules.window_size; ++each) {
            CHECK(judge(small, 0, 50) == kvcache::admission_decision::accepted);
        }
        CHECK(record.prompts.size() == rules.window_size);
        CHECK(judge(big, 600, 1100) == kvcache::admission_decision::rejected);
    }
}
