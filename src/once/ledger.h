#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"
#include "once/records.h"
#include "ports/platform.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

// Runs a call that may not be repeated at most once. One ledger serves one pool at one agent.
//
// A key is run by the one agent that owns it. An agent owns a key while its owner record, in the
// platform, says so and no other open record does; the key's claim is written to the platform
// before the call leaves, by a transaction that holds only while the owner record is unchanged.
// docs/design/at-most-once.md goes through the interleavings.
namespace camphorrail::once {

struct ledger_rules {
    // Time to live of the lease that an agent's `alive` key is under.
    base::micros lease = base::seconds(30);
    // How long an owner's `alive` key must be missing before the owner is declared dead.
    base::micros takeover_after = base::seconds(5);
    // How often the members are read, and how often while a handover is awaited.
    base::micros members_period = base::seconds(5);
    // Owners for each such period: a read grows with the pool, so a large pool is read less often.
    std::size_t owners_per_period = 10;
    base::micros handover_period = base::seconds(1);
    // The shortest time between two reads of the whole pool.
    base::micros pool_read_period = base::milliseconds(200);
    // How long after a failed call to the platform the next is tried.
    base::micros retry_after_failure = base::milliseconds(500);
    // How long a claim may wait for the platform before its order is refused.
    base::micros max_claim_wait = base::seconds(2);
    // Safety against clocks that run at different rates.
    base::micros clock_margin = base::seconds(1);
    // Bound on the difference between two VMs' wall clocks.
    std::int64_t wall_skew_ms = 5000;
    // How long a key's outcome is remembered.
    std::int64_t retention_ms = 3600LL * 1000;
    std::size_t keys_per_segment = 64;
    std::size_t segments_per_commit = 8;
    std::size_t max_recorded_body = 4096;
};

// Who should own the pool's keys by the configuration in force.
struct placement {
    std::vector<base::upstream_id> owners;
    base::milliseconds outage_grace{0};

    bool operator==(const placement&) const = default;
};

// The clocks as read when an event came in.
struct event_time {
    base::instant now;
    std::int64_t wall_ms = 0;
};

enum class key_phase {
    // Its claim is on the way to the platform; the call has not left.
    claiming,
    running,
    completed,
    // It may have run, and this agent can't tell how it ended.
    unknown,
    // It will not run; the journal still has to say so.
    released,
};

struct key_entry {
    key_phase phase = key_phase::claiming;
    std::string fingerprint;
    recorded_response response;
    std::int64_t claimed_at_ms = 0;
    base::instant claimed_at;
    base::instant deadline;
    // Attempts that get the answer when it is there.
    std::vector<base::attempt_id> waiters;
    // Own segment it is written to; none for what another agent or life wrote.
    std::optional<std::int64_t> segment;
};

enum class phase {
    // The owner record is not (or no longer) ours; nothing may run.
    joining,
    // The record is written; what others ran is not read yet.
    reading,
    active,
    // Another life of this agent has taken its place; this one runs nothing ever again.
    superseded,
    closing,
    closed,
};

enum class operation { none, read_members, read_pool, write_record, write_journal, close_other };

// An owner whose `alive` key is missing. One that was there again meanwhile has written another
// record; this process may have stood still and not seen it.
struct absence {
    // The nonce of its record; empty where it has none.
    std::string record;
    base::instant since{};
};

struct ledger {
    base::upstream_id self;
    base::pool_id pool;
    ledger_rules rules;
    placement configured;
    std::string nonce;
    std::int64_t nonces = 0;

    phase state = phase::joining;
    // Our owner record as last written, and the revision that fences our writes.
    owner_record own_record;
    std::int64_t fence_revision = 0;
    owner_record proposed_record;
    bool has_record = false;
    std::int64_t lease = 0;
    // The lease that our `alive` key was last written under.
    std::int64_t alive_lease = 0;
    // The lease that it is known to be under.
    std::int64_t confirmed_lease = 0;
    // When the last renewal of our lease that succeeded was sent.
    std::optional<base::instant> lease_renewed_at;
    // With a predecessor that may still run unrecorded, nothing runs before this.
    std::optional<base::instant> earliest_run;
    std::int64_t joined_wall_ms = 0;

    std::map<base::upstream_id, owner_record> other_records;
    std::map<base::upstream_id, std::int64_t> other_revisions;
    std::map<base::upstream_id, absence> missing_since;
    std::set<base::upstream_id> dead_owners;
    // Keys dated up to here may have run unrecorded at an agent that then stopped.
    std::int64_t suspect_until_ms = 0;

