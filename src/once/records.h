#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrail::once {

// What an agent has made known of its ownership in a pool. It lives in the platform under the
// agent's name; the revision of its last change fences every write of that agent.
struct owner_record {
    base::upstream_id agent;
    base::incarnation incarnation;
    // Tells a write of ours whose answer was lost from one by someone else.
    std::string nonce;
    // The owners by which this agent tells whose a key is.
    std::vector<base::upstream_id> owners;
    // The agent runs nothing any more: it left, or was declared dead.
    bool closed = false;
    // It left by itself, with everything that it ran recorded.
    bool clean = false;
    std::int64_t closed_at_ms = 0;
    // How long the agent may run dated keys unrecorded after it lost the platform.
    base::milliseconds outage_grace{0};
    // Keys dated up to here may have run unrecorded in an earlier life of this agent.
    std::int64_t unrecorded_until_ms = 0;

    bool operator==(const owner_record&) const = default;
};

enum class outcome { claimed, completed, released };

// The upstream's whole answer, kept for a caller that asks again.
struct recorded_response {
    int status = 0;
    std::string content_type;
    std::string body;
    // False where the body was too long to keep in the platform and the agent's memory is gone.
    bool body_recorded = true;

    bool operator==(const recorded_response&) const = default;
};

// One key in the journal.
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

// Places in the platform's store.
std::string pool_prefix(const base::pool_id& pool);
std::string members_prefix(const base::pool_id& pool);
std::string owner_key(const base::pool_id& pool, const base::upstream_id& agent);
std::string alive_key(const base::pool_id& pool, const base::upstream_id& agent);
std::string journal_prefix(const base::pool_id& pool);
std::string segment_key(const base::pool_id& pool, const base::upstream_id& agent,
                        base::incarnation incarnation, std::int64_t number);

} // namespace camphorrail::once
