#include "once/ledger.h"
#include "once/ownership.h"

#include <algorithm>

namespace camphorrail::once {

namespace {

constexpr base::milliseconds default_retry_after{1000};
constexpr base::micros tombstone_ttl = base::seconds(600);

void refuse(actions& out, const order& request, base::code number, base::execution_state ran,
            base::milliseconds retry_after = base::milliseconds{0}) {
    out.push_back(refuse_action{request.attempt, number, ran, retry_after});
}

// Refuses an attempt permanently, so that a delayed copy of its order can't run either.
void refuse_permanently(ledger& state, actions& out, const order& request, base::code number,
                        const event_time& at) {
    state.tombstones[request.attempt] = at.now;
    refuse(out, request, number, base::execution_state::not_run);
}

// Handles an order for a key that this agent already knows.
void handle_known_key(ledger& state, key_entry& entry, const order& request, const event_time& at,
                      actions& out) {
    if (entry.fingerprint != request.fingerprint) {
        refuse_permanently(state, out, request, base::code::key_reused_for_other_request, at);
        return;
    }
    entry.waiters.push_back(request.attempt);
    if (entry.phase == key_phase::completed) {
        detail::respond_to_waiters(entry, out);
    } else if (entry.phase == key_phase::unknown) {
        // The agent that ran the key may have recorded the outcome since the last read.
        state.outcome_queries.insert(request.key);
        state.pool_read_needed = true;
        if (state.platform_down_since) {
            detail::resolve_outcome_queries(state, at, out);
        }
    }
}

// Whether this agent may accept an order for a key that it does not know; refuses the order
// otherwise.
bool accepts_new_key(const ledger& state, const order& request, const event_time& at,
                     actions& out) {
    if (state.state != phase::active || (state.earliest_run && at.now < *state.earliest_run)) {
        // The records of earlier owners and incarnations have not been read yet, so the key may
        // have run.
        refuse(out, request, base::code::once_handover, base::execution_state::unknown,
               default_retry_after);
        return false;
    }
    if (!owns(state.self, request.key, state.own_record.owners)) {
        refuse(out, request, base::code::once_not_owner, base::execution_state::unknown,
               default_retry_after);
        return false;
    }
    if (detail::owned_by_other(state, request.key)) {
        refuse(out, request, base::code::once_handover, base::execution_state::unknown,
               default_retry_after);
        return false;
    }
    if (detail::may_have_run_unrecorded(state, request.key)) {
        refuse(out, request, base::code::once_outcome_unknown, base::execution_state::unknown);
        return false;
    }
    return true;
}

} // namespace

actions on_order(ledger& state, const order& request, const event_time& at) {
    actions out;
    // An order that arrives after its cancellation must not run, because its entry was told that it
    // would not. Whether an earlier copy ran before the cancellation was already reported.
    if (state.tombstones.count(request.attempt) != 0) {
        refuse(out, request, base::code::once_tombstoned, base::execution_state::unknown);
        return out;
    }
    const auto found = state.keys.find(request.key);
    if (found != state.keys.end() && found->second.phase != key_phase::released) {
        handle_known_key(state, found->second, request, at, out);
        detail::advance(state, at, out);
        return out;
    }
    if (!accepts_new_key(state, request, at, out)) {
        return out;
    }
    key_entry& entry = state.keys[request.key];
    entry.phase = key_phase::claiming;
    entry.fingerprint = request.fingerprint;
    entry.claimed_at = at.now;
    entry.claimed_at_ms = at.wall_ms;
    entry.deadline = request.deadline;
    entry.waiters = {request.attempt};
    state.pending_claims.insert(request.key);
    detail::mark_dirty(state, request.key, entry);
    detail::resolve_pending_claims(state, at, out);
    detail::advance(state, at, out);
    return out;
}

actions on_completed(ledger& state, const base::idempotency_key& key, recorded_response response,
                     const event_time& at) {
    actions out;
    const auto found = state.keys.find(key);
    if (found == state.keys.end()) {
        return out;
    }
    key_entry& entry = found->second;
    state.pending_claims.erase(key);
    entry.phase = key_phase::completed;
    entry.response = std::move(response);
    detail::respond_to_waiters(entry, out);
    detail::mark_dirty(state, key, entry);
    detail::advance(state, at, out);
    return out;
}

actions on_failed(ledger& state, const base::idempotency_key& key, base::code number,
                  base::execution_state ran, const event_time& at) {
    actions out;
    const auto found = state.keys.find(key);
    if (found == state.keys.end()) {
        return out;
    }
    key_entry& entry = found->second;
    if (ran == base::execution_state::not_run) {
        detail::release(state, key, entry);
        detail::refuse_waiters(
            state, entry, {number, base::execution_state::not_run, default_retry_after}, at, out);
    } else {
        entry.phase = key_phase::unknown;
        detail::refuse_waiters(
            state, entry,
            {base::code::once_outcome_unknown, base::execution_state::unknown, default_retry_after},
            at, out);
    }
    detail::advance(state, at, out);
    return out;
}

actions on_tombstone(ledger& state, const base::attempt_id& attempt,
                     const base::idempotency_key& key, const event_time& at) {
    actions out;
    state.tombstones[attempt] = at.now;
    const auto found = state.keys.find(key);
    const bool known = found != state.keys.end() && found->second.phase != key_phase::released;
    if (!known) {
        // The key has not run here. Only its owner can be certain that it has not run elsewhere.
        const bool certain =
            state.state == phase::active && owns(state.self, key, state.own_record.owners) &&
            !detail::owned_by_other(state, key) && !detail::may_have_run_unrecorded(state, key) &&
            detail::ownership_certain(state, at.now);
        out.push_back(tombstoned_action{attempt, certain ? base::execution_state::not_run
                                                         : base::execution_state::unknown});
        return out;
    }
    key_entry& entry = found->second;
    std::erase(entry.waiters, attempt);
    if (entry.phase == key_phase::claiming && entry.waiters.empty()) {
        detail::release(state, key, entry);
        out.push_back(tombstoned_action{attempt, detail::ownership_certain(state, at.now)
                                                     ? base::execution_state::not_run
                                                     : base::execution_state::unknown});
    } else {
        const bool completed = entry.phase == key_phase::completed;
        out.push_back(tombstoned_action{attempt, completed ? base::execution_state::completed
                                                           : base::execution_state::unknown});
    }
    detail::advance(state, at, out);
    return out;
}

void on_client_disconnected(ledger& state, const base::attempt_id& attempt,
                            const base::idempotency_key& key) {
    const auto found = state.keys.find(key);
    if (found != state.keys.end()) {
        std::erase(found->second.waiters, attempt);
    }
}

namespace detail {

namespace {

void run(ledger& state, const base::idempotency_key& key, key_entry& entry, actions& out) {
    entry.phase = key_phase::running;
    state.pending_claims.erase(key);
    const auto attempt = entry.waiters.empty() ? base::attempt_id{} : entry.waiters.front();
    out.push_back(run_action{key, attempt, base::fencing_token(state.fence_revision)});
}

} // namespace

void run_claims(ledger& state, const std::vector<base::idempotency_key>& written,
                const event_time& at, actions& out) {
    for (const auto& key : written) {
        const auto found = state.keys.find(key);
        if (found == state.keys.end() || found->second.phase != key_phase::claiming) {
            continue;
        }
        key_entry& entry = found->second;
        // The process may have been paused since the claim was recorded. The client has already
        // received a timeout, so the call must not be sent.
        if (at.now >= entry.deadline) {
            release(state, key, entry);
            refuse_waiters(
                state, entry,
                {base::code::timed_out, base::execution_state::not_run, default_retry_after}, at,
                out);
            continue;
        }
        run(state, key, entry, out);
    }
}

void resolve_pending_claims(ledger& state, const event_time& at, actions& out) {
    // A single lost response is not treated as an outage, because a retry may succeed in time. In a
    // lasting outage, waiting would only delay the response to the client.
    const bool known_outage = state.platform_down_since &&
                              at.now >= *state.platform_down_since + state.rules.max_claim_wait;
    const auto claims = state.pending_claims;
    for (const auto& key : claims) {
        key_entry& entry = state.keys.at(key);
        const bool waited =
            at.now >= entry.claimed_at + state.rules.max_claim_wait || at.now >= entry.deadline;
        if (!waited && !known_outage) {
            continue;
        }
        if (state.state == phase::active && at.now < entry.deadline &&
            may_run_unrecorded(state, key, at)) {
            run(state, key, entry, out);
            continue;
        }
        release(state, key, entry);
        // This attempt has not run and will not run. That the key has not run elsewhere is certain
        // only as long as no other agent can have taken it over.
        const auto ran = ownership_certain(state, at.now) ? base::execution_state::not_run
                                                          : base::execution_state::unknown;
        refuse_waiters(state, entry, {base::code::once_cannot_record, ran, default_retry_after}, at,
                       out);
    }
    std::erase_if(state.tombstones,
                  [&at](const auto& item) { return at.now > item.second + tombstone_ttl; });
}

} // namespace detail

} // namespace camphorrail::once
