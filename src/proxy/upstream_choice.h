#pragma once

#include "proxy/context.h"

#include <optional>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// The properties of a request that decide which upstream an attempt goes to.
struct selection_criteria {
    base::pool_id pool;
    // Null if requests of the route do not state the parts of their prompts.
    const ports::client_request* prompt = nullptr;
    base::team_id team;
    // The team was isolated by the configuration under which the request was admitted.
    bool is_isolated = false;
    std::uint64_t hash = 0;
    base::milliseconds target{0};
    // Empty if the entry does not expect upstreams to admit by rank.
    std::optional<queueing::rank> rank;
    // The attempt resumes a response that another upstream has begun.
    bool resumed = false;
    // The response is a stream that may be resumed, so only versions that may begin streams do.
    bool begins_stream = false;
    // The software that began the stream, which no other continues; empty before its first event.
    std::optional<base::software_version> software;
    // The request is suspected of crashing upstreams, so it goes where a crash would affect the
    // fewest other requests.
    bool suspect = false;
    // The request may go to a commonly suspected upstream as a probe.
    bool may_probe = false;
    // Upstreams that have refused or failed the request.
    std::vector<base::upstream_id> tried;
};

// The upstream chosen for an attempt, and what the attempt carries.
struct upstream_choice {
    base::upstream_id id;
    base::upstream_incarnation incarnation;
    std::string address;
    base::software_version software;
    kvcache::prompt_chain chain;
    std::int64_t weights = 0;
    std::string cache_salt;
    std::string fetch_from;
    std::string save_to;
    std::int64_t prefill_tokens = 0;
    // Tokens that are already queued at the upstream, over all entries. With a rank, only those
    // that are read before the prompt.
    std::int64_t queued_tokens = 0;
    // Requests there, over all entries, that are admitted before this one; -1 if upstreams do not
    // admit by rank.
    std::int64_t requests_ahead = -1;
    // How long a request occupies a slot of the pool.
    double slot_ms = 0.0;
    // Predicted times in milliseconds: in the upstream's queue, to fetch KV cache, and until the
    // first event in all.
    double wait_ms = 0.0;
    double fetch_ms = 0.0;
    double first_byte_ms = 0.0;
    // Transfer time that the request uses on the links of KV cache stores, by their addresses, in
    // milliseconds.
    std::vector<std::pair<std::string, double>> transfers;
    // How long the upstream's weights have been outdated; empty if no newer ones are named.
    std::optional<base::micros> weights_outdated_for;
    // What decided the choice, for the log.
    const char* reason = "";
};

base::upstream_instance instance_of(const upstream_choice& choice);

// The time by which an upstream must have begun to process a prompt with the weights that it holds.
// If no newer weights are known, some may have been named since this entry's view of the store was
// last proved current. Empty if it never was.
std::optional<base::instant> begin_deadline(const entry_context& context,
                                            const base::model_id& model, std::int64_t weights);

// Chooses the upstream for an attempt; empty if none can take it now.
std::optional<upstream_choice> choose_upstream(entry_context& context,
                                               const selection_criteria& criteria);

// Upstreams of a pool by state, for the log of a refusal.
struct pool_counts {
    std::int64_t listed = 0;
    std::int64_t eligible = 0;
    std::int64_t busy = 0;
    std::int64_t suspected = 0;
    std::int64_t limited = 0;
};

// The upstreams that may take the request, and how long they read its prompt.
queueing::pool_size size_of_pool(const entry_context& context, const selection_criteria& criteria,
                                 const upstream_choice& choice);

pool_counts count_upstreams(const entry_context& context, const base::pool_id& pool);

// If nothing but the rate limits that they state keeps the upstreams from taking the request: the
// time until they may have room for it. Empty if others of the pool are busy or ejected, which may
// be free sooner. `draw`, any number that differs between requests, spreads the clients,
// which would otherwise all come again at once.
std::optional<base::milliseconds> limited_retry_after(const entry_context& context,
                                                      const selection_criteria& criteria,
                                                      std::uint64_t draw);

// Estimates the time until an upstream may be free again that can take the request; a short default
// if that is not known, and 0 if a stream can't be continued since no upstream runs its software.
base::milliseconds estimate_retry_after(const entry_context& context,
                                        const selection_criteria& criteria);

} // namespace camphorrail::proxy
