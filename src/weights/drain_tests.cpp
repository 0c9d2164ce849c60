#include "weights/drain.h"
#include "weights/load_plan.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace camphorrail;
using base::milliseconds;

namespace {

base::instant at(int ms) {
    return base::instant(milliseconds(ms));
}

// The remaining upstreams of a pool under load after a loss: responses of three and a half seconds
// that can be continued on another upstream, and requests of one second that can't.
struct simulated_pool {
    static constexpr int step_ms = 20;
    static constexpr int response_ms = 3400;
    static constexpr int request_ms = 1000;
    static constexpr int load_ms = 420;
    static constexpr std::size_t slots = 48;

    struct upstream {
        weights::load_candidate seen;
        std::vector<int> response_ends;
        std::vector<int> request_ends;
        int drained_since = -1;
        int changed_at = -1;
    };

    std::vector<upstream> upstreams;
    int moved_responses = 0;
    // Requests that were sent to an upstream without a free slot.
    int delayed_requests = 0;
    int responses = 0;
    int responses_per_second = 0;
    std::size_t fewest_serving = 0;
    int next_response = 0;
    int next_request = 0;

    simulated_pool(std::size_t count, int responses_per_second)
        : upstreams(count), responses_per_second(responses_per_second), fewest_serving(count) {
        for (std::size_t each = 0; each < count; ++each) {
            this->upstreams[each].seen.id = {"e" + std::to_string(10 + each)};
            this->upstreams[each].seen.version = 1;
        }
    }

    [[nodiscard]] static bool serves(const upstream& one) {
        return one.drained_since < 0 && one.changed_at < 0;
    }

    static std::size_t requests_at(const upstream& one) {
        return one.response_ends.size() + one.request_ends.size();
    }

    [[nodiscard]] static bool is_less_busy(const upstream& left, const upstream& right) {
        return std::pair(!serves(left), requests_at(left)) <
               std::pair(!serves(right), requests_at(right));
    }

    upstream& least_busy() {
        auto& found =
            *std::min_element(this->upstreams.begin(), this->upstreams.end(), is_less_busy);
        this->delayed_requests += requests_at(found) >= slots ? 1 : 0;
        return found;
    }

    [[nodiscard]] weights::pool_load load_without(const upstream& changing) const {
        weights::pool_load found;
        for (const auto& each : this->upstreams) {
            found.in_flight += static_cast<std::int64_t>(requests_at(each));
            const bool is_serving_other = serves(each) && &each != &changing;
            found.slots += is_serving_other ? static_cast<std::int64_t>(slots) : 0;
        }
        return found;
    }

    // 60 calls per second in addition to the responses.
    void take_requests(int now) {
        for (; this->next_response <= now * this->responses_per_second / 1000;
             ++this->next_response) {
            this->least_busy().response_ends.push_back(now + response_ms);
            ++this->responses;
        }
        for (; this->next_request <= now * 60 / 1000; ++this->next_request) {
            this->least_busy().request_ends.push_back(now + request_ms);
        }
    }

    void finish(upstream& one, int now) {
        const auto is_over = [now](int end) { return end <= now; };
        std::erase_if(one.response_ends, is_over);
        std::erase_if(one.request_ends, is_over);
        if (one.changed_at >= 0 && now >= one.changed_at) {
            one.changed_at = -1;
            one.seen.loading = false;
            one.seen.loaded_at = at(now);
            ++one.seen.version;
        }
    }

    void change(upstream& one, int now) {
        one.drained_since = -1;
        one.changed_at = now + load_ms;
        if (one.request_ends.empty()) {
            for (const int end : std::exchange(one.response_ends, {})) {
                this->least_busy().response_ends.push_back(end);
                ++this->moved_responses;
            }
        }
        // Requests that are not aborted are completed first.
        for (const auto* ends : {&one.response_ends, &one.request_ends}) {
            for (const int end : *ends) {
                one.changed_at = std::max(one.changed_at, end + load_ms);
            }
        }
    }

    void drain(upstream& one, int now) {
        const auto unrepeatable = static_cast<std::int64_t>(one.request_ends.size());
        if (weights::is_drained({milliseconds(now - one.drained_since), unrepeatable}, {})) {
            this->change(one, now);
        }
    }

    void step(int now, bool published) {
        for (auto& each : this->upstreams) {
            this->finish(each, now);
            each.seen.in_flight = static_cast<std::int64_t>(requests_at(each));
            if (each.drained_since >= 0) {
                this->drain(each, now);
            }
        }
        std::vector<weights::load_candidate> seen;
        for (const auto& each : this->upstreams) {
            seen.push_back(each.seen);
        }
        const auto due = published ? weights::plan_loads(seen, 2, at(now), {})
                                   : std::vector<base::upstream_id>{};
        for (const auto& id : due) {
            const auto found = std::find_if(this->upstreams.begin(), this->upstreams.end(),
                                            [&id](const auto& one) { return one.seen.id == id; });
            found->seen.loading = true;
            if (weights::is_crowded(this->load_without(*found), {})) {
                found->changed_at = now + load_ms;
            } else {
                found->drained_since = now;
            }
        }
        const auto serving = std::count_if(this->upstreams.begin(), this->upstreams.end(), serves);
        this->fewest_serving = std::min(this->fewest_serving, static_cast<std::size_t>(serving));
        this->take_requests(now);
    }

    // Simulates until all upstreams hold the second version; returns the time that took after its
    // publication.
    int run(int published_ms) {
        constexpr int longest_ms = 60'000;
        for (int now = 0; now < longest_ms; now += step_ms) {
            this->step(now, now >= published_ms);
            const bool done = std::all_of(this->upstreams.begin(), this->upstreams.end(),
                                          [](const auto& one) { return one.seen.version == 2; });
            if (done) {
                return now - published_ms;
            }
        }
        return longest_ms;
    }
};

} // namespace

TEST_CASE("an upstream is drained before its weights change", "[weights]") {
    SECTION("the minimum time passes even without requests that can't be retried") {
        CHECK_FALSE(weights::is_drained({milliseconds(300), 0}, {}));
        CHECK(weights::is_drained({milliseconds(400), 0}, {}));
    }
    SECTION("it waits longer for requests that can't be retried") {
        CHECK_FALSE(weights::is_drained({milliseconds(1100), 1}, {}));
    }
    SECTION("it stops waiting after the maximum time") {
        CHECK(weights::is_drained({milliseconds(1200), 1}, {}));
    }
}

// Guards against draining until all responses have ended. In a pool that has lost some upstreams,
// each of the remaining ones would finish responses of several seconds before its change, so that a
// third of them would not serve during the rollout.
TEST_CASE(
    "new weights are rolled out in a loaded pool before the old ones are outdated for too long",
    "[weights]") {
    constexpr int bound_ms = 10'000;
    simulated_pool pool(17, 80);
    CHECK(pool.run(6000) < bound_ms);

    SECTION("two thirds of the upstreams keep serving") {
        CHECK(pool.fewest_serving * 3 >= pool.upstreams.size() * 2);
    }
    SECTION("fewer than half of the responses are continued on another upstream") {
        CHECK(pool.moved_responses < pool.responses / 2);
    }
}

// Guards against draining in a pool with hardly any free slots. If its upstreams were drained one
// after the other, the requests that they abort and the new ones would wait at the remaining
// upstreams.
TEST_CASE("no request waits for a slot while new weights are rolled out in a crowded pool",
          "[weights]") {
    simulated_pool pool(17, 175);
    CHECK(pool.run(6000) < 10'000);
    CHECK(pool.delayed_requests == 0);
    CHECK(pool.moved_responses == 0);
}
