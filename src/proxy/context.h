#pragma once

#include "adapters/event_log.h"
#include "adapters/event_loop.h"
#include "adapters/metrics.h"
#include "admission/retry_window.h"
#include "entries/entry_count.h"
#include "fleet/fleet.h"
#include "kvcache/cache_index.h"
#include "kvcache/cache_spaces.h"
#include "kvcache/lanes.h"
#include "kvcache/size_fairness.h"
#include "kvcache/store_index.h"
#include "latency/first_byte.h"
#include "mirror/store_mirror.h"
#include "ports/platform_codec.h"
#include "proxy/admission.h"
#include "proxy/connection_pool.h"
#include "proxy/run_times.h"
#include "proxy/weights_history.h"
#include "quarantine/quarantine.h"
#include "queueing/pool_state.h"
#include "queueing/ranks.h"
#include "quota/quota.h"
#include "resumption/software_versions.h"
#include "resumption/stream_origins.h"
#include "settings/settings.h"
#include "shares/shares.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace camphorrail::proxy {

class request_buffers;

// Mutable state of an entry, updated from the store, from other entries and from its own requests.
struct entry_state {
    mirror::store_mirror store;
    // Set by `set_config`.
    std::shared_ptr<const routes::operators_config> config;
    // A configuration that listed teams has been in force, here or at another entry.
    bool has_had_teams = false;
    // The ranks of the requests that it allows.
    queueing::rank_table ranks;
    fleet::fleet fleet;
    std::map<base::model_id, weights_history> weights;
    kvcache::cache_index cache;
    // Which teams share cached prompt parts; set by `update_cache_spaces`.
    kvcache::cache_spaces cache_spaces;
    // The teams that the shared space excludes, as recorded in the platform's store.
    std::set<base::team_id> recorded_exclusions;
    // Prompts whose KV cache the KV cache stores hold.
    kvcache::store_index stored_prompts;
    // First-byte latency of each pool's engines, learned from their requests.
    std::map<base::pool_id, latency::first_byte_model> latency;
    // What admission by rank to each pool depends on.
    std::map<base::pool_id, queueing::pool_state> queueing;
    // Number of engines per pool that are reserved for short prompts.
    kvcache::lane_sizes lanes;
    // Placement results of the latest prompts, by route name.
    std::map<std::string, kvcache::size_history> prompt_sizes;
    // Transfer time in milliseconds per KV cache store that this entry has requested and not
    // reported to other entries yet.
    std::map<std::string, double> unreported_transfers;
    // Prompts that engines have read for this entry's requests and that it has not reported to
    // other entries yet.
    std::vector<kvcache::prompt_prefill> unreported_reads;
    std::map<base::pool_id, admission::retry_window> retries;
    // Requests that are held back because they crash the upstreams that run them.
    quarantine::quarantine quarantine;
    // Use of the teams' quotas over all entries.
    quota::ledger quotas;
    // Use of the pools by teams over all entries, if teams are kept to their shares.
    shares::share_table shares;
    // The software versions of the pools that serve streams, and where streams began that clients
    // may resume.
    std::map<base::pool_id, resumption::pool_versions> software;
    resumption::origin_table origins;
    // The numbers of entries known recently, which share the retry budget.
    entries::entry_count_history entry_counts;
    run_times runs;
    bool stopping = false;
    // The times of a planned stop: from when on the load balancer sends no new clients, and when
    // the requests that are still open are ended. Set while the entry is stopping.
    base::instant new_clients_until{};
    base::instant ends_requests_at{};
};

// An attempt whose connection broke, or whose response was incomplete, after the request may have
// been sent.
struct broken_attempt {
    base::upstream_instance upstream;
    std::string address;
    quarantine::crash_victim victim;
};

// What other entries replied about the origin of a stream.
struct origin_answer {
    std::optional<resumption::stream_origin> origin;
    // All entries that were asked have replied. If not, one that knows may be reachable soon.
    bool is_final = false;
};

