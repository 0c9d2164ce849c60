#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrail::once {

// The ownership in a pool as published by an agent, stored in the platform under the agent's name.
// The revision of its last change fences all writes of that agent.
struct owner_record {
    base::upstream_id agent;
    base::incarnation incarnation;
    // Distinguishes a write of this process whose response was lost from a write of another
    // process.
    std::string nonce;
    // The list of owners from which this agent determines the owner of a key.
    std::vector<base::upstream_id> owners;
    // The agent runs nothing any more: it has left or was declared dead.
    bool closed = false;
    // The agent left in an orderly way, with all outcomes recorded.
    bool clean = false;
    std::int64_t closed_at_ms = 0;
    // How long the agent may run timestamped keys unrecorded after it lost the platform.
    base::milliseconds outage_grace{0};
    // Keys with timestamps up to this time may have run unrecorded in an earlier incarnation of
    // this agent.
    std::int64_t unrecorded_until_ms = 0;

    bool operator==(const owner_record&) const = default;
};

enum class outcome { claimed, completed, released };

// The complete response of the upstream, stored for retries of the client.
struct recorded_response {
    int status = 0;
    std::string content_type;
    std::string body;
    // False if the body was too long to be stored in the platform and is no longer in the agent's
    // memory.
    bool body_recorded = true;

    bool operator==(const recorded_response&) const = default;
};

// The journal's record of one key.
struct journal_record {
    base::idempotency_key key;
    std::string fingerprint;
    outcome state = outcome::claimed;
    recorded_response response;
    std::int64_t claimed_at_ms = 0;
};

using segment = std::vector<journal_record>;

std::string to_text(const owner_record& record);
base::result<owner_record> parse_owner(const std::string& text);
std::string to_text(const segment& records);
base::result<segment> parse_segment(const std::string& text);

// Keys in the platform's store.
std::string pool_prefix(const base::pool_id& pool);
std::string members_prefix(const base::pool_id& pool);
std::string owner_key(const base::pool_id& pool, const base::upstream_id& agent);
std::string alive_key(const base::pool_id& pool, const base::upstream_id& agent);
std::string journal_prefix(const base::pool_id& pool);
std::string segment_key(const base::pool_id& pool, const base::upstream_id& agent,
                        base::incarnation incarnation, std::int64_t number);

} // namespace camphorrail::once
