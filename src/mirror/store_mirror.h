#pragma once

#include "base/units.h"
#include "ports/platform.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::mirror {

// The version that a document states of itself. It orders the documents that their owner has
// written under one key, whatever the store does.
struct document_version {
    // Versions of different incarnations of the owner can't be compared.
    std::int64_t incarnation = 0;
    std::int64_t version = 0;
};

// What the mirror knows of the documents in the store. Without functions, all documents are ordered
// by their revisions alone.
struct document_rules {
    // Reads the version that a document states; nullopt if it states none.
    std::function<std::optional<document_version>(const std::string& key, const std::string& value)>
        read_version;
    // Whether the operators own the key. They replace their documents, but never remove them.
    std::function<bool(const std::string& key)> is_operators;
};

// An item's removal, as of a revision at which its key was absent.
struct removal {
    base::revision at;
    // The version of the removed document, if it stated one.
    std::optional<document_version> version;
};

// The local copy of the platform's store and its age. Content comes from the store or from another
// entry that can reach it. Within one era of the store both are merged by its revisions, so the
// copy never goes back to an older state.
//
// A store that was restored from an older copy of itself starts a new era. What it holds then is
// older than what the mirror holds, until its owners have written again what was lost. Over a
// restoration, items are therefore merged by the versions that their documents state. Items that
// the store has lost are retained for a while, and operators' documents until they are written
// again.
struct store_mirror {
    std::map<std::string, ports::stored_value> items;
    // All changes up to this revision are in `items`; 0 before the first read.
    base::revision revision;
    // The time just before the read that last verified the operators' part of `items`. Its clock
    // includes time spent suspended, so that a process that resumes after a freeze does not trust
    // outdated content.
    std::optional<base::instant> verified_at;
    // All changes that the store had acknowledged before this time are in `items`; empty if this
    // was never established.
    std::optional<base::instant> complete_as_of;
    // The value of `complete_as_of` when each item arrived; the item was written later than that.
    std::map<std::string, std::optional<base::instant>> written_after;
    // A revision reported by the store, not all of whose changes are in `items` yet, and the time
    // just before the request for it.
    struct store_revision {
        base::revision revision;
        base::instant requested_at{};
    };
    std::optional<store_revision> pending_revision;
    // Recently removed keys. Complete for removals after `removals_complete_after`.
    std::map<std::string, removal> removed;
    base::revision removals_complete_after;
    // How documents are compared over a restoration of the store.
    document_rules documents;
    // Items that the store has lost, and operators' documents that it holds in an older version,
    // with the revision at which the store holds their keys; number 0 if it does not have the key.
    std::map<std::string, base::revision> retained;
    // Until then, the owners of lost items may not have written them again. Empty if no items are
    // waited for.
    std::optional<base::instant> lost_items_retained_until;
    // What the store reports before that time does not make `items` complete: operators may not
    // have written again what they named before the restoration.
    std::optional<base::instant> incomplete_until;
    // Whether this process has just started and may have read a store that was restored a moment
    // ago. It can't tell, so verifications are withheld until `stop_awaiting_peers`.
    bool awaiting_peers = false;
    // When the latest withheld verification began.
    std::optional<base::instant> withheld_verification;
    // The value of `complete_as_of` at the end of the previous era.
    std::optional<base::instant> complete_before_era;
};

// How long lost items are retained. Upstreams that are alive are listed again within two seconds of
// the store's return.
inline constexpr base::milliseconds lost_item_retention{2500};

// For how long after a restoration an operators' document that appears may be one that was written
// before it, lost, and written again. Until then, what the store reports does not raise the lower
// bound on when such a document was written. Known documents are retained without a time limit.
inline constexpr base::milliseconds operators_rewrite_time{5000};

// Applies a read of the whole store that started at `began`, and returns the changed keys. Of a
// snapshot older than the mirror, only operators' documents of earlier eras are applied, if they
// are unknown here or of a higher version.
std::set<std::string> apply_snapshot(store_mirror& state, const ports::snapshot& read,
                                     base::instant began);

// The same for a read that was received later than it began. Lost items are retained from then on.
std::set<std::string> apply_snapshot(store_mirror& state, const ports::snapshot& read,
                                     base::instant began, base::instant received);

// Applies changes delivered by a watch or a peer, and returns the changed keys. Of changes from an
// earlier era than the mirror's, only operators' documents are applied, if they are unknown here or
// of a higher version. Changes from a later era are ignored: only a read of the whole store starts
// an era.
std::set<std::string> apply_changes(store_mirror& state, const ports::changes& update);

// The changes after a revision, for a peer that has all changes up to it; nothing if they are no
// longer known completely.
std::optional<ports::changes> changes_since(const store_mirror& state, base::revision revision);

// The operators' documents that are newer than the store's, for peers that may not know them.
std::vector<ports::change> retained_operators_documents(const store_mirror& state);

// The revision under which the store holds a key, for preconditions; number 0 if it does not have
// the key.
base::revision store_revision_of(const store_mirror& state, const std::string& key);

// Removes the lost items that nobody has written again in time, and returns their keys.
std::set<std::string> drop_lost_items(store_mirror& state, base::instant now);

// All that the store holds, and the operators' documents that it has lost or holds in an older
// version.
ports::changes complete_contents(const store_mirror& state);

// Records that a read started at `began` found the operators' part unchanged. Ignored while the
// store holds older operators' documents than the mirror: they say nothing of the newest ones.
void mark_verified(store_mirror& state, base::instant began);

// Withholds verifications until `stop_awaiting_peers`.
void await_peers(store_mirror& state);
void stop_awaiting_peers(store_mirror& state);

// Records that the store reported `revision` to a request sent at `requested_at`. `items` is
// complete as of that time once it has all changes up to the revision. Verifying the operators'
// part alone does not establish this: a key that was absent before may have been written. Ignored
// for another era than the mirror's, and for requests sent before `incomplete_until`: a restored
// store may still lack changes that it acknowledged before.
void record_revision(store_mirror& state, base::revision revision, base::instant requested_at);

// The time since the operators' part was last verified; nothing if it never was.
std::optional<base::micros> age(const store_mirror& state, base::instant now);

// A lower bound on the time at which an item was written; nothing if none is known.
std::optional<base::instant> written_after(const store_mirror& state, const std::string& key);

// The items whose keys start with `prefix`.
std::vector<ports::stored_value> items_with_prefix(const store_mirror& state,
                                                   const std::string& prefix);

} // namespace camphorrail::mirror