// Shared services and state that all components of an entry use.
struct entry_context {
    adapters::event_loop& loop;
    const settings::proxy_settings& settings;
    const ports::platform_codec& codec;
    entry_state& state;
    connection_pool& connections;
    adapters::event_log& log;
    adapters::metrics& metrics;
    // Monotonic time that includes time during which the VM was suspended.
    std::function<base::instant()> now;
    // Notifies other entries to send an upstream no new requests for a while. The span is 0 after a
    // failure for which this entry goes on sending requests; only a common suspicion counts it.
    std::function<void(const base::upstream_instance&, base::micros, const char* reason)>
        broadcast_suspicion;
    // Notifies other entries that an upstream accepts no new requests while it changes weights.
    std::function<void(const base::upstream_instance&, base::micros)> broadcast_weights_change;
    // Records the weights that an upstream now holds, in this entry and in all others.
    std::function<void(const base::upstream_instance&, const base::model_id&, std::int64_t version)>
        broadcast_weights;
    // Notifies other entries that an upstream has reported draining.
    std::function<void(const base::upstream_instance&)> broadcast_drain;
    // Records an attempt during which its upstream may have crashed.
    std::function<void(const broken_attempt&)> record_broken_attempt;
    // Records that an upstream has survived the begin of a response to a prompt with these parts.
    std::function<void(const std::vector<base::request_digest>&)> record_survived_parts;
    // Records where a stream began whose client waits for `deadline`, here and at other entries.
    std::function<void(const base::request_id&, const resumption::stream_origin&,
                       base::milliseconds deadline)>
        record_stream_origin;
    // Asks other entries where a stream began. `done` is called once, maybe at once.
    std::function<void(const base::request_id&, std::function<void(const origin_answer&)> done)>
        find_stream_origin;
    // Records what the response to a request of this entry states of its upstream's rate limit.
    std::function<void(const base::upstream_instance&, const ratelimit::statement&)>
        record_stated_limit;
    // Records that a byte was received from an upstream that is commonly suspected.
    std::function<void(const base::upstream_instance&)> record_suspect_byte;
    // What requests buffer. Null if it is not counted.
    request_buffers* buffers = nullptr;
    // Bytes of messages that other entries have not read.
    std::function<std::size_t()> unread_message_bytes = [] { return std::size_t{0}; };
};

// The target versions of a model's weights; empty if the operators have set none. A look-up must
// not insert an item into the map: clients choose the model name, and could fill the memory with
// invented ones.
const weights_history& history_of(const entry_state& state, const base::model_id& model);

// Puts a configuration in force.
void set_config(entry_state& state, std::shared_ptr<const routes::operators_config> config);

// The teams that the configuration in force isolates.
std::set<base::team_id> isolated_teams(const entry_state& state);

// Chooses the cache spaces anew. Must be called after a change of the recorded exclusions.
void update_cache_spaces(entry_state& state);

// The prefix of the keys under which entries register in the store.
std::string registration_prefix(const entry_context& context);

// Whether this entry's view of the store has its registration there.
bool is_registered_entry(const entry_context& context);

// Whether the configuration was confirmed recently enough to serve requests by it.
bool is_config_fresh(const entry_context& context);

// Time since the configuration was last confirmed, for logs; -1 if it never was.
base::micros logged_config_age(const entry_context& context);

// Logs that the mirror has entered a new era of the store, if it has since `before`. `source` is
// who reported it.
void log_store_restored(const entry_context& context, base::revision before, const char* source);

// The longest time since the last confirmation of a configuration at which it is still used to
// serve requests.
base::micros max_config_age(const settings::proxy_settings& settings);

// The fleet parameters with the values from the settings.
fleet::fleet_rules fleet_rules_of(const settings::proxy_settings& settings);

// The quota parameters with the values from the settings.
quota::quota_rules quota_rules_of(const settings::proxy_settings& settings);

// How long requests may still be started on outdated weights after operators have set a newer
// target version.
base::micros max_outdated_weights_age(const settings::proxy_settings& settings);

// Records that an upstream holds a newer version of a model's weights. It has evicted everything
// cached for the previous version, which would otherwise still count as occupying its memory.
void record_weights(entry_context& context, const base::upstream_instance& upstream,
                    const base::model_id& model, std::int64_t version);

// Discards the state of an upstream's previous incarnation outside the fleet: its idle connections,
// which are closed at the other end, and the record of its cached prompts.
void discard_previous_incarnation(entry_context& context, const base::upstream_instance& current);

// The KV cache capacity of an upstream's engine in tokens; 0 if unknown.
std::int64_t engine_capacity_tokens(const entry_state& state,
                                    const base::upstream_instance& upstream);

// Records what a request of this or another entry showed about an engine: that it now holds the
// prompt in its cache, and how long the first byte took.
void record_prompt_read(entry_context& context, const kvcache::prompt_prefill& read);

// Records that an upstream reported draining at `reported_at`, either to this entry or, if
// `reported_by` is not empty, to that entry. Returns whether this is new.
bool record_drain_report(entry_context& context, const base::upstream_instance& upstream,
                         const std::string& reported_by, base::instant reported_at);

// Records a failed attempt at an upstream. This may eject the upstream, in which case other entries
// are notified. Ignored if the upstream has restarted since.
void record_upstream_failure(entry_context& context, const base::upstream_instance& upstream,
                             const char* reason);

// Records that an upstream responded with an error.
void record_upstream_error(entry_context& context, const base::upstream_instance& upstream);

void record_upstream_success(entry_context& context, const base::upstream_instance& upstream);

} // namespace camphorrail::proxy
