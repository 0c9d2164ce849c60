#include "admission/retry_share.h"
#include "base/random.h"
#include "proxy/retry_shares.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

using namespace camphorrail;
using base::milliseconds;

namespace {

constexpr double slack = 52;
constexpr double ratio = 0.2;
constexpr double ratio_fraction = 0.7;
constexpr int window_ms = 10'000;
constexpr int step_ms = 50;
// An entry accepts requests for this long after its stop signal, and its registration outlasts a
// kill by this long.
constexpr int stop_ms = 3'000;
constexpr int lease_ms = 16'000;

// Entries at whose upstreams every request fails, while entries are stopped, killed, started and
// added, and while the store loses the registrations. The seed determines the whole run.
struct retry_simulation {
    struct node {
        int started_ms = 0;
        int down_until = 0;
        int stops_at = -1;
        // Cut off from the other entries, not from the store.
        int cut_until = 0;
        // How late this entry sees changes of the list.
        int list_lag_ms = 0;
        // From and until when the list shows it.
        int listed_from = 0;
        int listed_until = 0;
        bool has_slot = false;
        entries::entry_count_history counts;
        admission::retry_window window;
    };

    base::random_source random;
    std::vector<node> nodes;
    std::vector<int> requests;
    std::vector<int> retries;
    // Until when each startup slot is taken.
    std::vector<int> slots_taken_until;
    int store_empty_from = -100'000;
    int store_empty_until = -100'000;
    int now_ms = 0;

    explicit retry_simulation(std::uint64_t seed) : random{seed} {
        this->nodes.resize(2 + this->below(40));
        for (auto& each : this->nodes) {
            this->start(each);
        }
    }

    int below(int bound) {
        return static_cast<int>(
            base::random_below(this->random, static_cast<std::uint64_t>(bound)));
    }

    [[nodiscard]] base::instant now() const { return base::instant{milliseconds(this->now_ms)}; }

    void claim_slot(node& one) {
        constexpr int slot_lease_ms = 24'000;
        auto& slots = this->slots_taken_until;
        slots.resize(admission::startup_slot_count(slack, {}), -1);
        const auto free = std::find_if(slots.begin(), slots.end(),
                                       [this](int until) { return until <= this->now_ms; });
        one.has_slot = free != slots.end();
        if (one.has_slot) {
            *free = this->now_ms + slot_lease_ms;
        }
    }

    void start(node& one) {
        const int listed_until = one.listed_until;
        one = {};
        one.started_ms = this->now_ms;
        this->claim_slot(one);
        one.list_lag_ms = this->below(1000);
        // An older registration may still be there.
        one.listed_from = listed_until > this->now_ms ? 0 : this->now_ms + 100 + this->below(900);
        one.listed_until = 1 << 30;
    }

    [[nodiscard]] bool runs(const node& one) const { return this->now_ms >= one.down_until; }

    [[nodiscard]] bool lists(const node& viewer, const node& other) const {
        const int at = this->now_ms - viewer.list_lag_ms;
        const bool is_lost = at >= this->store_empty_from && at < this->store_empty_until;
        return !is_lost && at >= other.listed_from && at < other.listed_until;
    }

    // Entries that run are linked once both have run for a moment.
    [[nodiscard]] bool linked(const node& one, const node& other) const {
        constexpr int connect_ms = 800;
        const bool is_cut = this->now_ms < std::max(one.cut_until, other.cut_until);
        return this->runs(one) && this->runs(other) && !is_cut &&
               this->now_ms - std::max(one.started_ms, other.started_ms) > connect_ms;
    }

    void stop(node& one) {
        one.stops_at = this->now_ms + stop_ms;
        one.listed_until = this->now_ms;
    }

    void kill(node& one) {
        one.listed_until = std::min(one.listed_until, this->now_ms + lease_ms);
        one.down_until = this->now_ms + 100 + this->below(3000);
    }

    void disturb() {
        const int draw = this->below(400);
        const int share = 1 + this->below(4);
        const auto each_of_some = [this, share](auto&& action) {
            for (auto& one : this->nodes) {
                if (this->runs(one) && one.stops_at < 0 && this->below(4) < share) {
                    action(one);
                }
            }
        };
        if (draw == 0) {
            each_of_some([this](node& one) { this->stop(one); });
        } else if (draw == 1) {
            each_of_some([this](node& one) { this->kill(one); });
        } else if (draw == 2) {
            this->store_empty_from = this->now_ms;
            this->store_empty_until = this->now_ms + this->below(5000);
        } else if (draw == 4) {
            each_of_some([this](node& one) { one.cut_until = this->now_ms + this->below(8000); });
        } else if (draw == 3 && this->nodes.size() < 60) {
            this->nodes.emplace_back();
            this->start(this->nodes.back());
        }
    }