    std::unordered_map<base::idempotency_key, key_entry> keys;
    std::map<std::int64_t, std::vector<base::idempotency_key>> segments;
    std::map<std::int64_t, std::int64_t> segment_revisions;
    std::set<std::int64_t> dirty_segments;
    std::set<base::idempotency_key> pending_claims;
    // Keys of unknown outcome whose callers wait for the journal to be read once more.
    std::set<base::idempotency_key> outcome_queries;
    // What the transaction under way holds: segments, and the claims in them.
    std::set<std::int64_t> segments_in_flight;
    std::vector<base::idempotency_key> claims_in_flight;
    std::map<std::string, std::int64_t> expired_segments;
    std::unordered_map<base::attempt_id, base::instant> tombstones;

    operation pending_call = operation::none;
    // Since when every call to the platform has failed.
    std::optional<base::instant> platform_down_since;
    bool pool_read_needed = true;
    base::instant retry_at{};
    base::instant next_members_read{};
    base::instant next_pool_read{};
};

struct order {
    base::attempt_id attempt;
    base::idempotency_key key;
    std::string fingerprint;
    base::instant deadline;
};

// What the ledger asks its surroundings to do.
struct read_action {
    std::string prefix;
};
struct commit_action {
    ports::transaction change;
};
// The call may leave now, and must leave now or be given back by `on_failed`.
struct run_action {
    base::idempotency_key key;
    base::attempt_id attempt;
    std::int64_t fencing_number = 0;
};
struct response_action {
    base::attempt_id attempt;
    recorded_response response;
};
struct refuse_action {
    base::attempt_id attempt;
    base::code number;
    base::execution_state ran;
    base::milliseconds retry_after{0};
};
struct tombstoned_action {
    base::attempt_id attempt;
    base::execution_state ran;
};

using action = std::variant<read_action, commit_action, run_action, response_action, refuse_action,
                            tombstoned_action>;
using actions = std::vector<action>;

// A ledger that has not joined yet. The nonce differs for every start of a process.
ledger make_ledger(base::upstream_id self, base::pool_id pool, std::string nonce,
                   ledger_rules rules = {});

// The configuration says who owns the pool's keys.
actions set_placement(ledger& state, const placement& configured, const event_time& at);
// The agent's lease was granted, or renewed by a call sent at `sent`.
actions on_lease_renewed(ledger& state, std::int64_t lease, base::instant sent,
                         const event_time& at);
actions on_read(ledger& state, const base::result<ports::snapshot>& answer, const event_time& at);
actions on_committed(ledger& state, const base::result<ports::commit_result>& answer,
                     const event_time& at);
actions on_order(ledger& state, const order& request, const event_time& at);
// The upstream's whole answer is there.
actions on_completed(ledger& state, const base::idempotency_key& key, recorded_response response,
                     const event_time& at);
// The call failed; `ran` is not_run only where it never left.
actions on_failed(ledger& state, const base::idempotency_key& key, base::code number,
                  base::execution_state ran, const event_time& at);
// An entry calls an attempt off and wants the truth about it.
actions on_tombstone(ledger& state, const base::attempt_id& attempt,
                     const base::idempotency_key& key, const event_time& at);
// The attempt's caller has gone. What it started goes on, for a caller that asks again.
void on_client_disconnected(ledger& state, const base::attempt_id& attempt,
                            const base::idempotency_key& key);
// To be called about every 100 ms.
actions on_tick(ledger& state, const event_time& at);
// Stops taking orders; once nothing runs and all is recorded the state becomes closed.
actions close(ledger& state, const event_time& at);

// Parts shared between the ledger's files; not meant for callers.
namespace detail {

// Starts the platform call that is due, if none is under way.
void advance(ledger& state, const event_time& at, actions& out);
bool owned_by_other(const ledger& state, const base::idempotency_key& key);
bool may_have_run_unrecorded(const ledger& state, const base::idempotency_key& key);
// Whether no other agent can have taken our keys over by now.
bool ownership_certain(const ledger& state, base::instant now);
bool may_run_unrecorded(const ledger& state, const base::idempotency_key& key,
                        const event_time& at);
void mark_dirty(ledger& state, const base::idempotency_key& key, key_entry& entry);
// What the attempts waiting for a key are told.
struct refusal {
    base::code number;
    base::execution_state ran;
    base::milliseconds retry_after{0};
};
// Refuses all attempts that wait for a key. One told "not run" can't run any more either, should
// another copy of its order come late.
void refuse_waiters(ledger& state, key_entry& entry, const refusal& why, const event_time& at,
                    actions& out);
// Lets claims that are now written run, or gives them back where that came too late.
void run_claims(ledger& state, const std::vector<base::idempotency_key>& written,
                const event_time& at, actions& out);
// Decides about claims that can't be written now.
void resolve_pending_claims(ledger& state, const event_time& at, actions& out);
void release(ledger& state, const base::idempotency_key& key, key_entry& entry);
// Gives a completed key's answer to all attempts that wait for it.
void respond_to_waiters(key_entry& entry, actions& out);
// Answers those who asked for a key of unknown outcome, by what is known now.
void resolve_outcome_queries(ledger& state, const event_time& at, actions& out);

} // namespace detail

} // namespace camphorrail::once
