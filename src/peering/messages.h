#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"
#include "fleet/workload.h"
#include "kvcache/cache_index.h"
#include "kvcache/store_index.h"
#include "ports/platform.h"
#include "quarantine/quarantine.h"
#include "quota/quota.h"
#include "ratelimit/stated_limit.h"
#include "resumption/stream_origins.h"
#include "shares/shares.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Messages that the entries of one deployment exchange over their links.
namespace camphorrail::peering {

// The messages that an entry understands. Entries of an older build close a link on which they
// receive a message that they don't know, so each message is sent only to entries that understand
// it.
inline constexpr std::int64_t first_protocol = 0;
inline constexpr std::int64_t resumption_protocol = 1;
inline constexpr std::int64_t rate_limit_protocol = 2;
inline constexpr std::int64_t prompt_part_protocol = 3;
inline constexpr std::int64_t shared_suspicion_protocol = 4;
// Views of the store may name large values in place of including them.
inline constexpr std::int64_t omitted_value_protocol = 5;
inline constexpr std::int64_t current_protocol = omitted_value_protocol;

// The first message on a link; identifies its sender.
struct handshake {
    base::entry_id from;
    base::availability_zone zone;
    // Differs after each start of that entry.
    std::int64_t incarnation = 0;
    std::int64_t protocol = first_protocol;
};

// The upstream should receive no new requests for `duration`.
struct suspicion {
    base::upstream_instance upstream;
    base::milliseconds duration{0};
    std::string reason;
    // The upstream is changing weights and may abort requests that it can't complete.
    bool changing_weights = false;
};

// The sender has received a byte from an upstream that several entries had found to be failing.
struct upstream_responding {
    base::upstream_instance upstream;
    // Time since that byte.
    base::micros age{0};
};

// An upstream has loaded these weights. Sent before the platform's list shows them.
struct loaded_weights {
    base::upstream_instance upstream;
    base::model_id model;
    std::int64_t version = 0;
};

// An entry's in-flight work at one upstream. All zero once that work has ended.
struct upstream_load {
    base::upstream_instance upstream;
    // Its queue by rank is sent only if the ranks of all requests are known.
    fleet::workload work;
    // Time since that entry received the last byte from the upstream.
    base::milliseconds last_byte_age{0};
};

// Transfers that an entry has requested from a KV cache store since its last report.
struct store_transfer {
    std::string store;
    double duration_ms = 0.0;
};

// The slot time that an entry was asked for and has admitted, by team and pool.
struct share_counts {
    // Time for which the entry has been counting.
    base::milliseconds uptime{0};
    std::vector<shares::usage_count> counts;
};

// One entry's in-flight work at upstreams, and the prompts that upstreams have read for its
// requests since its last report.
struct entry_load {
    base::entry_id from;
    // Time since that entry reported it, if another entry relays it.
    base::milliseconds age{0};
    // The entry sends its next complete report within this time.
    base::milliseconds report_interval{0};
    // Whether `items` lists all upstreams with in-flight work, or only those whose work has
    // changed.
    bool complete = false;
    std::vector<upstream_load> items;
    std::vector<store_transfer> transfers;
    std::vector<kvcache::prompt_prefill> reads;
    // Uptime of the entry, and the use of teams' quotas by requests that it has admitted.
    base::milliseconds uptime{0};
    std::vector<quota::usage_count> usage;
    // Empty from an entry of an older build, or one that does not keep teams to their shares.
    std::optional<share_counts> shares;
};

// The sender's own load, and the loads of entries of other availability zones that it relays.
struct load_report {
    std::vector<entry_load> loads;
};

// The contents of a KV cache store according to its events: all of them if `complete`, otherwise
// only the changes.
struct kv_store_contents {
    std::string store;
    bool complete = false;
    // The sender can't reach the store.
    bool unreachable = false;
    std::vector<kvcache::stored_part> parts;
};

// A target version of a model's weights, as one entry knows it.
struct target_weights {
    base::model_id model;
    std::int64_t version = 0;
    // Upper bound on the time since the operators set the version; nullopt if the sender does not
    // know.
    std::optional<base::micros> age;
};

// Requests the receiver's view of the store. Sent by an entry whose own verification is getting
// old, that has just started, or that may have missed changes or a restoration.
struct store_query {
    std::int64_t query_id = 0;
    base::revision revision;
    // The sender can't read large values from the store itself.
    bool needs_large_values = false;
};

// An entry's view of the store, and the time since the store confirmed it. Times are sent as ages,
// since wall clocks differ between VMs and jump.
struct store_view {
    std::int64_t query_id = 0;
    bool confirmed = false;
    base::micros age{0};
    // Time since the sender last knew the store's full contents; nullopt if it never did.
    std::optional<base::micros> complete_age;
    // Whether `changes` holds the store's full contents, or only the changes since the revision of
    // the query.
    bool complete = false;
    ports::changes changes;
    // Target versions of weights that engines may not have loaded yet.
    std::vector<target_weights> targets;
    // Keys whose large values are missing from `changes`; the receiver reads them from the store.
    // Empty if the contents are complete, or if the query asks for large values.
    std::set<std::string> omitted_keys;
};

// Changes of the store, from an entry that watches it. They don't confirm that the view is current,
// since the message may have been delayed for long.
struct store_changes {
    // The sender's revision before these changes. Equal to that of `changes` if the message only
    // carries operators' documents that the store has lost.
    base::revision base_revision;
    // Keys whose values are too large for a few entries to send to all others. They are missing
    // from `changes`; each receiver reads them from the store.
    std::set<std::string> omitted_keys;
    ports::changes changes;
};

// A request that was in flight at an upstream when the upstream crashed.
struct crash_victim {
    quarantine::request_identity request;
    // Time since the request was sent, and since its response started; the latter is negative if no
    // response had started.
    base::micros sent_ago{0};
    base::micros response_started_ago{-1};
    // The parts of its prompt that other requests may share; none from an entry of an older build.
    std::vector<quarantine::request_identity> parts;
};

// An upstream has crashed while these requests of the sender were in flight at it.
struct crash_report {
    base::upstream_instance upstream;
    base::micros age{0};
    std::vector<crash_victim> victims;
    // Those of them, and parts of their prompts, that upstreams had survived before; none from an
    // entry of an older build.
    std::vector<base::request_digest> survived;
};

// A request is quarantined for the remaining time.
struct quarantine_notice {
    quarantine::request_identity request;
    base::milliseconds remaining{0};
};

// Upstreams have survived the begin of responses to prompts with these parts.
struct cleared_prompt_parts {
    std::vector<base::request_digest> parts;
};

// An upstream has reported in a response that it is draining.
struct upstream_draining {
    base::upstream_instance upstream;
    // Time since its first such response.
    base::micros age{0};
};

// Where one stream began, and for how long its client may still resume it.
struct stream_origin_item {
    base::request_id request;
    resumption::stream_origin origin;
    base::milliseconds remaining{0};
};

// Where streams began, for an entry that holds their records.
struct stream_origins {
    std::vector<stream_origin_item> items;
};

// Asks where a stream began; `request` is the one that brought its first event.
struct origin_query {
    std::int64_t query_id = 0;
    base::request_id request;
};

// The reply to a query; empty if the sender does not know the stream.
struct origin_reply {
    std::int64_t query_id = 0;
    std::optional<stream_origin_item> item;
};

// The sender has seen a pool's record of software versions, as the store holds it since `revision`.
struct software_record_seen {
    base::pool_id pool;
    base::revision revision;
};

// What an upstream's latest response to the sender said of its rate limit.
struct upstream_limit {
    base::upstream_instance upstream;
    // Empty if it stated none.
    std::optional<ratelimit::requests_per_second> limit;
    // Time since the request was sent, and since the response arrived.
    base::micros asked_ago{0};
    base::micros heard_ago{0};
};

// The rate limits of upstreams, as the sender knows them.
struct upstream_limits {
    std::vector<upstream_limit> items;
};

// Stands for the era of a revision from an entry whose build does not send eras; earlier than any.
inline constexpr std::int64_t unknown_era = -1;

// Replaces `unknown_era` by `era` in all revisions of a message.
void replace_unknown_eras(store_query& message, std::int64_t era);
void replace_unknown_eras(store_view& message, std::int64_t era);
void replace_unknown_eras(store_changes& message, std::int64_t era);

// The content of one frame of a link.
using message =
    std::variant<handshake, suspicion, loaded_weights, load_report, store_query, store_view,
                 kv_store_contents, store_changes, crash_report, quarantine_notice,
                 upstream_draining, stream_origins, origin_query, origin_reply,
                 software_record_seen, upstream_limits, cleared_prompt_parts, upstream_responding>;

// A message with its sender's uptime when it was sent. The receiver derives the send time from the
// uptime: the message may be buffered for long, and its ages and durations count from when it was
// sent.
struct frame {
    message payload;
    base::micros uptime{0};
};

// Convert a crash report to and from its message. The message holds ages relative to `sent_at`, the
// time at which it is sent.
crash_report to_message(const quarantine::crash_report& report, base::instant sent_at);
quarantine::crash_report from_message(const crash_report& message, base::instant sent_at);

// Encodes a frame in CBOR.
std::string encode(const frame& outgoing);

// Decodes a frame; frame_malformed if the bytes are not a valid one.
base::result<frame> decode(std::string_view bytes);

} // namespace camphorrail::peering
