#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"
#include "http/fields.h"
#include "ports/platform.h"
#include "routes/operators_config.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::ports {

// One part of a prompt that may be shared with other prompts.
struct prompt_part {
    std::string id;
    base::tokens size;
};

// What a caller's request says of itself.
struct client_request {
    std::string request_id;
    // The bearer key; empty where there is none.
    std::string bearer_key;
    // How long the caller waits, from when it sent the request.
    std::optional<base::milliseconds> deadline;
    base::model_id model;
    // Tokens of the prompt and of the longest answer together; nothing where it does not say.
    std::optional<std::int64_t> max_total_tokens;
    // The prompt's parts in order; the last belongs to this request or its session.
    std::vector<prompt_part> prompt_parts;
    // The last event that the caller has seen of a stream that broke off; empty for a new stream.
    std::string last_event_id;
};

// What we tell an upstream about one attempt.
struct attempt_parameters {
    // The upstream's start that the request is meant for; another refuses it unrun.
    base::upstream_id expected_instance;
    base::team_id team;
    base::milliseconds time_left{0};
    // 0 is first.
    int priority = 0;
    // Name under which parts of the prompt are cached: equal only where they may be shared.
    std::string cache_salt;
    // Where parts of the prompt may be fetched from, and where to save them; empty for none.
    std::string fetch_from;
    std::string save_to;
    // Weights that the request must run on; 0 for any.
    std::int64_t required_weights = 0;
    std::string last_event_id;
};

// How busy an upstream says it is.
struct reported_load {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
};

// What an upstream's answer says beside its body.
struct response_metadata {
    std::string request_id;
    // The upstream states that it has not run the request and never will.
    bool not_run = false;
    // The address belongs to another upstream now.
    bool wrong_instance = false;
    std::optional<reported_load> load;
    std::optional<std::int64_t> weights_version;
    // The upstream says that it leaves. Of another instance it says nothing of the one meant.
    bool draining = false;
    // It has turned the request away and wants nothing more from us for so long.
    std::optional<base::milliseconds> pause;
    // How long the upstream keeps an idle connection, if it says so.
    std::optional<base::milliseconds> idle_timeout;
};

// One upstream as the platform lists it.
struct listed_upstream {
    base::upstream_id id;
    base::upstream_incarnation incarnation;
    base::pool_id pool;
    std::string address;
    base::availability_zone zone;
    std::int64_t slots = 0;
    bool draining = false;
    // Models that it holds, with the version of their weights.
    std::vector<std::pair<base::model_id, std::int64_t>> models;
};

// Weights that the operators want in use.
struct target_weights {
    base::model_id model;
    std::int64_t version = 0;
};

// What becomes of the requests that an upstream is running when it is to load weights.
enum class in_flight_policy {
    // They end on the old weights first, while it takes nothing new.
    finish,
    // It cuts them off.
    abort,
    // The rest of each is made by the new weights.
    continue_on_new_weights,
};

// An order to load weights.
struct load_command {
    base::model_id model;
    std::int64_t version = 0;
    std::string holder;
    // Rises with every change of the holder.
    std::int64_t fencing_token = 0;
    // The order is void where the upstream has accepted another number of orders before.
    std::int64_t expected_accepted_commands = 0;
    in_flight_policy in_flight = in_flight_policy::finish;
};

// What an upstream says of itself when asked.
struct upstream_state {
    base::upstream_incarnation incarnation;
    std::vector<std::pair<base::model_id, std::int64_t>> models;
    // Orders that it has accepted since its start.
    std::int64_t accepted_commands = 0;
    // An order is being carried out.
    bool loading = false;
};

// A part of a prompt that a cache holds now, with how many of its tokens; 0 for no more.
struct cached_part {
    std::string salt;
    std::string part;
    std::int64_t tokens = 0;
};

// What a cache says of itself: all that it holds, or what has changed since it was last asked.
struct cache_update {
    // Another number means that the cache was lost in between.
    std::int64_t incarnation = 0;
    // Where the next question goes on.
    std::int64_t next_sequence = 0;
    // Some of the changes are lost.
    bool has_gap = false;
    std::vector<cached_part> parts;
};

// How an order was met.
enum class load_command_result { accepted, already_done, conflict, refused, wrong_instance };

// A call to an upstream that is not a caller's request.
struct control_request {
    std::string method;
    std::string path;
    http::fields fields;
    std::string body;
};

// How one platform spells what the product knows: names of keys, fields and documents. Nothing here
// decides anything.
struct platform_codec {
    std::string operators_config_key;
    std::string target_weights_prefix;
    std::string upstreams_prefix;
    // Below this prefix the system may write.
    std::string own_prefix;

    std::function<base::result<routes::operators_config>(const std::string&)> parse_config;
    std::function<base::result<target_weights>(const std::string&)> parse_target_weights;
    // The key ends in the upstream's id.
    std::function<base::result<listed_upstream>(const std::string& key, const std::string& value)>
        parse_upstream;

    std::function<base::result<client_request>(const http::request_head&)> parse_request;
    std::function<http::fields(const http::request_head&, const attempt_parameters&)>
        make_attempt_fields;
    std::function<response_metadata(const http::response_head&)> parse_response;
    // The fields of an answer of our own; no hint where `retry_after` is 0.
    std::function<http::fields(const std::string& request_id, base::milliseconds retry_after)>
        make_refusal_fields;

    control_request state_request;
    std::function<base::result<upstream_state>(const std::string&)> parse_state;
    std::function<control_request(const load_command&, const base::upstream_id&)> make_load_request;
    std::function<load_command_result(int status)> parse_load_response;

    // Asks a cache for what has changed since `since`; it answers at once when there is something,
    // else within `wait`.
    std::function<control_request(std::int64_t since, base::milliseconds wait)>
        make_cache_changes_request;
    std::function<base::result<cache_update>(const std::string&)> parse_cache_changes;
    // Asks it for all that it holds. This holds up the cache's other work for a moment.
    control_request cache_listing_request;
    std::function<base::result<cache_update>(const std::string&)> parse_cache_listing;
};

} // namespace camphorrail::ports
