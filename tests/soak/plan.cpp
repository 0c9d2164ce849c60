#include "soak/plan.h"

#include "base/random.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace camphorrail::soak {

namespace {

constexpr std::array<std::string_view, 32> names{"kill",
                                                 "stop",
                                                 "pause",
                                                 "reload",
                                                 "delay_engine",
                                                 "reset_engine",
                                                 "cut_one_way",
                                                 "silence_engine",
                                                 "refuse_engine",
                                                 "silence_store",
                                                 "cut_store",
                                                 "store_busy",
                                                 "store_silent",
                                                 "store_slow",
                                                 "store_loses",
                                                 "engine_restarts",
                                                 "engine_fails",
                                                 "engine_loses",
                                                 "engine_leaves",
                                                 "remove_key",
                                                 "change_config",
                                                 "name_weights",
                                                 "fatal_requests",
                                                 "engine_says_leaving",
                                                 "engine_asks_for_pause",
                                                 "engines_lost_together",
                                                 "weights_named_in_pause",
                                                 "store_saves_copy",
                                                 "store_returns",
                                                 "engine_released",
                                                 "engine_states_limit",
                                                 "engine_omits_length"};
// The first ones are drawn at random; the others are added.
constexpr std::uint64_t drawn_kinds = 22;
constexpr std::uint64_t quiet_stream = 0xfa7a1;
// One seed in so many loses engines together.
constexpr std::uint64_t seeds_a_loss = 5;
constexpr base::milliseconds calm_before_quiet{4000};
constexpr base::milliseconds quiet_span{8000};
// One seed in so many has weights named in a pause, after all other faults.
constexpr std::uint64_t seeds_a_naming = 4;
constexpr std::uint64_t naming_stream = 0x5e1ec7;
constexpr int shortest_pause_ms = 4800;
constexpr int longest_pause_ms = 6000;
constexpr int shortest_span_ms = 300;
constexpr int longest_span_ms = 4000;
constexpr std::uint64_t return_stream = 0xc0b1e5;
constexpr std::uint64_t release_stream = 0x2e1ea5e;
constexpr std::uint64_t limit_stream = 0x11417;
constexpr std::uint64_t length_stream = 0x1e47;
constexpr int shortest_length_gap_ms = 200;
constexpr int longest_length_gap_ms = 2500;
constexpr int shortest_without_length_ms = 1000;
constexpr int longest_without_length_ms = 6000;
constexpr int shortest_limit_gap_ms = 500;
constexpr int longest_limit_gap_ms = 4000;
constexpr int shortest_limit_ms = 5000;
constexpr int longest_limit_ms = 12000;
constexpr std::array<double, 4> rate_limits{0.3, 1.0, 2.5, 8.0};
constexpr int first_release_ms = 300;
constexpr int longest_gap_between_lives_ms = 800;
constexpr int shortest_release_gap_ms = 100;
constexpr int longest_release_gap_ms = 1500;
constexpr int shortest_release_pause_ms = 1000;
constexpr int longest_release_pause_ms = 6000;
// Releases go to one of so many versions, also back to an earlier one.
constexpr std::uint64_t software_versions = 3;
// One seed in so many has a store that never returns from a copy, one return in so many comes soon
// after another.
constexpr std::uint64_t seeds_without_returns = 3;
constexpr std::uint64_t returns_a_soon_one = 3;
constexpr int shortest_gap_ms = 200;
constexpr int soon_ms = 2500;
constexpr int longest_gap_ms = 9000;
constexpr int shortest_loss_ms = 500;
constexpr int longest_loss_ms = 3000;
constexpr int longest_absence_ms = 2000;
constexpr int longest_delay_ms = 2500;
// What a return makes the store forget, besides what is drawn for the time anyway.
constexpr std::array<fault_kind, 4> lost_changes{fault_kind::remove_key, fault_kind::change_config,
                                                 fault_kind::name_weights,
                                                 fault_kind::engine_leaves};
// What changes in the new era at once.
constexpr std::array<fault_kind, 3> first_changes{fault_kind::remove_key, fault_kind::change_config,
                                                  fault_kind::engine_leaves};
constexpr int latest_change_ms = 300;
// Beyond the calm that follows a return, so that the checker judges part of it.
constexpr base::milliseconds listed_alone{7000};

bool is_of_engine(fault_kind kind) {
    switch (kind) {
    case fault_kind::delay_engine:
    case fault_kind::reset_engine:
    case fault_kind::cut_engine_one_way:
    case fault_kind::silence_engine:
    case fault_kind::refuse_engine:
    case fault_kind::engine_restarts:
    case fault_kind::engine_fails:
    case fault_kind::engine_loses_answers:
    case fault_kind::engine_leaves:
        return true;
    default:
        return false;
    }
}

} // namespace

