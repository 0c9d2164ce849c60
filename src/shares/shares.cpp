#include "shares/shares.h"

#include "base/hash.h"
#include "base/random.h"
#include "shares/accounting.h"
#include "shares/max_min.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::shares {

namespace {

using seconds = std::chrono::duration<double>;
using millis = std::chrono::duration<double, std::milli>;

// Teams that ask for less, in slots, do not count towards the mean weight.
constexpr double min_demand = 0.001;
// The longest time for which one update changes balances and corrections.
constexpr base::micros max_update_span = base::seconds(1);

double weight_of(const share_table& state, const base::team_id& team) {
    const auto found = state.weights.find(team);
    return found == state.weights.end() ? 1.0 : found->second;
}

// In-flight requests per slot that this entry may use.
double load_of(const share_table& state, const pool_load& load, double usable_slots,
               base::instant now, const share_rules& rules) {
    if (usable_slots <= 0.0) {
        return 0.0;
    }
    const double all = static_cast<double>(load.in_flight) / usable_slots;
    const double even_slots = static_cast<double>(load.slots) * even_part(state);
    const double own = static_cast<double>(load.own_in_flight) / even_slots;
    return is_settling(state, now, rules) ? std::max(all, own) : all;
}

// Updates the figures of all teams, and this entry's part of the pool.
void sum_usage(const share_table& state, pool_account& pool, base::micros passed, base::instant now,
               const share_rules& rules) {
    usage_total all;
    for (auto& [team, account] : pool.teams) {
        const auto total = total_usage(state, account, now, rules);
        account.demand = total.requested;
        account.use = total.admitted;
        all.admitted += total.admitted;
        all.own_admitted += total.own_admitted;
    }
    const bool knows_all = uptime(state, now) > rules.settling_time &&
                           !is_partitioned(state, now, rules) &&
                           has_recent_reports(state, now, rules);
    if (knows_all && all.admitted > min_demand) {
        const double part = all.own_admitted / all.admitted;
        const double weight = std::min(1.0, millis(passed) / millis(rules.part_window));
        pool.part = pool.part.value_or(part) + weight * (part - pool.part.value_or(part));
    }
}

// Divides the capacity among the teams with demand. Returns whether it covers all demands.
bool divide_capacity(const share_table& state, pool_account& pool, double capacity,
                     const share_rules& rules) {
    std::vector<weighted_demand> demands;
    std::vector<team_account*> accounts;
    for (auto& [team, account] : pool.teams) {
        account.share.reset();
        if (account.demand >= min_demand) {
            demands.push_back({weight_of(state, team), account.demand});
            accounts.push_back(&account);
        }
    }
    raise_small_weights(demands, rules.min_weight);
    const auto level = max_min_level(demands, capacity);
    for (std::size_t each = 0; level && each < accounts.size(); ++each) {
        accounts[each]->share = demands[each].weight * *level;
    }
    return !level;
}

bool decide_overload(const pool_account& pool, bool covers_demand, const share_rules& rules) {
    if (!pool.overloaded) {
        return pool.load >= rules.enter_load;
    }
    return pool.load > (covers_demand ? rules.leave_load : rules.always_leave_load);
}

// `factor` is the grant factor, which is the first means against a backlog.
void update_correction(pool_account& pool, double factor, base::micros passed,
                       const share_rules& rules) {
    const double backlog = pool.overloaded ? pool.load - rules.target_load : 0.0;
    const double change = rules.correction_gain * seconds(passed).count();
    const double weight = std::min(1.0, millis(passed) / millis(rules.load_window));
    pool.average_load += weight * (pool.load - pool.average_load);
    const bool is_falling = pool.load < pool.average_load;
    if (backlog > 0.0 && !is_falling && (factor <= rules.min_grant || factor == 1.0)) {
        pool.correction = std::max(pool.correction - change * backlog, rules.min_correction);
    } else if (backlog <= 0.0) {
        pool.correction = std::min(pool.correction + change, 1.0);
    }
}

// The factor by which teams beyond their shares may use more or less than these, so that the load
// returns to its target. Teams within their shares are not affected.
double grant_factor(const pool_account& pool, double capacity, const share_rules& rules) {
    if (!pool.overloaded) {
        return 1.0;
    }
    double within = 0.0;
    double beyond = 0.0;
    for (const auto& [team, account] : pool.teams) {
        const bool is_beyond = account.share && account.demand > *account.share;
        beyond += is_beyond ? *account.share : 0.0;
        within += is_beyond ? 0.0 : account.demand;
    }
    const double wanted = capacity * (1.0 + rules.load_gain * (rules.target_load - pool.load));
    return beyond > 0.0 ? std::clamp((wanted - within) / beyond, rules.min_grant, rules.max_grant)
                        : 1.0;
}

void refill_balance(team_account& account, double factor, base::micros passed,
                    const share_rules& rules) {
    if (!account.share) {
        account.granted = account.demand;
        account.balance = 0.0;
        return;
    }
    const bool is_beyond = account.demand > *account.share;
    account.granted = *account.share * (is_beyond ? factor : 1.0);
    const double debt = *account.share * millis(rules.balance_time).count();
    const double credit = *account.share * millis(rules.credit_time).count();
    account.balance += account.granted * millis(passed).count();
    account.balance = std::clamp(account.balance, -debt, credit);
}

// The fraction of the team's demand that may be admitted.
double pass_probability(const team_account& account, const share_rules& rules) {
    const double wanted = account.granted + account.balance / millis(rules.balance_time).count();
    return std::clamp(wanted / std::max(account.demand, min_demand), 0.0, 1.0);
}

// Uniform in [0, 1), the same for the same key.
double random_draw(std::uint64_t draw_key, std::uint64_t salt) {
    base::random_source source{base::combine_hashes(draw_key, salt)};
    return base::random_unit(source);
}

// Time until the team's share has room for the request, plus a random part of the time needed to
// admit what is refused within one second; otherwise all refused clients would retry at once.
base::micros retry_delay(const team_account& account, const share_request& request,
                         double probability, const share_rules& rules) {
    const double granted = std::max(account.granted, min_demand);
    const millis room{
        std::max(0.0, (millis(request.slot_time).count() - account.balance) / granted)};
    const seconds backlog{(1.0 - probability) * account.demand / granted};
    const auto spread =
        std::clamp<seconds>(backlog, rules.min_retry_spread, rules.max_retry_spread);
    const double draw = random_draw(request.draw_key, 2);
    const seconds wait = std::min<seconds>(room, rules.max_retry_spread) + draw * spread;
    const seconds latest = request.time_left * rules.max_retry_part;
    // Retries that would come too late are spread over the second half of the time that is left.
    const seconds bounded = wait <= latest ? wait : latest * (0.5 + 0.5 * draw);
    return std::chrono::duration_cast<base::micros>(std::max(bounded, seconds(0)));
}

bool is_beyond_share(const pool_account& pool, const team_account& account) {
    return pool.overloaded && account.share && account.demand > *account.share;
}

} // namespace

