#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "fleet/workload.h"
#include "membership/health.h"
#include "ports/platform_codec.h"
#include "ratelimit/permits.h"
#include "ratelimit/stated_limit.h"
#include "speed/upstream_speed.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorrail::fleet {

// In-flight work of another entry at an upstream. The report counts until `expires_at`.
struct entry_load {
    workload work;
    base::instant expires_at{};
    base::instant reported_at{};
};

// Whether several entries have found an upstream to be failing, and what follows from it.
enum class common_suspicion {
    none,
    // So many of the pool are suspected that the cause is probably on the entries' side.
    second_choice,
    // The upstream gets no requests while others of its pool can serve.
    excluded,
};

// An upstream as one entry sees it: its item in the platform's list, and the state derived from
// requests and from reports of other entries.
struct member {
    ports::listed_upstream listed;
    // Hash of the upstream's id, for rendezvous hashing.
    std::uint64_t id_hash = 0;
    membership::health health;
    // In-flight work of this entry at the upstream.
    workload local_work;
    // In-flight work of the other entries at the upstream.
    std::map<base::entry_id, entry_load> remote_work;
    // The load that the upstream last reported, and when.
    std::optional<ports::reported_load> load;
    base::instant load_at{};
    // How fast the upstream works compared with its pool.
    speed::upstream_speed speed;
    // When the last byte was received from the upstream, on any request.
    base::instant last_byte_at{};
    // The upstream gets no new requests before this time: it is loading weights, or has reported
    // that it is full.
    base::instant busy_until{};
    // The upstream rejected a request of this entry and asked it to send nothing before this time.
    base::instant pause_until{};
    // Another entry has ejected the upstream until then. Since the cause may be that entry's own
    // network, this only makes the upstream a second choice.
    base::instant suspected_until{};
    common_suspicion common = common_suspicion::none;
    // Until this time the entry may send one request to the commonly suspected upstream as a probe.
    base::instant probe_until{};
    // The upstream is about to change weights, or is changing them, until this time.
    base::instant weights_change_until{};
    // The rate limit that the upstream states, and this entry's share of it.
    ratelimit::stated_limit limit;
    ratelimit::permit_bucket permits;
    // Requests that this entry owes the upstream by an even division among its pool, while the
    // upstream states a rate limit; see `count_towards_shares`.
    double owed_requests = 0.0;
    // The upstream prefers short prompts to long ones; see kvcache/lanes.h.
    bool short_lane = false;
    // When the upstream itself first reported that it is draining. The list may show this later, or
    // show it as ready again due to a delayed heartbeat; neither reverts it in this incarnation.
    std::optional<base::instant> drain_reported_at;
    // Since when the upstream has been missing from the platform's list.
    std::optional<base::instant> unlisted_since;
    // Incarnations before the current one, the newest last.
    std::vector<base::upstream_incarnation> previous_incarnations;
};

struct fleet {
    std::map<base::upstream_id, member> members;
    // Incarnations that reported draining and then vanished from the list, with the time of that
    // report. List items that expired during a store outage reappear once the store is back.
    std::map<base::upstream_instance, base::instant> drained;
    // Rate limits of incarnations that are not listed, with the time at which each was last stated:
    // list items expire during a store outage, and another entry may report a limit before this one
    // has read the list.
    std::map<base::upstream_instance, ratelimit::stated_limit> unlisted_limits;
    // When an upstream of each pool last stated a slowdown.
    std::map<base::pool_id, base::instant> slowdown_stated_at;
};

struct fleet_rules {
    membership::health_rules health;
    // How long a pool may still serve after all of its members have vanished from the list or have
    // reported draining. Must stay below the platform's bound on new requests to an upstream that
    // left, less the list's lag.
    base::micros unlisted_grace = base::milliseconds(1400);
    // A load reported by an upstream is ignored after this time.
    base::micros load_report_ttl = base::milliseconds(500);
};

// Changes that applying a new list made.
struct list_diff {
    std::vector<base::upstream_id> added;
    std::vector<base::upstream_id> changed;
    std::vector<base::upstream_id> removed;
    // Upstreams that restarted under their ids.
    std::vector<base::upstream_id> restarted;
    // Upstreams that hold other weights than before, and so have lost their cache.
    std::vector<base::upstream_id> weights_changed;
};

// Applies the platform's current list.
list_diff apply_list(fleet& state, const std::vector<ports::listed_upstream>& listed,
                     base::instant now);

// Records that an upstream has restarted, and resets the state kept for it: it has no cached
// prompts and no requests in flight. The platform's list may still show the previous incarnation
// for a while, since heartbeats overtake each other; such items are ignored.
void start_incarnation(member& one, base::upstream_incarnation incarnation);

base::upstream_instance instance_of(const member& one);

// Returns the member if its current incarnation is the given one, otherwise null. Reports about one
// incarnation must not be applied to another.
member* find_instance(fleet& state, const base::upstream_instance& instance);

// Whether the given incarnation of the upstream is known to have ended.
bool incarnation_ended(const member& one, base::upstream_incarnation incarnation);

// Records that another upstream has taken the place of a vanished member in the list. Unlike a
// member whose list item only expired, it gets no more requests, even if no other member is left.
void mark_replaced(fleet& state, const base::upstream_id& id);