    void call(node& one) {
        constexpr admission::retry_share_rules rules;
        std::int64_t known = 1;
        for (const auto& other : this->nodes) {
            const bool is_other = &other != &one;
            known += is_other && (this->lists(one, other) || this->linked(one, other)) ? 1 : 0;
        }
        entries::record_entry_count(one.counts, known, this->now(), rules.settling_time);
        one.window.extra_retries =
            admission::retry_share({slack, entries::largest_entry_count(one.counts),
                                    milliseconds(this->now_ms - one.started_ms), one.has_slot},
                                   rules);
        one.window.retries_per_request = ratio * ratio_fraction;
        for (int each = this->below(4); each > 0; --each) {
            admission::record_request(one.window, this->now());
            this->requests.push_back(this->now_ms);
            if (admission::consume_retry(one.window, this->now())) {
                this->retries.push_back(this->now_ms);
            }
        }
    }

    void step() {
        this->now_ms += step_ms;
        this->disturb();
        for (auto& one : this->nodes) {
            if (one.stops_at >= 0 && this->now_ms >= one.stops_at) {
                this->kill(one);
            }
            const bool starts_again =
                this->runs(one) && one.down_until > one.started_ms && one.down_until > 0;
            if (starts_again) {
                this->start(one);
            }
            if (this->runs(one)) {
                this->call(one);
            }
        }
    }
};

double count_within(const std::vector<int>& times, int from) {
    const auto first = std::lower_bound(times.begin(), times.end(), from);
    const auto last = std::lower_bound(times.begin(), times.end(), from + window_ms);
    return static_cast<double>(last - first);
}

} // namespace

// Guards against more retries than all entries together may send while entries leave, start again,
// join and are cut off from each other, and while the list of entries is short or late.
TEST_CASE("entries stay within the shared retry budget", "[proxy][schedule]") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        retry_simulation run(seed);
        while (run.now_ms < 90'000) {
            run.step();
        }
        double worst = 0.0;
        for (int from = 0; from < 80'000; from += step_ms) {
            worst = std::max(worst, count_within(run.retries, from) -
                                        ratio * count_within(run.requests, from));
        }
        INFO("seed " << seed << ", " << run.nodes.size() << " entries");
        CHECK(worst <= slack);
    }
}

// Guards against entries that share nothing: those that have run for long must use their shares.
TEST_CASE("a settled fleet uses most of the shared retry budget", "[proxy]") {
    constexpr admission::retry_share_rules rules;
    constexpr std::int64_t entry_count = 6;
    admission::retry_window window;
    window.extra_retries = admission::retry_share({slack, entry_count, base::minutes(1)}, rules);
    window.retries_per_request = 0.0;
    std::int64_t used = 0;
    while (admission::consume_retry(window, base::instant{base::minutes(1)})) {
        used += entry_count;
    }
    CHECK(static_cast<double>(used) >= slack / 2);

    SECTION("and a process that has just started uses nothing of it") {
        CHECK(admission::retry_share({slack, 1, base::seconds(10)}, rules) == 0.0);
    }
    SECTION("but for one retry if it has a startup slot") {
        const double share = admission::retry_share({slack, 1, base::seconds(10), true}, rules);
        CHECK(share >= 1.0);
        CHECK(share < 2.0);
    }
    SECTION("and a share of a large fleet is less than one retry") {
        CHECK(admission::retry_share({slack, 400, base::minutes(1)}, rules) * 400 <= slack);
    }
}

TEST_CASE("an entry applies its share of each pool's retries", "[proxy]") {
    tests::proxy_world world;
    world.stop_clock();
    const auto share = [&world] { return world.state.retries.begin()->second.extra_retries; };
    proxy::update_retry_shares(world.entry(), {1, base::seconds(1)});
    REQUIRE_FALSE(world.state.retries.empty());
    CHECK(share() == 0.0);
    proxy::update_retry_shares(world.entry(), {5, base::seconds(2)});
    world.move_clock(base::seconds(11));
    proxy::update_retry_shares(world.entry(), {5, base::seconds(13)});
    const double of_five = share();
    CHECK(of_five > 0.0);

    SECTION("which stays the same for a window after the others have gone") {
        world.move_clock(base::seconds(11));
        proxy::update_retry_shares(world.entry(), {1, base::seconds(24)});
        CHECK(share() == of_five);
    }
    SECTION("which is larger afterwards") {
        world.move_clock(base::seconds(13));
        proxy::update_retry_shares(world.entry(), {1, base::seconds(26)});
        CHECK(share() == Approx(5 * of_five));
    }
}