void set_teams(share_table& state, const std::vector<routes::team>& teams) {
    std::map<routes::quota_unit, std::pair<double, double>> totals;
    for (const auto& team : teams) {
        if (routes::is_limited(team.quota)) {
            auto& [sum, count] = totals[team.quota.unit];
            sum += team.quota.rate_per_s;
            count += 1.0;
        }
    }
    state.weights.clear();
    for (const auto& team : teams) {
        if (routes::is_limited(team.quota)) {
            const auto& [sum, count] = totals[team.quota.unit];
            state.weights[team.id] = team.quota.rate_per_s * count / sum;
        }
    }
}

void set_entries(share_table& state, const std::set<base::entry_id>& others, base::instant now,
                 const share_rules& rules) {
    state.started_at = state.started_at.value_or(now);
    state.listed = others;
    update_silence(state, now, rules);
}

bool is_update_due(const share_table& state, const base::pool_id& pool, base::instant now,
                   const share_rules& rules) {
    const auto found = state.pools.find(pool);
    if (found == state.pools.end()) {
        return true;
    }
    const auto& account = found->second;
    return now - account.updated_at >= rules.update_interval ||
           account.admitted_since > account.slots * rules.early_update_fraction;
}

bool update_pool(share_table& state, const base::pool_id& pool, const pool_load& load,
                 base::instant now, const share_rules& rules) {
    state.started_at = state.started_at.value_or(now);
    update_silence(state, now, rules);
    auto& account = state.pools[pool];
    const base::micros passed = std::min<base::micros>(now - account.updated_at, max_update_span);
    account.updated_at = now;
    sum_usage(state, account, passed, now, rules);
    const double slots = static_cast<double>(load.slots) * usable_part(state, account, now, rules);
    account.slots = slots;
    account.admitted_since = 0.0;
    account.load = load_of(state, load, slots, now, rules);
    const double capacity = slots * account.correction;
    const bool covers_demand = divide_capacity(state, account, capacity, rules);
    const bool was_overloaded = account.overloaded;
    account.overloaded = decide_overload(account, covers_demand, rules);
    const double factor = grant_factor(account, capacity, rules);
    if (!is_partitioned(state, now, rules)) {
        update_correction(account, factor, passed, rules);
    }
    for (auto& [team, each] : account.teams) {
        refill_balance(each, factor, passed, rules);
    }
    return account.overloaded != was_overloaded;
}

decision admit(share_table& state, const share_request& request, base::instant now,
               const share_rules& rules) {
    state.started_at = state.started_at.value_or(now);
    auto& pool = state.pools[request.pool];
    auto& account = pool.teams[request.team];
    decision result;
    result.share = account.share.value_or(-1.0);
    result.use = account.use;
    result.demand = account.demand;
    result.load = pool.load;
    const double cost = millis(request.slot_time).count();
    if (!request.resumes && is_beyond_share(pool, account)) {
        const double probability = pass_probability(account, rules);
        result.admitted = random_draw(request.draw_key, 1) < probability;
        if (!result.admitted) {
            ++account.refused;
            result.retry_after = retry_delay(account, request, probability, rules);
        }
    }
    pool.admitted_since += result.admitted ? 1.0 : 0.0;
    add_own(state, account, {cost, result.admitted ? cost : 0.0}, now, rules);
    return result;
}

void return_charge(share_table& state, const share_request& request, base::instant now,
                   const share_rules& rules) {
    const auto pool = state.pools.find(request.pool);
    if (pool == state.pools.end()) {
        return;
    }
    const auto account = pool->second.teams.find(request.team);
    if (account != pool->second.teams.end() && account->second.requested != 0) {
        add_own(state, account->second, {0.0, -millis(request.slot_time).count()}, now, rules);
    }
}

std::vector<share_status> share_statuses(const share_table& state) {
    std::vector<share_status> all;
    for (const auto& [pool, pool_state] : state.pools) {
        for (const auto& [team, account] : pool_state.teams) {
            all.push_back({team, pool, account.share.value_or(-1.0), account.use, account.demand});
        }
    }
    return all;
}

} // namespace camphorrail::shares
