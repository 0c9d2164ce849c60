#include "fleet/fleet.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace camphorrail::fleet {

namespace {

bool is_same_listing(const ports::listed_upstream& left, const ports::listed_upstream& right) {
    return left.incarnation == right.incarnation && left.address == right.address &&
           left.draining == right.draining && left.models == right.models &&
           left.pool == right.pool && left.slots == right.slots && left.software == right.software;
}

// Older incarnations than these can't appear in any message still in flight.
constexpr std::size_t max_previous_incarnations = 4;

// How many departed instances are remembered, and for how long.
constexpr std::size_t max_departed = 256;
constexpr base::minutes departed_lifetime{10};

// How many rate limits of upstreams that are not listed are remembered.
constexpr std::size_t max_unlisted_limits = 256;

// More than this is not made up for after a stretch without permits.
constexpr double max_owed_requests = 2.0;

// An upstream that is busy for no longer than this will serve soon. Covers the time for which one
// that has refused a request, or changes weights, gets no more.
constexpr base::milliseconds short_wait{250};

// Maximum for the pause that an upstream may ask for; after it the upstream is tried again.
constexpr base::minutes max_pause{10};

// Whether the upstream has restarted. The first report of an incarnation is no restart.
bool is_restart(base::upstream_incarnation before, base::upstream_incarnation after) {
    return before.value != 0 && before != after;
}

bool contains(const std::vector<base::upstream_id>& ids, const base::upstream_id& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

void start_incarnation(member& one, base::upstream_incarnation incarnation) {
    one.previous_incarnations.push_back(one.listed.incarnation);
    if (one.previous_incarnations.size() > max_previous_incarnations) {
        one.previous_incarnations.erase(one.previous_incarnations.begin());
    }
    member restarted;
    restarted.listed = std::move(one.listed);
    restarted.listed.incarnation = incarnation;
    // Unknown until the platform's list shows this incarnation.
    restarted.listed.software = {};
    restarted.id_hash = one.id_hash;
    restarted.short_lane = one.short_lane;
    restarted.unlisted_since = one.unlisted_since;
    restarted.previous_incarnations = std::move(one.previous_incarnations);
    one = std::move(restarted);
}

base::upstream_instance instance_of(const member& one) {
    return {one.listed.id, one.listed.incarnation};
}

member* find_instance(fleet& state, const base::upstream_instance& instance) {
    const auto found = state.members.find(instance.id);
    const bool same_incarnation =
        found != state.members.end() && found->second.listed.incarnation == instance.incarnation;
    return same_incarnation ? &found->second : nullptr;
}

bool incarnation_ended(const member& one, base::upstream_incarnation incarnation) {
    return std::find(one.previous_incarnations.begin(), one.previous_incarnations.end(),
                     incarnation) != one.previous_incarnations.end();
}

bool record_drain_report(fleet& state, const base::upstream_instance& upstream, base::instant now) {
    auto* one = find_instance(state, upstream);
    if (one == nullptr || one->drain_reported_at) {
        return false;
    }
    one->drain_reported_at = now;
    return true;
}

void mark_replaced(fleet& state, const base::upstream_id& id) {
    const auto found = state.members.find(id);
    if (found != state.members.end()) {
        found->second.listed.draining = true;
    }
}

list_diff apply_list(fleet& state, const std::vector<ports::listed_upstream>& listed,
                     base::instant now) {
    list_diff diff;
    std::set<base::upstream_id> present;
    for (const auto& each : listed) {
        present.insert(each.id);
        const auto [found, is_new] = state.members.try_emplace(each.id);
        auto& one = found->second;
        if (!is_new && incarnation_ended(one, each.incarnation)) {
            continue;
        }
        if (is_new) {
            diff.added.push_back(each.id);
            const auto left = state.drained.find({each.id, each.incarnation});
            if (left != state.drained.end()) {
                one.drain_reported_at = left->second;
            }
        } else if (one.unlisted_since || !is_same_listing(one.listed, each)) {
            diff.changed.push_back(each.id);
        }
        if (!is_new && is_restart(one.listed.incarnation, each.incarnation)) {
            start_incarnation(one, each.incarnation);
            diff.restarted.push_back(each.id);
        }
        if (!is_new && one.listed.models != each.models) {
            diff.weights_changed.push_back(each.id);
        }
        one.listed = each;
        one.id_hash = base::stable_hash(each.id.value);
        one.unlisted_since.reset();
        if (const auto remembered = state.unlisted_limits.extract(instance_of(one))) {
            one.limit = remembered.mapped();
        }
    }
    for (auto& [id, one] : state.members) {
        if (present.count(id) == 0 && !one.unlisted_since) {
            one.unlisted_since = now;
            diff.removed.push_back(id);
        }
    }
    return diff;
}

namespace {

void remember_departed(fleet& state, const base::upstream_instance& upstream, base::instant since) {
    if (state.drained.size() >= max_departed) {
        state.drained.erase(std::min_element(
            state.drained.begin(), state.drained.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
    state.drained[upstream] = since;
}

} // namespace

std::vector<base::upstream_id> prune_unlisted(fleet& state, base::instant now,
                                              const fleet_rules& rules) {
    std::vector<base::upstream_id> dropped;
    for (auto it = state.members.begin(); it != state.members.end();) {
        const member& one = it->second;
        const bool is_expired = one.unlisted_since && one.local_work.in_flight == 0 &&
                                now - *one.unlisted_since > rules.unlisted_grace;
        if (is_expired) {
            dropped.push_back(it->first);
        }
        if (is_expired && one.drain_reported_at) {
            remember_departed(state, instance_of(one), *one.drain_reported_at);
        }
        if (is_expired && one.limit.changed_at) {
            unlisted_limit(state, instance_of(one)) = one.limit;
        }
        it = is_expired ? state.members.erase(it) : std::next(it);
    }
    std::erase_if(state.drained,
                  [now](const auto& each) { return now - each.second > departed_lifetime; });
    std::erase_if(state.unlisted_limits, [now](const auto& each) {
        return now - each.second.stated_at > departed_lifetime;
    });
    return dropped;
}

std::int64_t weights_version_of(const member& one, const base::model_id& model) {
    for (const auto& [name, version] : one.listed.models) {
        if (name == model) {
            return version;
        }
    }
    return 0;
}

bool is_available(const member& one) {
    return !one.listed.draining && !one.unlisted_since && !one.drain_reported_at;
}

bool may_serve_in_grace(const member& one, base::instant now, const fleet_rules& rules) {
    const auto is_recent = [&](const std::optional<base::instant>& since) {
        return !since || now - *since <= rules.unlisted_grace;
    };
    return !one.listed.draining && is_recent(one.unlisted_since) &&
           is_recent(one.drain_reported_at);
}

bool is_suspected(const member& one, base::instant now) {
    return !membership::is_usable(one.health, now) || now < one.suspected_until ||
           one.common != common_suspicion::none;
}

void end_suspicion(member& one, base::instant now) {
    one.common = common_suspicion::none;
    one.probe_until = {};
    one.suspected_until = std::min(one.suspected_until, now);
    membership::end_ejection(one.health, now);
}

bool awaits_probe(const member& one, base::instant now) {
    return one.common != common_suspicion::none && now < one.probe_until && is_available(one) &&
           now >= unavailable_until(one) && is_within_limit(one, now);
}

base::instant unavailable_until(const member& one) {
    return std::max(one.busy_until, one.pause_until);
}

bool is_within_limit(const member& one, base::instant now) {
    return !one.limit.limit || ratelimit::has_permit(one.permits, now);
}

ratelimit::stated_limit& unlisted_limit(fleet& state, const base::upstream_instance& upstream) {
    auto& limits = state.unlisted_limits;
    if (limits.size() >= max_unlisted_limits && limits.count(upstream) == 0) {
        limits.erase(
            std::min_element(limits.begin(), limits.end(), [](const auto& left, const auto& right) {
                return left.second.stated_at < right.second.stated_at;
            }));
    }
    return limits[upstream];
}

bool count_against_limit(member& one, base::instant now) {
    if (!one.limit.limit) {
        return true;
    }
    const bool has_permit = ratelimit::take_permit(one.permits, now);
    one.owed_requests -= has_permit ? 1.0 : 0.0;
    return has_permit;
}

void count_towards_shares(fleet& state, const base::pool_id& pool, base::instant now) {
    std::vector<member*> limited;
    double eligible = 0.0;
    for (auto& [id, one] : state.members) {
        if (one.listed.pool != pool || !is_eligible(one, now)) {
            continue;
        }
        eligible += 1.0;
        if (one.limit.limit) {
            limited.push_back(&one);
        }
    }
    for (auto* one : limited) {
        one->owed_requests =
            std::clamp(one->owed_requests + 1.0 / eligible, -max_owed_requests, max_owed_requests);
    }
}

void record_pause(member& one, base::micros span, base::instant now) {
    const base::instant until = now + std::min<base::micros>(span, max_pause);
    one.pause_until = std::max(one.pause_until, until);
}

bool is_eligible(const member& one, base::instant now) {
    return is_available(one) && !is_suspected(one, now) && now >= unavailable_until(one);
}

std::vector<member*> candidates(fleet& state, const base::pool_id& pool, base::instant now,
                                const fleet_rules& rules,
                                const std::vector<base::upstream_id>& except,
                                const std::function<bool(const member&)>& is_suitable) {
    std::vector<member*> eligible;
    std::vector<member*> suspected;
    std::vector<member*> excluded;
    std::vector<member*> last_resort;
    bool any_listed = false;
    bool any_free_soon = false;
    for (auto& [id, one] : state.members) {
        if (one.listed.pool != pool || !is_suitable(one)) {
            continue;
        }
        any_listed = any_listed || (!one.unlisted_since && !one.drain_reported_at);
        any_free_soon =
            any_free_soon || (one.common != common_suspicion::excluded && !contains(except, id) &&
                              is_available(one) && now + short_wait >= unavailable_until(one));
        if (contains(except, id) || !is_within_limit(one, now)) {
            continue;
        }
        if (is_eligible(one, now)) {
            eligible.push_back(&one);
        } else if (is_available(one) && now >= unavailable_until(one)) {
            (one.common == common_suspicion::excluded ? excluded : suspected).push_back(&one);
        } else if (!is_available(one) && now >= one.pause_until &&
                   may_serve_in_grace(one, now, rules)) {
            last_resort.push_back(&one);
        }
    }
    if (!eligible.empty()) {
        return eligible;
    }
    if (!suspected.empty()) {
        return suspected;
    }
    // When the rest of a pool is full for some tens of milliseconds, a refusal is over sooner than
    // an attempt at an upstream that does not respond.
    if (!excluded.empty() && !any_free_soon) {
        return excluded;
    }
    // An upstream that disappears while others of its pool are listed has left, perhaps seconds
    // ago: list updates arrive late behind a large configuration, and requests reached such
    // upstreams after the allowed time. During an outage of the platform's store, all list entries
    // expire at once.
    return any_listed ? std::vector<member*>{} : last_resort;
}

std::vector<member*> candidates(fleet& state, const base::pool_id& pool, base::instant now,
                                const fleet_rules& rules,
                                const std::vector<base::upstream_id>& except) {
    return candidates(state, pool, now, rules, except, [](const member&) { return true; });
}

workload total_work(const member& one, base::instant now) {
    workload all = one.local_work;
    for (const auto& [entry, load] : one.remote_work) {
        if (now <= load.expires_at) {
            all += load.work;
        }
    }
    return all;
}

std::int64_t total_kv_tokens(const member& one, base::instant now) {
    std::int64_t tokens = one.local_work.kv_tokens;
    for (const auto& [entry, load] : one.remote_work) {
        tokens += now <= load.expires_at ? load.work.kv_tokens : 0;
    }
    return tokens;
}

std::int64_t estimate_pending_prefill_tokens(const member& one, base::instant now,
                                             double tokens_per_ms,
                                             std::optional<queueing::rank> rank) {
    double reported = 0.0;
    double weighted_age_ms = 0.0;
    for (const auto& [entry, load] : one.remote_work) {
        if (now <= load.expires_at) {
            const auto tokens = static_cast<double>(work_ahead(load.work, rank).unread_tokens);
            const std::chrono::duration<double, std::milli> age = now - load.reported_at;
            reported += tokens;
            weighted_age_ms += tokens * age.count();
        }
    }
    const double read = reported > 0.0 ? tokens_per_ms * weighted_age_ms / reported : 0.0;
    return work_ahead(one.local_work, rank).unread_tokens +
           static_cast<std::int64_t>(std::max(0.0, reported - read));
}

std::int64_t estimated_load(const member& one, base::instant now, const fleet_rules& rules) {
    const std::int64_t in_flight = total_work(one, now).in_flight;
    if (!one.load || now - one.load_at > rules.load_report_ttl) {
        return in_flight;
    }
    // The report includes the request whose response carried it, which has ended.
    return std::max(in_flight, one.load->running + one.load->waiting - 1);
}

void record_load(fleet& state, member& one, const ports::reported_load& load, base::instant now) {
    one.load = load;
    one.load_at = now;
    if (load.slowdown) {
        speed::record_statement(one.speed, *load.slowdown, now, {});
        state.slowdown_stated_at[one.listed.pool] = now;
    }
}

namespace {

void update_pool_speeds(const base::pool_id& pool, const std::vector<member*>& members,
                        bool stating, base::instant now, const speed::speed_rules& rules,
                        speed_changes& changes) {
    const bool was_in_force = std::any_of(members.begin(), members.end(),
                                          [](const auto* one) { return one->speed.in_force; });
    std::vector<speed::upstream_speed*> speeds;
    std::vector<double> before;
    for (auto* one : members) {
        speeds.push_back(&one->speed);
        before.push_back(one->speed.factor);
    }
    speed::update_pool(speeds, stating, now, rules);
    if (stating != was_in_force) {
        changes.pools.emplace_back(pool, stating);
    }
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (members[index]->speed.factor != before[index]) {
            changes.members.push_back({members[index], before[index]});
        }
    }
}

} // namespace

speed_changes update_speeds(fleet& state, base::instant now, const speed::speed_rules& rules) {
    std::erase_if(state.slowdown_stated_at,
                  [&](const auto& each) { return !speed::is_stating(each.second, now, rules); });
    std::map<base::pool_id, std::vector<member*>> pools;
    for (auto& [id, one] : state.members) {
        pools[one.listed.pool].push_back(&one);
    }
    speed_changes changes;
    for (const auto& [pool, members] : pools) {
        update_pool_speeds(pool, members, state.slowdown_stated_at.count(pool) > 0, now, rules,
                           changes);
    }
    return changes;
}

namespace {

// The time that one more request takes at a member with this load, relative to other members.
double relative_time(const member& one, double load, double slots, base::instant now) {
    return one.speed.in_force ? (load + 1.0) * speed::time_factor(one.speed, now, {}) / slots
                              : load / slots;
}

} // namespace

member* least_loaded(const std::vector<member*>& among, const base::availability_zone& zone,
                     std::uint64_t number, base::instant now, const fleet_rules& rules) {
    struct rank {
        bool not_owed;
        bool queues;
        double load;
        bool elsewhere;
        std::uint64_t draw;
        auto operator<=>(const rank&) const = default;
    };
    member* best = nullptr;
    rank best_rank{};
    for (member* one : among) {
        const auto slots = static_cast<double>(std::max<std::int64_t>(one->listed.slots, 1));
        const auto load = static_cast<double>(estimated_load(*one, now, rules));
        const bool is_owed = one->limit.limit && one->owed_requests >= 1.0;
        const rank candidate{!is_owed, one->speed.in_force && load >= slots,
                             relative_time(*one, load, slots, now), one->listed.zone != zone,
                             base::combine_hashes(number, one->id_hash)};
        if (best == nullptr || candidate < best_rank) {
            best = one;
            best_rank = candidate;
        }
    }
    return best;
}

} // namespace camphorrail::fleet