const char* name_of(fault_kind kind) {
    return names.at(static_cast<std::size_t>(kind)).data();
}

bool is_planned(fault_kind kind) {
    return kind == fault_kind::stop || kind == fault_kind::reload ||
           kind == fault_kind::change_config || kind == fault_kind::name_weights ||
           kind == fault_kind::remove_key;
}

namespace {

// After all else is sound again, so that entries are held to what they owe in quiet times. From a
// stream of its own: the plan beside it is the same as without.
void add_quiet_faults(std::vector<planned_fault>& plan, std::uint64_t seed, const plan_size& size) {
    base::random_source random{seed ^ quiet_stream};
    const auto at = size.length + calm_before_quiet;
    if (seed % seeds_a_loss == seeds_a_loss - 1) {
        plan.push_back({at, quiet_span, fault_kind::engines_lost_together, 0});
        return;
    }
    if (base::random_below(random, 2) > 0) {
        const int by_part = static_cast<int>(seed / 2 % 2);
        plan.push_back({at, quiet_span, fault_kind::fatal_requests, by_part});
        return;
    }
    const auto engines = static_cast<std::uint64_t>(size.engines);
    const int leaving = static_cast<int>(base::random_below(random, engines));
    plan.push_back({at, quiet_span, fault_kind::engine_says_leaving, leaving});
    plan.push_back({at, quiet_span, fault_kind::engine_asks_for_pause,
                    (leaving + 1) % static_cast<int>(engines)});
}

// After the other quiet faults, and from a stream of its own as they are.
void add_naming(std::vector<planned_fault>& plan, std::uint64_t seed, const plan_size& size) {
    if (seed % seeds_a_naming != seeds_a_naming - 1) {
        return;
    }
    base::random_source random{seed ^ naming_stream};
    const auto at = size.length + calm_before_quiet + quiet_span + calm_before_quiet;
    const auto spread = static_cast<std::uint64_t>(longest_pause_ms - shortest_pause_ms);
    const int span = shortest_pause_ms + static_cast<int>(base::random_below(random, spread));
    const int skipped = static_cast<int>(base::random_below(random, 2));
    plan.push_back({at, base::milliseconds(span), fault_kind::weights_named_in_pause, skipped});
}

base::milliseconds draw(base::random_source& random, int from, int to) {
    const auto spread = static_cast<std::uint64_t>(to - from);
    return base::milliseconds(from + static_cast<int>(base::random_below(random, spread)));
}

base::milliseconds draw_delay(base::random_source& random) {
    const bool at_once = base::random_below(random, 2) == 0;
    return at_once ? base::milliseconds(0) : draw(random, 1, longest_delay_ms);
}

// A change soon after the store is back.
void add_first_change(std::vector<planned_fault>& plan, base::random_source& random,
                      base::milliseconds back_at, const plan_size& size) {
    planned_fault change{back_at + draw(random, 0, latest_change_ms),
                         draw(random, shortest_span_ms, longest_span_ms)};
    change.kind = first_changes.at(base::random_below(random, first_changes.size()));
    change.target = static_cast<int>(draw(random, 0, size.engines).count());
    change.listed_alone = listed_alone;
    plan.push_back(change);
}

// The copy, a change that it lacks, and the return.
void add_return(std::vector<planned_fault>& plan, base::random_source& random,
                base::milliseconds at, const plan_size& size) {
    const base::milliseconds start{0};
    const auto loss = draw(random, shortest_loss_ms, longest_loss_ms);
    plan.push_back({std::max(start, at - loss), start, fault_kind::store_saves_copy, 0});
    const auto lost = lost_changes.at(base::random_below(random, lost_changes.size()));
    const auto written = at - draw(random, 0, static_cast<int>(loss.count()));
    plan.push_back({std::max(start, written), draw(random, shortest_span_ms, longest_span_ms), lost,
                    static_cast<int>(draw(random, 0, size.engines).count())});
    const auto away = draw(random, shortest_span_ms, longest_absence_ms);
    const int unanswered = static_cast<int>(base::random_below(random, 2));
    const auto operators_after = draw_delay(random);
    plan.push_back({at, away, fault_kind::store_returns_from_copy, unanswered, operators_after,
                    draw_delay(random)});
}

// From a stream of its own, as the quiet faults.
void add_returns(std::vector<planned_fault>& plan, std::uint64_t seed, const plan_size& size) {
    base::random_source random{seed ^ return_stream};
    if (base::random_below(random, seeds_without_returns) == 0) {
        return;
    }
    base::milliseconds at{0};
    std::vector<base::milliseconds> back_at;
    while (true) {
        const bool soon = base::random_below(random, returns_a_soon_one) == 0;
        at += draw(random, shortest_gap_ms, soon ? soon_ms : longest_gap_ms);
        if (at >= size.length) {
            break;
        }
        add_return(plan, random, at, size);
        at += plan.back().span;
        back_at.push_back(at);
    }
    // Drawn last, so that the returns of a seed are the same as without.
    for (const auto each : back_at) {
        add_first_change(plan, random, each, size);
    }
}

// One release after the other, each of half of the engines or more, and from a stream of its own.
void add_releases(std::vector<planned_fault>& plan, std::uint64_t seed, const plan_size& size) {
    base::random_source random{seed ^ release_stream};
    base::milliseconds at{first_release_ms};
    while (at < size.length) {
        const int software = static_cast<int>(base::random_below(random, software_versions)) + 1;
        const int first = static_cast<int>(draw(random, 0, size.engines).count());
        const auto count = draw(random, (size.engines + 1) / 2, size.engines + 1).count();
        const int gap =
            static_cast<int>(draw(random, shortest_release_gap_ms, longest_release_gap_ms).count());
        for (int each = 0; each < count; ++each) {
            planned_fault fault{at, draw(random, shortest_span_ms, longest_gap_between_lives_ms),
                                fault_kind::engine_released, (first + each) % size.engines};
            fault.software = software;
            plan.push_back(fault);
            at += base::milliseconds(gap);
        }
        at += draw(random, shortest_release_pause_ms, longest_release_pause_ms);
    }
}

// Half of the engines at most, so that the others can take the calls, until after all else is sound
// again. From a stream of its own.
void add_limits(std::vector<planned_fault>& plan, std::uint64_t seed, const plan_size& size) {
    base::random_source random{seed ^ limit_stream};
    base::milliseconds at{0};
    while (true) {
        at += draw(random, shortest_limit_gap_ms, longest_limit_gap_ms);
        if (at >= size.length + calm_before_quiet) {
            return;
        }
        const int target = static_cast<int>(draw(random, 0, std::max(1, size.engines / 2)).count());
        planned_fault fault{at, draw(random, shortest_limit_ms, longest_limit_ms),
                            fault_kind::engine_states_limit, target};
        fault.rate_limit = rate_limits.at(base::random_below(random, rate_limits.size()));
        plan.push_back(fault);
    }
}

// Until all else is sound again, and from a stream of its own as the others.
void add_omitted_lengths(std::vector<planned_fault>& plan, std::uint64_t seed,
                         const plan_size& size) {
    base::random_source random{seed ^ length_stream};
    base::milliseconds at{0};
    while (true) {
        at += draw(random, shortest_length_gap_ms, longest_length_gap_ms);
        if (at >= size.length) {
            return;
        }
        const int target = static_cast<int>(draw(random, 0, size.engines).count());
        plan.push_back({at, draw(random, shortest_without_length_ms, longest_without_length_ms),
                        fault_kind::engine_omits_length, target});
    }
}

} // namespace

