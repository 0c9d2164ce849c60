#pragma once

#include "base/result.h"
#include "base/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::ports {

// One key of the platform's store.
struct stored_value {
    std::string key;
    std::string value;
    // Revision of the last change of this key.
    std::int64_t mod_revision = 0;
};

// What a read gives: the keys, and the store's revision at which they all held.
struct snapshot {
    std::int64_t revision = 0;
    std::vector<stored_value> values;
    // Calls that it took.
    std::int64_t pages = 1;
};

// Condition on one key: its last change must be this revision; 0 means that it must not exist.
struct precondition {
    std::string key;
    std::int64_t mod_revision = 0;
};

struct write {
    std::string key;
    std::string value;
    bool erase = false;
    // Lease that the key lives under; 0 for none.
    std::int64_t lease = 0;
};

// Writes that take effect all together, and only if every expectation holds.
struct transaction {
    std::vector<precondition> preconditions;
    std::vector<write> writes;
};

// A transaction's end. `applied` is false when an expectation did not hold.
struct commit_result {
    bool applied = false;
    std::int64_t revision = 0;
};

// One change of a key, as a watch tells it.
struct change {
    stored_value item;
    bool deleted = false;
};

// What a watch gives: all changes after the revision that was asked for, up to this one.
struct changes {
    std::int64_t revision = 0;
    std::vector<change> items;
    // The store no longer holds this history: everything has to be read anew.
    bool compacted = false;
};

enum class read_consistency { linearizable, stale_allowed };

// The platform's key-value service as the core needs it. Every answer may fail with
// platform_unreachable, which says nothing about whether a write took effect.
struct platform {
    std::function<void(std::string prefix, std::function<void(base::result<snapshot>)>)> read;
    // One key's item; nothing where there is no such key. A read that may be old costs the platform
    // far less, and may lag by seconds.
    std::function<void(std::string key, read_consistency wanted,
                       std::function<void(base::result<std::optional<stored_value>>)>)>
        read_key;
    // The revision of a key's last change, without its value; 0 where there is no such key.
    std::function<void(std::string key, std::function<void(base::result<std::int64_t>)>)> revision;
    std::function<void(transaction, std::function<void(base::result<commit_result>)>)> commit;
    std::function<void(std::int64_t seconds, std::function<void(base::result<std::int64_t>)>)>
        grant_lease;
    std::function<void(std::int64_t lease, std::function<void(base::result<bool>)>)> renew_lease;
    // Waits for changes after a revision; empty where the platform has no watches.
    std::function<void(std::string prefix, std::int64_t after, base::milliseconds wait,
                       std::function<void(base::result<changes>)>)>
        watch;
};

} // namespace camphorrail::ports
