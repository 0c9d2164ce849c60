#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The protocol between our own processes: one message a WebSocket frame, coded as CBOR.
namespace camphorrail::wire {

// The largest frame a link takes; a body at the entry's limit and its envelope fit.
inline constexpr std::size_t max_frame_bytes = (64U << 20U) + (1U << 20U);

// Load of an upstream as its agent sees it; rides on replies and heartbeats.
struct load_report {
    // The engine's life: a new number means that its cache is empty.
    std::int64_t engine_incarnation = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    // How long an order of middle priority that arrived now would wait for its prefill to begin.
    std::int64_t wait_us = 0;
    // What one token not in the cache costs, as measured by the agent.
    double prefill_us_per_token = 0;
    bool leaving = false;
};

// First message of both ends.
struct hello {
    std::string from;
    std::int64_t incarnation = 0;
    std::int64_t config_version = 0;
    load_report load;
};

// Sent by both ends each heartbeat period; a link quiet for several is replaced.
struct heartbeat {
    std::int64_t config_version = 0;
    load_report load;
};

// Asks the other end for its configuration; `have` is the version in force here.
struct config_request {
    std::int64_t have = 0;
};

// The whole document, or where the other end is only a little behind, the newest changes.
struct config_reply {
    std::int64_t version = 0;
    std::string document;
    std::string deltas;
};

// One attempt at a request.
struct order {
    std::string attempt;
    std::string pool;
    // Set only for a call that must not run twice; already bound to the team.
    std::string idempotency_key;
    // Hash of the request, so that a key used for another request is noticed.
    std::string fingerprint;
    std::int64_t config_version = 0;
    std::string team;
    int priority = 0;
    double share = 1.0;
    // Time left of the request and until the first token's target, when the order left the entry.
    std::int64_t deadline_us = 0;
    std::int64_t target_us = 0;
    std::string method;
    std::string path;
    std::string content_type;
    std::string traceparent;
    std::string body;
    // Events of the stream already delivered, where another engine goes on with it.
    std::int64_t resume_from = 0;
    // Prefix levels, as routed by: keys and lengths in tokens.
    std::vector<std::uint64_t> level_keys;
    std::vector<std::int64_t> level_tokens;
    bool stream = false;
    // The agent is asked as the home of the prompt's shared prefix and may pass the order on.
    bool probe = false;
    // The caller did not ask for the event that reports usage; only the agent reads it.
    bool hide_usage = false;
};

// The upstream's answer has begun.
struct started {
    std::string attempt;
    int status = 0;
    std::string content_type;
};

// One piece of the answer; for a stream, one whole event. Sequence numbers count from 0.
struct chunk {
    std::string attempt;
    std::int64_t sequence = 0;
    std::string bytes;
};

// Explicit end mark: the answer is whole once all chunks below `sequence` are there.
struct finished {
    std::string attempt;
    std::int64_t sequence = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    load_report load;
};

// The final answer of an attempt that gives no (further) answer.
struct refused {
    std::string attempt;
    int code = 0;
    // 0 not run, 1 unknown, 2 completed; the order of base::ran.
    int ran = 1;
    std::int64_t retry_after_ms = 0;
    load_report load;
    // With the code passed_on: hashes of the upstreams that hold the prompt's shared prefix.
    std::vector<std::uint64_t> holders;
};

// Tells the home of a prefix that another upstream will hold it.
struct placed {
    std::uint64_t level_key = 0;
    std::uint64_t holder = 0;
};

// The caller has gone or the entry gave up.
struct cancel {
    std::string attempt;
};

// Allows the agent to send this many more bytes of an answer.
struct credit {
    std::string attempt;
    std::int64_t bytes = 0;
};

// Calls an attempt off: unless it has left already, it can no longer run.
struct tombstone {
    std::string attempt;
    std::string pool;
    std::string idempotency_key;
};

// What the agent knows after a tombstone; `ran` as in refused.
struct tombstoned {
    std::string attempt;
    int ran = 1;
};

using message = std::variant<hello, heartbeat, config_request, config_reply, order, started, chunk,
                             finished, refused, cancel, credit, tombstone, tombstoned, placed>;

std::string encode(const message& value);

// Reads one frame. Anything that is not exactly a message of ours is refused, and throws nothing.
base::result<message> decode(std::string_view bytes);

} // namespace camphorrail::wire
