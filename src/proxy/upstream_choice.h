#pragma once

#include "proxy/context.h"

#include <optional>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// What one attempt needs to know of its request.
struct selection_criteria {
    base::pool_id pool;
    // Null where the route's requests name no parts of a prompt.
    const ports::client_request* prompt = nullptr;
    base::team_id isolated_team;
    std::uint64_t hash = 0;
    base::milliseconds target{0};
    // It goes on with an answer that another upstream has begun.
    bool resumed = false;
    // Upstreams have crashed under it: it goes where the fewest others run.
    bool suspect = false;
    // Upstreams that have refused or failed it.
    std::vector<base::upstream_id> tried;
};

// Where an attempt goes, and what it carries.
struct upstream_choice {
    base::upstream_id id;
    base::upstream_incarnation incarnation;
    std::string address;
    kvcache::prompt_chain chain;
    std::int64_t weights = 0;
    std::string cache_salt;
    std::string fetch_from;
    std::string save_to;
    std::int64_t prefill_tokens = 0;
    // Tokens that waited there already, over all entries.
    std::int64_t queued_tokens = 0;
    // How long it will probably wait there, for what it fetches, and until its first event in all,
    // in milliseconds.
    double wait_ms = 0.0;
    double fetch_ms = 0.0;
    double first_byte_ms = 0.0;
    // What it takes of the links of stores of kept KV cache, by their addresses, in milliseconds.
    std::vector<std::pair<std::string, double>> transfers;
    // How long its weights have been outdated; nothing where no newer ones are named.
    std::optional<base::micros> weights_outdated_for;
    // What decided it, for the log.
    const char* reason = "";
};

base::upstream_instance instance_of(const upstream_choice& choice);

// By when an upstream must have begun on a prompt with the weights that it holds. Where no newer
// ones are known, these may have been named since this entry's view of the store was last proved.
// Nothing where it never was.
std::optional<base::instant> begin_deadline(const entry_context& context,
                                            const base::model_id& model, std::int64_t weights);

// The upstream for an attempt; nothing where none can take it now.
std::optional<upstream_choice> choose_upstream(entry_context& context,
                                               const selection_criteria& criteria);

// How the upstreams of a pool stand, for the log of a refusal.
struct pool_counts {
    std::int64_t listed = 0;
    std::int64_t eligible = 0;
    std::int64_t busy = 0;
    std::int64_t suspected = 0;
};

pool_counts count_upstreams(const entry_context& context, const base::pool_id& pool);

// When an upstream of the pool may be free again, counted from now; a short default where that is
// not known.
base::milliseconds estimate_retry_after(const entry_context& context, const base::pool_id& pool);

} // namespace camphorrail::proxy
