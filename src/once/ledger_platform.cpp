#include "once/ledger.h"
#include "once/ledger_journal.h"
#include "once/ownership.h"

#include <algorithm>

namespace camphorrail::once {

namespace {

constexpr base::milliseconds default_retry_after{1000};

// The members of the pool, parsed from one read.
struct pool_state {
    std::map<base::upstream_id, owner_record> records;
    std::map<base::upstream_id, base::revision> revisions;
    std::set<base::upstream_id> alive;
    bool with_journal = false;
};

pool_state read_members(const ledger& state, const ports::snapshot& answer) {
    pool_state read;
    const std::string prefix = members_prefix(state.pool);
    for (const auto& item : answer.values) {
        if (!detail::has_prefix(item.key, prefix)) {
            continue;
        }
        const std::string rest = item.key.substr(prefix.size());
        const base::upstream_id agent{rest.substr(0, rest.find('/'))};
        if (item.key == alive_key(state.pool, agent)) {
            read.alive.insert(agent);
        } else if (auto record = parse_owner(item.value); record.has_value()) {
            read.records[agent] = record.value();
            read.revisions[agent] = item.mod_revision;
        }
    }
    return read;
}

// The latest timestamp of keys that may have run unrecorded on the agent of this record.
std::int64_t unrecorded_until(const owner_record& record) {
    const bool unclean_end = record.closed && !record.clean && record.outage_grace.count() > 0;
    return std::max(record.unrecorded_until_ms, unclean_end ? record.closed_at_ms : 0);
}

// The time since which an owner has been missing without interruption.
base::instant missing_since_time(ledger& state, const base::upstream_id& owner,
                                 const std::string& record, const event_time& at) {
    auto& known = state.missing_since.try_emplace(owner, absence{record, at.now}).first->second;
    if (known.record != record) {
        known = {record, at.now};
    }
    return known.since;
}

void record_missing(ledger& state, const pool_state& read, const event_time& at) {
    for (const auto& owner : state.configured.owners) {
        const auto record = read.records.find(owner);
        const bool has_open_record = record != read.records.end() && !record->second.closed;
        if (owner == state.self || (has_open_record && read.alive.count(owner) != 0)) {
            state.missing_since.erase(owner);
            state.dead_owners.erase(owner);
        } else if (record != read.records.end() && record->second.closed) {
            state.dead_owners.insert(owner);
        } else {
            const std::string nonce =
                record == read.records.end() ? std::string() : record->second.nonce;
            const auto since = missing_since_time(state, owner, nonce, at);
            if (!has_open_record && at.now >= since + state.rules.takeover_after) {
                state.dead_owners.insert(owner);
            }
        }
    }
}

std::vector<base::upstream_id> desired_owners(const ledger& state) {
    std::vector<base::upstream_id> owners;
    for (const auto& owner : state.configured.owners) {
        if (state.dead_owners.count(owner) == 0) {
            owners.push_back(owner);
        }
    }
    return owners;
}

std::optional<base::upstream_id> overdue_owner(const ledger& state, base::instant now) {
    for (const auto& [owner, missing] : state.missing_since) {
        const auto record = state.other_records.find(owner);
        if (record == state.other_records.end() || record->second.closed) {
            continue;
        }
        // Until its grace time is over, the owner may still run timestamped keys, relying on not
        // being replaced.
        const base::micros grace = record->second.outage_grace;
        if (now >= missing.since + state.rules.takeover_after + grace) {
            return owner;
        }
    }
    return std::nullopt;
}

bool is_idle(const ledger& state) {
    return std::none_of(state.keys.begin(), state.keys.end(), [](const auto& item) {
        return item.second.phase == key_phase::running || item.second.phase == key_phase::claiming;
    });
}

void start_read(ledger& state, operation kind, const std::string& prefix, actions& out) {
    state.pending_call = kind;
    out.push_back(read_action{prefix});
}

void start_journal_write(ledger& state, actions& out) {
    ports::transaction change;
    change.preconditions.push_back({owner_key(state.pool, state.self), state.fence_revision});
    detail::add_segments(state, change, state.rules.segments_per_commit);
    detail::add_expired(state, change);
    state.pending_call = operation::write_journal;
    out.push_back(commit_action{std::move(change)});
}

// Proposes an owner record. From now until the result is known, nothing may run under the old
// record: the new one may take effect at any time, even if the response is lost, and other agents
// act on it.
void start_record_write(ledger& state, bool closing, const event_time& at, actions& out) {
    owner_record& next = state.proposed_record;
    next.agent = state.self;
    next.nonce = state.nonce + "." + std::to_string(++state.nonces);
    next.owners = desired_owners(state);
    next.outage_grace = state.configured.outage_grace;
    next.closed = closing;
    next.clean = closing;
    next.closed_at_ms = closing ? at.wall_ms : 0;
    const std::string store_key = owner_key(state.pool, state.self);
    const std::string alive = alive_key(state.pool, state.self);
    ports::transaction change;
    change.preconditions.push_back({store_key, state.fence_revision});
    change.writes.push_back({store_key, to_text(next)});
    change.writes.push_back({alive, state.nonce, closing, closing ? 0 : state.lease});
    if (state.has_record) {
        // Calls that ran unrecorded must be recorded before another agent can own their keys.
        detail::add_segments(state, change, state.dirty_segments.size());
    }
    state.alive_lease = state.lease;
    state.state = closing ? phase::closing : phase::joining;
    state.pending_call = operation::write_record;
    out.push_back(commit_action{std::move(change)});
}

void start_closing_other(ledger& state, const base::upstream_id& other, const event_time& at,
                         actions& out) {
    owner_record closed = state.other_records.at(other);
    closed.closed = true;
    closed.clean = false;
    closed.closed_at_ms = at.wall_ms;
    ports::transaction change;
    change.preconditions.push_back({owner_key(state.pool, other), state.other_revisions.at(other)});
    change.preconditions.push_back({alive_key(state.pool, other), 0});
    change.writes.push_back({owner_key(state.pool, other), to_text(closed)});
    state.pending_call = operation::close_other;
    out.push_back(commit_action{std::move(change)});
}

void record_predecessor(ledger& state, const owner_record& prior, const event_time& at) {
    state.proposed_record.unrecorded_until_ms = unrecorded_until(prior);
    if (prior.closed || prior.outage_grace.count() == 0) {
        return;
    }
    // The previous incarnation may still be running, disconnected only from the platform, and may
    // run timestamped keys until its grace time is over. This incarnation waits for that and treats
    // all such keys as possibly run.
    const base::micros wait = state.rules.lease + prior.outage_grace + state.rules.clock_margin;
    state.earliest_run = at.now + wait;
    state.proposed_record.unrecorded_until_ms =
        at.wall_ms + std::chrono::duration_cast<base::milliseconds>(wait).count();
    state.suspect_until_ms = state.proposed_record.unrecorded_until_ms;
}

// Joins the pool after a read that shows the previous holder of the owner record.
void join(ledger& state, const pool_state& read, const event_time& at, actions& out) {
    const auto own = read.records.find(state.self);
    state.fence_revision =
        own == read.records.end() ? base::revision{} : read.revisions.at(state.self);
    const bool holds_record = own != read.records.end() && state.has_record &&
                              own->second.nonce == state.own_record.nonce && !own->second.closed;
    if (!holds_record) {
        const std::int64_t last = own == read.records.end() ? 0 : own->second.incarnation.value;
        // Another process with the same name was started later and holds the record, so this
        // process has been replaced.
        const bool replaced = state.has_record && own != read.records.end() &&
                              last > state.own_record.incarnation.value;
        if (replaced) {
            state.state = phase::superseded;
            return;
        }
        if (own != read.records.end()) {
            record_predecessor(state, own->second, at);
        }
        detail::begin_incarnation(state, {last + 1});
        state.joined_wall_ms = std::max(at.wall_ms, state.proposed_record.unrecorded_until_ms);
    }
    state.proposed_record.incarnation = state.own_record.incarnation;
    start_record_write(state, false, at, out);
}

bool proposal_took_effect(const ledger& state, const pool_state& read) {
    const auto own = read.records.find(state.self);
    return own != read.records.end() && !state.proposed_record.nonce.empty() &&
           own->second.nonce == state.proposed_record.nonce && own->second == state.proposed_record;
}

bool record_unchanged(const ledger& state, const pool_state& read) {
    const auto own = read.records.find(state.self);
    return state.has_record && own != read.records.end() && own->second == state.own_record &&
           read.revisions.at(state.self) == state.fence_revision;
}

void adopt_proposed_record(ledger& state, base::revision revision) {
    state.own_record = state.proposed_record;
    state.fence_revision = revision;
    state.has_record = true;
    state.confirmed_lease = state.alive_lease;
    state.state = state.own_record.closed ? phase::closed : phase::reading;
    state.pool_read_needed = true;
}

// Drops pending claims for keys that have moved to another owner.
void drop_moved_claims(ledger& state, const event_time& at, actions& out) {
    const auto claims = state.pending_claims;
    for (const auto& key : claims) {
        key_entry& entry = state.keys.at(key);
        if (owns(state.self, key, state.own_record.owners) && !detail::owned_by_other(state, key)) {
            detail::mark_dirty(state, key, entry);
            continue;
        }
        detail::release(state, key, entry);
        detail::refuse_waiters(
            state, entry,
            {base::code::once_handover, base::execution_state::unknown, default_retry_after}, at,
            out);
    }
}

// A read of the members alone must not change what may run. An owner that gave up keys may have run
// them before, which only the journal read at the same revision shows.
void apply_members(ledger& state, const pool_state& read, const event_time& at) {
    auto other_records = read.records;
    other_records.erase(state.self);
    state.pool_read_needed = state.pool_read_needed || other_records != state.other_records;
    record_missing(state, read, at);
}

bool handover_pending(const ledger& state) {
    return std::any_of(
        state.other_records.begin(), state.other_records.end(), [&state](const auto& other) {
            return !other.second.closed && other.second.owners != state.own_record.owners;
        });
}

void apply_pool(ledger& state, const ports::snapshot& answer, const pool_state& read,
                const event_time& at, actions& out) {
    record_missing(state, read, at);
    state.other_records = read.records;
    state.other_records.erase(state.self);
    state.other_revisions = read.revisions;
    for (const auto& [agent, record] : read.records) {
        state.suspect_until_ms = std::max(state.suspect_until_ms, unrecorded_until(record));
    }
    detail::merge_journal(state, detail::read_journal(state, answer, at));
    detail::resolve_outcome_queries(state, at, out);
    state.pool_read_needed = false;
    if (handover_pending(state)) {
        state.next_members_read =
            std::min(state.next_members_read, at.now + state.rules.handover_period);
    }
    if (state.state == phase::reading) {
        state.state = phase::active;
        drop_moved_claims(state, at, out);
    }
}

bool record_outdated(const ledger& state) {
    return desired_owners(state) != state.own_record.owners ||
           state.configured.outage_grace != state.own_record.outage_grace ||
           state.lease != state.alive_lease;
}

void record_platform_result(ledger& state, bool reached, const event_time& at) {
    if (reached) {
        state.platform_down_since.reset();
    } else {
        state.platform_down_since = state.platform_down_since.value_or(at.now);
        state.retry_at = at.now + state.rules.retry_after_failure;
        // An absence counts only if it was observed without a gap.
        state.missing_since.clear();
    }
}

void advance_active(ledger& state, const event_time& at, actions& out) {
    if (record_outdated(state)) {
        state.proposed_record.incarnation = state.own_record.incarnation;
        start_record_write(state, false, at, out);
        return;
    }
    if (at.now >= state.next_members_read) {
        const auto periods = std::max<std::size_t>(1, state.configured.owners.size() /
                                                          state.rules.owners_per_period);
        const auto period = handover_pending(state)
                                ? state.rules.handover_period
                                : state.rules.members_period * static_cast<int>(periods);
        state.next_members_read = at.now + period;
        detail::drop_expired_keys(state, at);
        start_read(state, operation::read_members, members_prefix(state.pool), out);
        return;
    }
    if (state.pool_read_needed && at.now >= state.next_pool_read) {
        state.next_pool_read = at.now + state.rules.pool_read_period;
        start_read(state, operation::read_pool, pool_prefix(state.pool), out);
        return;
    }
    if (const auto other = overdue_owner(state, at.now)) {
        start_closing_other(state, *other, at, out);
        return;
    }
    if (!state.dirty_segments.empty()) {
        start_journal_write(state, out);
    }
}

void advance_closing(ledger& state, const event_time& at, actions& out) {
    if (state.pool_read_needed && at.now >= state.next_pool_read) {
        state.next_pool_read = at.now + state.rules.pool_read_period;
        start_read(state, operation::read_pool, pool_prefix(state.pool), out);
    } else if (!state.pending_claims.empty()) {
        start_journal_write(state, out);
    } else if (is_idle(state)) {
        state.proposed_record.incarnation = state.own_record.incarnation;
        start_record_write(state, true, at, out);
    }
}

} // namespace

actions on_read(ledger& state, const base::result<ports::snapshot>& answer, const event_time& at) {
    actions out;
    const operation kind = state.pending_call;
    state.pending_call = operation::none;
    record_platform_result(state, answer.has_value(), at);
    if (!answer.has_value()) {
        detail::resolve_pending_claims(state, at, out);
        detail::resolve_outcome_queries(state, at, out);
        return out;
    }
    const pool_state read = read_members(state, answer.value());
    const bool undecided = state.state == phase::joining || state.state == phase::closing;
    if (undecided && proposal_took_effect(state, read)) {
        adopt_proposed_record(state, read.revisions.at(state.self));
    }
    if (state.state == phase::closing) {
        state.state = record_unchanged(state, read) ? phase::closing : phase::closed;
        state.pool_read_needed = false;
    } else if (state.state == phase::joining) {
        record_missing(state, read, at);
        join(state, read, at, out);
    } else if (state.state == phase::closed) {
        return out;
    } else if (!record_unchanged(state, read)) {
        state.state = phase::joining;
        state.pool_read_needed = true;
    } else if (kind == operation::read_pool) {
        apply_pool(state, answer.value(), read, at, out);
    } else {
        apply_members(state, read, at);
    }
    detail::advance(state, at, out);
    return out;
}

actions on_committed(ledger& state, const base::result<ports::commit_result>& answer,
                     const event_time& at) {
    actions out;
    const operation kind = state.pending_call;
    state.pending_call = operation::none;
    record_platform_result(state, answer.has_value(), at);
    const bool applied = answer.has_value() && answer.value().applied;
    if (kind == operation::close_other) {
        state.pool_read_needed = true;
    } else if (!applied) {
        detail::requeue_segments_in_flight(state);
        state.pool_read_needed = true;
        // The result of a record write must be known before anything else is done. A journal write
        // only has to be read back, because each journal write contains the full content of its
        // segments.
        if (kind == operation::write_journal && state.state == phase::active &&
            answer.has_value()) {
            state.state = phase::reading;
        }
    } else {
        detail::mark_segments_written(state, answer.value().revision);
        const auto claims = std::move(state.claims_in_flight);
        state.claims_in_flight.clear();
        if (kind == operation::write_record) {
            adopt_proposed_record(state, answer.value().revision);
        } else {
            detail::run_claims(state, claims, at, out);
        }
    }
    detail::resolve_pending_claims(state, at, out);
    detail::advance(state, at, out);
    return out;
}

namespace detail {

void advance(ledger& state, const event_time& at, actions& out) {
    const bool terminated = state.state == phase::superseded || state.state == phase::closed;
    if (state.pending_call != operation::none || terminated || at.now < state.retry_at ||
        state.lease == 0 || state.configured.owners.empty()) {
        return;
    }
    switch (state.state) {
    case phase::joining:
    case phase::reading:
        start_read(state, operation::read_pool, pool_prefix(state.pool), out);
        break;
    case phase::active:
        advance_active(state, at, out);
        break;
    case phase::closing:
        advance_closing(state, at, out);
        break;
    case phase::superseded:
    case phase::closed:
        break;
    }
}

} // namespace detail

} // namespace camphorrail::once