std::vector<planned_fault> make_plan(std::uint64_t seed, const plan_size& size) {
    base::random_source random{seed};
    std::vector<planned_fault> plan;
    // Some runs have nothing but planned work, in which nothing at all may be cut.
    const bool only_planned = base::random_below(random, 4) == 0;
    double at = 0;
    while (true) {
        at += base::random_exponential(random, static_cast<double>(size.pause.count()));
        if (at >= static_cast<double>(size.length.count())) {
            add_quiet_faults(plan, seed, size);
            add_naming(plan, seed, size);
            if (size.store_returns && !only_planned) {
                add_returns(plan, seed, size);
            }
            if (size.releases) {
                add_releases(plan, seed, size);
            }
            add_limits(plan, seed, size);
            if (!only_planned) {
                add_omitted_lengths(plan, seed, size);
            }
            return plan;
        }
        const auto kind = static_cast<fault_kind>(base::random_below(random, drawn_kinds));
        const auto span =
            shortest_span_ms +
            static_cast<int>(base::random_below(random, longest_span_ms - shortest_span_ms));
        const int among = is_of_engine(kind) ? size.engines : size.entries;
        const int target =
            static_cast<int>(base::random_below(random, static_cast<std::uint64_t>(among)));
        if (only_planned && !is_planned(kind)) {
            continue;
        }
        plan.push_back(
            {base::milliseconds(static_cast<int>(at)), base::milliseconds(span), kind, target});
    }
}

} // namespace camphorrail::soak