// Records that an upstream has reported in a response that it is draining. Returns whether that is
// new.
bool record_drain_report(fleet& state, const base::upstream_instance& upstream, base::instant now);

// Removes members that vanished from the list long enough ago and have no requests in flight.
// Returns their ids.
std::vector<base::upstream_id> prune_unlisted(fleet& state, base::instant now,
                                              const fleet_rules& rules);

// The version of a model's weights that a member holds; 0 if it does not hold the model.
std::int64_t weights_version_of(const member& one, const base::model_id& model);

// Whether both the list and the upstream's own reports allow sending it a new request.
bool is_available(const member& one);

// Whether a member that vanished from the list, or has reported draining, may still serve requests
// that no other member can. It may not if the list shows it as draining.
bool may_serve_in_grace(const member& one, base::instant now, const fleet_rules& rules);

// Until when this entry sends the member no new requests, since it is busy or has asked for a
// pause.
base::instant unavailable_until(const member& one);

// Whether the rate limit that a member states, if any, allows this entry to send it a request.
bool is_within_limit(const member& one, base::instant now);

// The rate limit of an incarnation that is not listed, to apply statements to. It holds for the
// member once that is listed.
ratelimit::stated_limit& unlisted_limit(fleet& state, const base::upstream_instance& upstream);

// Counts a request that is about to be sent against the member's rate limit, if it states one.
// Returns false if the limit does not allow it.
bool count_against_limit(member& one, base::instant now);

// Records that an upstream has asked this entry to send nothing for `span`. The span is capped, so
// that a nonsensical value can't exclude the upstream for long.
void record_pause(member& one, base::micros span, base::instant now);

// Whether failures seen by this entry or by others make the member a second choice.
bool is_suspected(const member& one, base::instant now);

// Whether a new request may be sent to the member without reservations.
bool is_eligible(const member& one, base::instant now);

// Ends what was concluded from failures of the member, here and at other entries, after it has been
// shown to serve.
void end_suspicion(member& one, base::instant now);

// Whether the member may get one request as a probe; see `member::probe_until`.
bool awaits_probe(const member& one, base::instant now);

// The members of a pool that a new request may be sent to, of those whose rate limits allow it: the
// eligible ones; if there are none,
// those that are only suspected; if no other can serve now or soon, those that are excluded by a
// common suspicion; if the whole pool has just vanished or reported draining, those
// that may serve in the grace period. Members listed in `except` are left out. Members that are not
// suitable are disregarded as if they were of another pool.
std::vector<member*> candidates(fleet& state, const base::pool_id& pool, base::instant now,
                                const fleet_rules& rules,
                                const std::vector<base::upstream_id>& except,
                                const std::function<bool(const member&)>& is_suitable);

// The same if all members are suitable.
std::vector<member*> candidates(fleet& state, const base::pool_id& pool, base::instant now,
                                const fleet_rules& rules,
                                const std::vector<base::upstream_id>& except);

// In-flight work of all entries at a member, according to reports that have not expired.
workload total_work(const member& one, base::instant now);

// The KV cache tokens of that work alone, for checks of many members.
std::int64_t total_kv_tokens(const member& one, base::instant now);

// Estimates the prompt tokens that wait for prefill at a member, which reads `tokens_per_ms` of
// them per millisecond. Tokens that other entries reported are reduced by what the member has read
// since: with a hundred entries that report twice a second, most reported tokens have been read by
// the time they are counted, and without this prompts left their cached copies to avoid queues that
// no longer existed. With a rank, only tokens that are read before a new request of that rank
// count.
std::int64_t estimate_pending_prefill_tokens(const member& one, base::instant now,
                                             double tokens_per_ms,
                                             std::optional<queueing::rank> rank = std::nullopt);

// Counts a request to a pool towards the even shares of its members that state a rate limit. Such a
// member gets nothing while it has no permit; what it missed is owed to it, so that its limit is
// used if an even share would use it.
void count_towards_shares(fleet& state, const base::pool_id& pool, base::instant now);

// Records the load that a member has reported in a response.
void record_load(fleet& state, member& one, const ports::reported_load& load, base::instant now);

// A member whose speed factor in force has changed.
struct speed_change {
    const member* upstream = nullptr;
    double factor_before = 1.0;
};

struct speed_changes {
    std::vector<speed_change> members;
    // Pools in which factors have come into force, or are no longer in force.
    std::vector<std::pair<base::pool_id, bool>> pools;
};

// Updates the speed factors that decisions use: in force in the pools in which a slowdown was
// stated recently, 1.0 in all others. Must be called frequently, and after every change of the
// list.
speed_changes update_speeds(fleet& state, base::instant now, const speed::speed_rules& rules);

// Estimates the number of requests at a member, of this entry and of all others.
std::int64_t estimated_load(const member& one, base::instant now, const fleet_rules& rules);

// A candidate that is owed a request, or else the one with the lowest load relative to its size. In
// a pool with speed factors in force, the one at which a request takes the least time, of those
// with a free slot if there are any. Ties go to a candidate in the given availability zone, and
// then to the one selected by `number`. Null if there are no candidates.
member* least_loaded(const std::vector<member*>& among, const base::availability_zone& zone,
                     std::uint64_t number, base::instant now, const fleet_rules& rules);

} // namespace camphorrail::fleet
