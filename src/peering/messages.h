#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"
#include "fleet/workload.h"
#include "kvcache/cache_beliefs.h"
#include "kvcache/kept_copies.h"
#include "ports/platform.h"
#include "quarantine/quarantine.h"
#include "quota/quota.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// What the entries of one deployment say to each other over their links.
namespace camphorrail::peering {

// The first message on a link: who is at the other end.
struct handshake {
    base::entry_id from;
    base::availability_zone zone;
    // Another one after each start of that entry.
    std::int64_t incarnation = 0;
};

// An upstream takes nothing new for a while.
struct suspicion {
    base::upstream_instance upstream;
    base::milliseconds duration{0};
    std::string reason;
    // It changes weights, and may cut off what it can't finish.
    bool changing_weights = false;
};

// An upstream holds these weights now; said before the platform's list does.
struct loaded_weights {
    base::upstream_instance upstream;
    base::model_id model;
    std::int64_t version = 0;
};

// What an entry has under way at one upstream; nothing in flight where that has ended.
struct upstream_load {
    base::upstream_instance upstream;
    fleet::workload work;
    // How long ago the upstream last sent that entry a byte.
    base::milliseconds last_byte_age{0};
};

// What an entry has ordered of a store of kept KV cache since it last told.
struct store_transfer {
    std::string store;
    double duration_ms = 0.0;
};

// What one entry has under way at upstreams, and what its requests have had read since it last
// told.
struct entry_load {
    base::entry_id from;
    // How long ago it said so, where another entry passes it on.
    base::milliseconds age{0};
    // It tells all again within this time.
    base::milliseconds report_interval{0};
    // All upstreams at which it has something under way, or those where that has changed.
    bool complete = false;
    std::vector<upstream_load> items;
    std::vector<store_transfer> transfers;
    std::vector<kvcache::prompt_read> reads;
    // How long it has been running, and what it has let through of teams' quotas.
    base::milliseconds uptime{0};
    std::vector<quota::usage_count> usage;
};

// The sender's own load, and those of entries of other zones that it passes on.
struct load_report {
    std::vector<entry_load> loads;
};

// What a store of kept KV cache holds, by its own events: all of it, or what has changed.
struct kv_store_contents {
    std::string store;
    bool complete = false;
    // The sender can't reach it.
    bool unreachable = false;
    std::vector<kvcache::kept_part> parts;
};

// A version of weights that was named, as one entry knows it.
struct target_weights {
    base::model_id model;
    std::int64_t version = 0;
    // It was named within this time; nothing where the sender does not know.
    std::optional<base::micros> age;
};

// Asks for what the other end knows of the store. Asked by an entry that the store turns away.
struct store_query {
    std::int64_t query_id = 0;
    std::int64_t revision = 0;
};

// What an entry knows of the store, and how old the proof of it is. Ages and no times of day:
// clocks differ between VMs, and jump.
struct store_view {
    std::int64_t query_id = 0;
    bool confirmed = false;
    base::micros age{0};
    // How long ago the sender knew all that the store held; nothing where it never did.
    std::optional<base::micros> complete_age;
    // All that the store holds, or what has changed since the asker's revision.
    bool complete = false;
    ports::changes changes;
    // When weights were named that engines may still lack.
    std::vector<target_weights> targets;
};

// What has changed in the store, from an entry that watches it. It proves nothing: it may have been
// on its way for long.
struct store_changes {
    // The sender's revision before.
    std::int64_t base_revision = 0;
    // Items whose values are too large to be told by a few to all, and are left out of `changes`:
    // whoever hears of them reads these keys from the store.
    std::set<std::string> omitted_keys;
    ports::changes changes;
};

// A request that was under way at an upstream when it crashed.
struct crash_victim {
    quarantine::request_identity request;
    // How long ago it was sent there, and when its answer began; less than 0 where it had not.
    base::micros sent_ago{0};
    base::micros response_started_ago{-1};
};

// An upstream has crashed, with these requests of the sender's on it.
struct crash_report {
    base::upstream_instance upstream;
    base::micros age{0};
    std::vector<crash_victim> victims;
};

// A request is held back, for so long from now on.
struct quarantine_notice {
    quarantine::request_identity request;
    base::milliseconds remaining{0};
};

// An upstream has said in an answer that it leaves.
struct upstream_draining {
    base::upstream_instance upstream;
    // How long ago it first said so.
    base::micros age{0};
};

// One frame of a link holds one of these.
using message = std::variant<handshake, suspicion, loaded_weights, load_report, store_query,
                             store_view, kv_store_contents, store_changes, crash_report,
                             quarantine_notice, upstream_draining>;

// A message on its way, and how long its sender had been running when it wrote it: it may lie
// unread for long, and its ages and spans count from when it was written.
struct frame {
    message payload;
    base::micros uptime{0};
};

// A crash as other entries are told of it, and as they take it. Times go as ages, which hold when
// the message is written.
crash_report to_message(const quarantine::crash_report& report, base::instant written);
quarantine::crash_report from_message(const crash_report& told, base::instant written);

// The frame in CBOR.
std::string encode(const frame& sent);

// frame_malformed where the bytes are no frame.
base::result<frame> decode(std::string_view bytes);

} // namespace camphorrail::peering
