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

// Executes calls that must not be repeated at most once. One ledger serves one pool on one agent.
//
// A key is executed only by the agent that owns it. An agent owns a key while its owner record in
// the platform's store says so and no other open record does. The claim for the key is written to
// the store before the call is sent, by a transaction that applies only if the owner record is
// unchanged. docs/design/at-most-once.md discusses the interleavings.
namespace camphorrail::once {

struct ledger_rules {
    // The time to live of the lease attached to an agent's `alive` key.
    base::micros lease = base::seconds(30);
    // How long an owner's `alive` key must be missing before the owner is declared dead.
    base::micros takeover_after = base::seconds(5);
    // The interval between reads of the members, normally and while a handover is pending.
    base::micros members_period = base::seconds(5);
    // The number of owners per period. A read grows with the pool, so larger pools are read less
    // often.
    std::size_t owners_per_period = 10;
    base::micros handover_period = base::seconds(1);
    // The minimum time between two reads of the whole pool.
    base::micros pool_read_period = base::milliseconds(200);
    // The delay after a failed call to the platform before the next one.
    base::micros retry_after_failure = base::milliseconds(500);
    // How long a claim may wait for the platform before its order is refused.
    base::micros max_claim_wait = base::seconds(2);
    // A safety margin for clocks that run at different rates.
    base::micros clock_margin = base::seconds(1);
    // The maximum difference between the wall clocks of two VMs.
    std::int64_t wall_skew_ms = 5000;
    // How long the outcome of a key is remembered.
    std::int64_t retention_ms = 3600LL * 1000;
    std::size_t keys_per_segment = 64;
    std::size_t segments_per_commit = 8;
    std::size_t max_recorded_body = 4096;
};

// The owners of the pool's keys according to the active configuration.
struct placement {
    std::vector<base::upstream_id> owners;
    base::milliseconds outage_grace{0};

    bool operator==(const placement&) const = default;
};

// The clocks as read when an event arrived.
struct event_time {
    base::instant now;
    std::int64_t wall_ms = 0;
};

enum class key_phase {
    // The claim is being written to the platform; the call has not been sent.
    claiming,
    running,
    completed,
    // The call may have run, and its outcome is unknown to this agent.
    unknown,
    // The call will not run, which has yet to be recorded in the journal.
    released,
};

struct key_entry {
    key_phase phase = key_phase::claiming;
    std::string fingerprint;
    recorded_response response;
    std::int64_t claimed_at_ms = 0;
    base::instant claimed_at;
    base::instant deadline;
    // The attempts that receive the response once it is available.
    std::vector<base::attempt_id> waiters;
    // The agent's own segment that holds this key; empty for keys recorded by another agent or
    // incarnation.
    std::optional<std::int64_t> segment;
};

enum class phase {
    // This agent does not hold the owner record, so nothing may run.
    joining,
    // The owner record is written, but the journals of other agents have not been read yet.
    reading,
    active,
    // A newer incarnation of this agent has replaced this one, which never runs anything again.
    superseded,
    closing,
    closed,
};

enum class operation { none, read_members, read_pool, write_record, write_journal, close_other };

// The absence of an owner's `alive` key. An owner that returned in between has written another
// owner record, which a paused process may not have seen.
struct absence {
    // The nonce of the owner's record; empty if there is none.
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
    // This agent's owner record as last written, and its revision, which fences this agent's
    // writes.
    owner_record own_record;
    base::revision fence_revision;
    owner_record proposed_record;
    bool has_record = false;
    std::int64_t lease = 0;
    // The lease that the last write attached to the `alive` key.
    std::int64_t alive_lease = 0;
    // The lease that is known to be attached to the `alive` key.
    std::int64_t confirmed_lease = 0;
    // When the last successful renewal of the lease was sent.
    std::optional<base::instant> lease_renewed_at;
    // Nothing runs before this time if a previous incarnation may still run calls without recording
    // them.
    std::optional<base::instant> earliest_run;
    std::int64_t joined_wall_ms = 0;

    std::map<base::upstream_id, owner_record> other_records;
    std::map<base::upstream_id, base::revision> other_revisions;
    std::map<base::upstream_id, absence> missing_since;
    std::set<base::upstream_id> dead_owners;
    // Keys with timestamps up to this time may have run unrecorded on an agent that has stopped.
    std::int64_t suspect_until_ms = 0;

