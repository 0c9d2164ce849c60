#pragma once

#include "adapters/event_log.h"
#include "adapters/event_loop.h"
#include "adapters/metrics.h"
#include "admission/retry_window.h"
#include "fleet/fleet.h"
#include "kvcache/cache_beliefs.h"
#include "kvcache/kept_copies.h"
#include "kvcache/lanes.h"
#include "kvcache/size_fairness.h"
#include "latency/first_byte.h"
#include "mirror/store_mirror.h"
#include "ports/platform_codec.h"
#include "proxy/admission.h"
#include "proxy/connection_pool.h"
#include "proxy/named_weights.h"
#include "quarantine/quarantine.h"
#include "quota/quota.h"
#include "settings/settings.h"

#include <map>
#include <memory>
#include <vector>

namespace camphorrail::proxy {

// What an entry believes. Changed by what the store, other entries and its own requests tell.
struct entry_state {
    mirror::store_mirror store;
    std::shared_ptr<const routes::operators_config> config;
    fleet::fleet fleet;
    std::map<base::model_id, weights_history> weights;
    kvcache::cache_beliefs cache;
    // What the stores of kept KV cache hold.
    kvcache::kept_copies stored_prompts;
    // How long the engines of each pool take, by what their requests show.
    std::map<base::pool_id, latency::first_byte_model> latency;
    // How many engines of each pool are kept for short prompts.
    kvcache::lane_sizes lanes;
    // What became of the last prompts, by the name of their route.
    std::map<std::string, kvcache::size_record> prompt_sizes;
    // Milliseconds of the stores' links that this entry has ordered and not told others of yet.
    std::map<std::string, double> unreported_transfers;
    // Prompts that this entry's requests have had read and that it has not told others of yet.
    std::vector<kvcache::prompt_read> unreported_reads;
    std::map<base::pool_id, admission::retry_window> retries;
    // Requests that crash the upstreams that run them.
    quarantine::quarantine quarantine;
    // What teams have used of their quotas over all entries.
    quota::ledger quotas;
    // Entries that share the retry budget, this one included.
    std::int64_t entry_count = 1;
    bool stopping = false;
};

// An attempt whose connection broke, or whose answer ended early, after it may have left.
struct broken_attempt {
    base::upstream_instance upstream;
    std::string address;
    quarantine::crash_victim victim;
};

// What every part of an entry works with.
struct entry_context {
    adapters::event_loop& loop;
    const settings::proxy_settings& settings;
    const ports::platform_codec& codec;
    entry_state& state;
    connection_pool& connections;
    adapters::event_log& log;
    adapters::metrics& metrics;
    // On a clock that counts suspension.
    std::function<base::instant()> now;
    // Tells other entries that an upstream takes nothing for a while.
    std::function<void(const base::upstream_instance&, base::micros, const char* why)>
        broadcast_suspicion;
    // Tells other entries that an upstream takes nothing new while it changes weights.
    std::function<void(const base::upstream_instance&, base::micros)> broadcast_weights_change;
    // Notes, here and at other entries, which weights an upstream holds now.
    std::function<void(const base::upstream_instance&, const base::model_id&, std::int64_t version)>
        broadcast_weights;
    // Tells other entries that an upstream has said that it leaves.
    std::function<void(const base::upstream_instance&)> broadcast_drain;
    // Notes an attempt that its upstream may have crashed under.
    std::function<void(const broken_attempt&)> record_broken_attempt;
};

// The versions named for a model; none for a model that operators have not named. Callers name
// models, so a look-up must not leave an entry behind for each name that they invent.
const weights_history& history_of(const entry_state& state, const base::model_id& model);

// Whether the configuration is proved recently enough to serve by.
bool is_config_fresh(const entry_context& context);

// The age of the proof behind the configuration as logs show it; -1 where there is none.
base::micros logged_config_age(const entry_context& context);

// Longest age of the proof behind a configuration that requests are served by.
base::micros max_config_age(const settings::proxy_settings& settings);

// The rules by which upstreams are judged, with the settings' figures.
fleet::fleet_rules fleet_rules_of(const settings::proxy_settings& settings);

// The rules by which teams' quotas are kept, with the settings' figures.
quota::quota_rules quota_rules_of(const settings::proxy_settings& settings);

// How long a request may still begin on weights after newer ones were named.
base::micros max_outdated_weights_age(const settings::proxy_settings& settings);

// Notes that an upstream holds a newer version of a model's weights. It has dropped all that it had
// cached for the one before, which would else count as filling its memory.
void record_weights(entry_context& context, const base::upstream_instance& upstream,
                    const base::model_id& model, std::int64_t version);

// Voids what hangs on an upstream's earlier life outside the fleet: its idle connections, which are
// dead, and what it was believed to have cached.
void discard_previous_incarnation(entry_context& context, const base::upstream_instance& now_in);

// The memory of an upstream's engine in tokens; 0 where that is not known.
std::int64_t engine_capacity_tokens(const entry_state& state,
                                    const base::upstream_instance& upstream);

// Takes what a request showed of an engine, here or at another entry: that it holds the prompt now,
// and how long it took.
void record_prompt_read(entry_context& context, const kvcache::prompt_read& read);

// Notes that an upstream has said then that it leaves, here or, where `told_by` names it, to
// another entry; true where that is new.
bool record_drain_report(entry_context& context, const base::upstream_instance& upstream,
                         const std::string& told_by, base::instant said_at);

// Notes that an attempt at an upstream failed; may eject it, and then tells other entries. Says
// nothing of an upstream that has started again since.
void record_upstream_failure(entry_context& context, const base::upstream_instance& upstream,
                             const char* why);

// Notes that an upstream answered that a call failed.
void record_upstream_error(entry_context& context, const base::upstream_instance& upstream);

void record_upstream_success(entry_context& context, const base::upstream_instance& upstream);

} // namespace camphorrail::proxy
