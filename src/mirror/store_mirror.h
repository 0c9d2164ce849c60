#pragma once

#include "base/units.h"
#include "ports/platform.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::mirror {

// What this process believes the platform's store holds, and how old that belief is. It may come
// from the store or from another entry that reaches it; both are merged by the store's revisions,
// so nothing ever goes back.
struct store_mirror {
    std::map<std::string, ports::stored_value> items;
    // All changes up to this revision are in `items`; 0 while nothing is known.
    std::int64_t revision = 0;
    // The moment before the read that proved the operators' part of `items` true. On a clock that
    // counts suspension: a process that wakes from a freeze must not trust what it knew before.
    std::optional<base::instant> verified_at;
    // All changes that the store had acknowledged before this moment are in `items`; nothing where
    // that never was so.
    std::optional<base::instant> complete_as_of;
    // `whole_at` of the time at which each item came. The item was written later than that.
    std::map<std::string, std::optional<base::instant>> written_after;
    // A revision that the store had, and the moment before it was asked for it: all changes up to
    // there are not in `items` yet.
    struct store_revision {
        std::int64_t revision = 0;
        base::instant requested_at{};
    };
    std::optional<store_revision> pending_revision;
    // Keys that went lately, with a revision at which they were gone; complete after
    // `removals_since`.
    std::map<std::string, std::int64_t> removed;
    std::int64_t removals_complete_after = 0;
};

// Takes a whole reading of the store that began at `began`; gives the keys that changed. A reading
// older than what is known changes nothing.
std::set<std::string> apply_snapshot(store_mirror& state, const ports::snapshot& read,
                                     base::instant began);

// Takes what a watch told; gives the keys that changed.
std::set<std::string> apply_changes(store_mirror& state, const ports::changes& update);

// What has changed after a revision, for one who knows all up to there; nothing where that is not
// known any more.
std::optional<ports::changes> changes_since(const store_mirror& state, std::int64_t revision);

// A read that began at `began` found the operators' part unchanged.
void mark_verified(store_mirror& state, base::instant began);

// The store was asked for its revision at `asked_at` and had this one. `items` is whole as of then
// once all changes up to there are in it. A proof of the operators' part alone does not show that:
// a key that was missing before may have been written.
void record_revision(store_mirror& state, std::int64_t revision, base::instant requested_at);

// How long ago the operators' part was last known true; nothing where it never was.
std::optional<base::micros> age(const store_mirror& state, base::instant now);

// The moment after which an item was written, as far as this process can tell; nothing where it may
// have been at any time.
std::optional<base::instant> written_after(const store_mirror& state, const std::string& key);

// The items whose keys begin so.
std::vector<ports::stored_value> items_with_prefix(const store_mirror& state,
                                                   const std::string& prefix);

} // namespace camphorrail::mirror