    std::unordered_map<base::idempotency_key, key_entry> keys;
    std::map<std::int64_t, std::vector<base::idempotency_key>> segments;
    std::map<std::int64_t, base::revision> segment_revisions;
    std::set<std::int64_t> dirty_segments;
    std::set<base::idempotency_key> pending_claims;
    // Keys of unknown outcome whose clients wait for another read of the journal.
    std::set<base::idempotency_key> outcome_queries;
    // The segments in the transaction in flight, and the claims in them.
    std::set<std::int64_t> segments_in_flight;
    std::vector<base::idempotency_key> claims_in_flight;
    std::map<std::string, base::revision> expired_segments;
    std::unordered_map<base::attempt_id, base::instant> tombstones;

    operation pending_call = operation::none;
    // The start of the current outage: every call to the platform has failed since then.
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

// The actions that the ledger requests from the code that embeds it.
struct read_action {
    std::string prefix;
};
struct commit_action {
    ports::transaction change;
};
// The call must be sent immediately, or returned to the ledger with `on_failed`.
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

// Creates a ledger that has not joined its pool yet. The nonce must differ for every start of a
// process.
ledger make_ledger(base::upstream_id self, base::pool_id pool, std::string nonce,
                   ledger_rules rules = {});

// Sets the owners of the pool's keys according to the configuration.
actions set_placement(ledger& state, const placement& configured, const event_time& at);
// Records that the agent's lease was granted, or renewed by a call sent at `sent`.
actions on_lease_renewed(ledger& state, std::int64_t lease, base::instant sent,
                         const event_time& at);
actions on_read(ledger& state, const base::result<ports::snapshot>& answer, const event_time& at);
actions on_committed(ledger& state, const base::result<ports::commit_result>& answer,
                     const event_time& at);
actions on_order(ledger& state, const order& request, const event_time& at);
// Handles the complete response of the upstream.
actions on_completed(ledger& state, const base::idempotency_key& key, recorded_response response,
                     const event_time& at);
// Handles a failed call. `ran` may be not_run only if the call was never sent.
actions on_failed(ledger& state, const base::idempotency_key& key, base::code number,
                  base::execution_state ran, const event_time& at);
// Handles an entry's request to cancel an attempt and report whether it ran.
actions on_tombstone(ledger& state, const base::attempt_id& attempt,
                     const base::idempotency_key& key, const event_time& at);
// Handles the disconnection of an attempt's client. The call continues, so that a retry of the
// client can receive its response.
void on_client_disconnected(ledger& state, const base::attempt_id& attempt,
                            const base::idempotency_key& key);
// To be called about every 100 ms.
actions on_tick(ledger& state, const event_time& at);
// Stops accepting orders. The state becomes closed once no call is running and every outcome is
// recorded.
actions close(ledger& state, const event_time& at);

// Functions shared between the ledger's source files; not part of the interface.
namespace detail {

// Starts the next platform call if one is due and none is in flight.
void advance(ledger& state, const event_time& at, actions& out);
bool owned_by_other(const ledger& state, const base::idempotency_key& key);
bool may_have_run_unrecorded(const ledger& state, const base::idempotency_key& key);
// Whether no other agent can have taken over this agent's keys by now.
bool ownership_certain(const ledger& state, base::instant now);
bool may_run_unrecorded(const ledger& state, const base::idempotency_key& key,
                        const event_time& at);
void mark_dirty(ledger& state, const base::idempotency_key& key, key_entry& entry);
// The response to the attempts that wait for a key.
struct refusal {
    base::code number;
    base::execution_state ran;
    base::milliseconds retry_after{0};
};
// Refuses all attempts that wait for a key. An attempt reported as "not run" is tombstoned, so that
// a delayed copy of its order can't run later.
void refuse_waiters(ledger& state, key_entry& entry, const refusal& reason, const event_time& at,
                    actions& out);
// Runs the calls whose claims are now recorded, or releases the claims whose deadline has passed.
void run_claims(ledger& state, const std::vector<base::idempotency_key>& written,
                const event_time& at, actions& out);
// Resolves claims that can't be recorded now.
void resolve_pending_claims(ledger& state, const event_time& at, actions& out);
void release(ledger& state, const base::idempotency_key& key, key_entry& entry);
// Sends the response of a completed key to all attempts that wait for it.
void respond_to_waiters(key_entry& entry, actions& out);
// Answers the attempts that wait for a key of unknown outcome, based on what is known now.
void resolve_outcome_queries(ledger& state, const event_time& at, actions& out);

} // namespace detail

} // namespace camphorrail::once
