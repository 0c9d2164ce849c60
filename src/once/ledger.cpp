#include "once/ledger.h"

#include "once/ownership.h"
#include "once/timestamped_key.h"

#include <algorithm>

namespace camphorrail::once {

namespace {

constexpr base::milliseconds default_retry_after{1000};

} // namespace

ledger make_ledger(base::upstream_id self, base::pool_id pool, std::string nonce,
                   ledger_rules rules) {
    ledger created;
    created.self = std::move(self);
    created.pool = std::move(pool);
    created.nonce = std::move(nonce);
    created.rules = rules;
    return created;
}

actions set_placement(ledger& state, const placement& configured, const event_time& at) {
    actions out;
    state.configured = configured;
    detail::advance(state, at, out);
    return out;
}

actions on_lease_renewed(ledger& state, std::int64_t lease, base::instant sent,
                         const event_time& at) {
    actions out;
    state.lease = lease;
    state.lease_renewed_at = sent;
    detail::advance(state, at, out);
    return out;
}

actions on_tick(ledger& state, const event_time& at) {
    actions out;
    detail::resolve_pending_claims(state, at, out);
    detail::advance(state, at, out);
    return out;
}

actions close(ledger& state, const event_time& at) {
    actions out;
    if (state.state != phase::superseded && state.state != phase::closed) {
        state.state = state.has_record ? phase::closing : phase::closed;
    }
    detail::advance(state, at, out);
    return out;
}

namespace detail {

bool owned_by_other(const ledger& state, const base::idempotency_key& key) {
    return std::any_of(
        state.other_records.begin(), state.other_records.end(), [&key](const auto& other) {
            return !other.second.closed && owns(other.first, key, other.second.owners);
        });
}

bool may_have_run_unrecorded(const ledger& state, const base::idempotency_key& key) {
    // Twice the skew, because the key's timestamp was checked against the clock of another VM, and
    // this limit was computed with the clock of another VM too.
    const auto created = creation_time_ms(key);
    return created && *created <= state.suspect_until_ms + 2 * state.rules.wall_skew_ms;
}

bool ownership_certain(const ledger& state, base::instant now) {
    // Another agent declares this one dead only after the lease has expired, which the platform
    // counts from no earlier than the time the renewal was sent, and after the `alive` key has been
    // missing for the grace time as well. A process that resumes from a pause reads the same clock
    // and finds its time expired.
    //
    // A newly granted lease proves nothing about the owner record until the `alive` key is known to
    // be attached to it, because the record may have been closed while the old lease was expired.
    // Ownership is also uncertain while it is unknown whether a proposed record, which may give up
    // keys, took effect.
    if (!state.lease_renewed_at || state.lease != state.confirmed_lease ||
        state.state != phase::active) {
        return false;
    }
    const base::micros grace = state.own_record.outage_grace;
    return now + state.rules.clock_margin < *state.lease_renewed_at + state.rules.lease + grace;
}

bool may_run_unrecorded(const ledger& state, const base::idempotency_key& key,
                        const event_time& at) {
    const auto created = creation_time_ms(key);
    // Only a key created after this incarnation began can't have run in an earlier one. A key with
    // a timestamp in the future is rejected, as it could pass this check in a later incarnation
    // too.
    return created && state.own_record.outage_grace.count() > 0 &&
           *created > state.joined_wall_ms + 2 * state.rules.wall_skew_ms &&
           *created <= at.wall_ms + state.rules.wall_skew_ms && ownership_certain(state, at.now);
}

void mark_dirty(ledger& state, const base::idempotency_key& key, key_entry& entry) {
    if (!entry.segment) {
        std::int64_t last = state.segments.empty() ? 0 : state.segments.rbegin()->first;
        if (state.segments[last].size() >= state.rules.keys_per_segment) {
            ++last;
        }
        state.segments[last].push_back(key);
        entry.segment = last;
    }
    state.dirty_segments.insert(*entry.segment);
}

void refuse_waiters(ledger& state, key_entry& entry, const refusal& reason, const event_time& at,
                    actions& out) {
    for (const auto& attempt : entry.waiters) {
        if (reason.ran == base::execution_state::not_run) {
            state.tombstones[attempt] = at.now;
        }
        out.push_back(refuse_action{attempt, reason.number, reason.ran, reason.retry_after});
    }
    entry.waiters.clear();
}

void resolve_outcome_queries(ledger& state, const event_time& at, actions& out) {
    const auto queries = std::move(state.outcome_queries);
    state.outcome_queries.clear();
    for (const auto& key : queries) {
        const auto found = state.keys.find(key);
        if (found == state.keys.end()) {
            continue;
        }
        key_entry& entry = found->second;
        if (entry.phase == key_phase::completed) {
            respond_to_waiters(entry, out);
        } else if (entry.phase == key_phase::unknown || entry.phase == key_phase::released) {
            refuse_waiters(state, entry,
                           {base::code::once_outcome_unknown, base::execution_state::unknown,
                            default_retry_after},
                           at, out);
        }
    }
}

void respond_to_waiters(key_entry& entry, actions& out) {
    for (const auto& attempt : entry.waiters) {
        if (entry.response.body_recorded) {
            out.push_back(response_action{attempt, entry.response});
        } else {
            out.push_back(refuse_action{attempt, base::code::once_answer_not_kept,
                                        base::execution_state::completed, base::milliseconds{0}});
        }
    }
    entry.waiters.clear();
}

void release(ledger& state, const base::idempotency_key& key, key_entry& entry) {
    entry.phase = key_phase::released;
    state.pending_claims.erase(key);
    mark_dirty(state, key, entry);
}

} // namespace detail

} // namespace camphorrail::once
