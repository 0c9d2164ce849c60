#pragma once

#include "base/result.h"
#include "base/revision.h"
#include "base/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::ports {

// A key of the platform's store with its value.
struct stored_value {
    std::string key;
    std::string value;
    // Revision of the last change of this key.
    base::revision mod_revision;
};

// Result of a read: all keys below a prefix, consistent at one revision of the store.
struct snapshot {
    base::revision revision;
    std::vector<stored_value> values;
    // Number of calls that the read took.
    std::int64_t pages = 1;
};

// Condition of a transaction on one key: its last change must have this revision. Number 0 means
// that the key must not exist. The store compares the number alone.
struct precondition {
    std::string key;
    base::revision mod_revision;
};

struct write {
    std::string key;
    std::string value;
    bool erase = false;
    // Lease that the key is attached to, which deletes it on expiry; 0 for none.
    std::int64_t lease = 0;
};

// Writes that are applied atomically, and only if every precondition holds.
struct transaction {
    std::vector<precondition> preconditions;
    std::vector<write> writes;
};

// Result of a transaction. `applied` is false if a precondition did not hold; `revision` then has
// the store's era alone.
struct commit_result {
    bool applied = false;
    base::revision revision;
};

// One change of a key, as a watch reports it.
struct change {
    stored_value item;
    bool deleted = false;
};

// Result of a watch: all changes after the requested revision, up to and including `revision`.
struct changes {
    base::revision revision;
    std::vector<change> items;
    // The store does not have this part of its history: all keys have to be read again. `revision`
    // then has the store's era alone.
    bool compacted = false;
};

// A lease of the platform and the era of the store that granted it.
struct lease {
    std::int64_t id = 0;
    std::int64_t era = 0;
};

// Result of the renewal of a lease, and the era of the store that answered.
struct lease_renewal {
    bool kept = false;
    std::int64_t era = 0;
};

// Whether a renewal extended this very lease. A store that was restored from an older copy may have
// lost the lease, and may have given its id to another one.
inline bool was_extended(const lease& renewed, const lease_renewal& result) {
    return result.kept && result.era == renewed.era;
}

enum class read_consistency { linearizable, stale_allowed };

// Interface to the platform's key-value service. Every call may fail with platform_unreachable,
// which leaves it unknown whether a write was applied.
struct platform {
    std::function<void(std::string prefix, std::function<void(base::result<snapshot>)>)> read;
    // Reads one key; nullopt if it does not exist. A stale read costs the platform far less, but
    // its result may lag by seconds.
    std::function<void(std::string key, read_consistency wanted,
                       std::function<void(base::result<std::optional<stored_value>>)>)>
        read_key;
    // Reads the revision of a key's last change without its value; 0 if the key does not exist.
    std::function<void(std::string key, std::function<void(base::result<std::int64_t>)>)> revision;
    std::function<void(transaction, std::function<void(base::result<commit_result>)>)> commit;
    std::function<void(std::int64_t seconds, std::function<void(base::result<lease>)>)> grant_lease;
    std::function<void(lease, std::function<void(base::result<lease_renewal>)>)> renew_lease;
    // Waits for changes after a revision. An empty function if the platform has no watches.
    std::function<void(std::string prefix, base::revision after, base::milliseconds wait,
                       std::function<void(base::result<changes>)>)>
        watch;
};

} // namespace camphorrail::ports
