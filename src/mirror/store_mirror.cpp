#include "mirror/store_mirror.h"

#include <algorithm>
#include <utility>

namespace camphorrail::mirror {

namespace {

// Upstreams come and go by the dozen; a peer that is further behind reads everything.
constexpr std::size_t max_removed_keys = 256;

void record_removal(store_mirror& state, const std::string& key, const removal& seen) {
    auto& known = state.removed[key];
    if (known.at < seen.at) {
        known = seen;
    }
    if (state.removed.size() <= max_removed_keys) {
        return;
    }
    const auto oldest = std::min_element(
        state.removed.begin(), state.removed.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
    state.removals_complete_after = std::max(state.removals_complete_after, oldest->second.at);
    state.removed.erase(oldest);
}

bool is_operators(const store_mirror& state, const std::string& key) {
    return state.documents.is_operators && state.documents.is_operators(key);
}

std::optional<document_version> version_of(const store_mirror& state,
                                           const ports::stored_value& item) {
    return state.documents.read_version ? state.documents.read_version(item.key, item.value)
                                        : std::nullopt;
}

bool is_newer(const std::optional<document_version>& first,
              const std::optional<document_version>& second) {
    return first && second && first->incarnation == second->incarnation &&
           first->version > second->version;
}

// Whether the first document states a higher version than the second.
bool is_newer_document(const store_mirror& state, const ports::stored_value& first,
                       const ports::stored_value& second) {
    return is_newer(version_of(state, first), version_of(state, second));
}

// Whether an item is from an earlier era than the store's contents.
bool from_earlier_era(const store_mirror& state, const ports::stored_value& item) {
    return item.mod_revision.era < state.revision.era;
}

// Whether the copy from which the store was restored still holds a document that had been removed,
// in this version or a later one.
bool was_removed_before_restoration(const store_mirror& state, const ports::stored_value& item,
                                    const removal& removed) {
    const auto version = version_of(state, item);
    return removed.at.era < item.mod_revision.era && removed.version && version &&
           removed.version->incarnation == version->incarnation &&
           removed.version->version >= version->version;
}

void store_item(store_mirror& state, const ports::stored_value& item) {
    auto& stored = state.items[item.key];
    // An unchanged document that is written again keeps its date.
    if (stored.value != item.value || state.written_after.count(item.key) == 0) {
        state.written_after[item.key] =
            from_earlier_era(state, item) ? state.complete_before_era : state.complete_as_of;
    }
    stored = item;
}

// Retains an operators' document of an earlier era if it is newer than the one known so far.
bool retain_operators_document(store_mirror& state, const ports::stored_value& item) {
    if (!is_operators(state, item.key) || !from_earlier_era(state, item)) {
        return false;
    }
    const auto found = state.items.find(item.key);
    const bool is_known = found != state.items.end();
    if (is_known && found->second.value == item.value && from_earlier_era(state, found->second)) {
        // Another entry retains the same document, so the store does not hold it here either.
        state.retained.emplace(item.key, base::revision{state.revision.era, 0});
        return false;
    }
    if (is_known && !is_newer_document(state, item, found->second)) {
        return false;
    }
    const bool store_has_key = is_known && !from_earlier_era(state, found->second);
    const base::revision in_store =
        store_has_key ? found->second.mod_revision : base::revision{state.revision.era, 0};
    state.retained.emplace(item.key, in_store);
    store_item(state, item);
    return true;
}

// Ignores writes older than the removal of their key. The removal would not be reported a second
// time, so an upstream that has left would stay in the list.
bool apply_write(store_mirror& state, const ports::stored_value& item) {
    if (from_earlier_era(state, item)) {
        return retain_operators_document(state, item);
    }
    const auto removed = state.removed.find(item.key);
    if (removed != state.removed.end()) {
        if (removed->second.at >= item.mod_revision ||
            was_removed_before_restoration(state, item, removed->second)) {
            return false;
        }
        state.removed.erase(removed);
    }
    const auto stored = state.items.find(item.key);
    if (stored == state.items.end()) {
        store_item(state, item);
        return true;
    }
    if (stored->second.mod_revision >= item.mod_revision) {
        return false;
    }
    const bool held_from_earlier_era = from_earlier_era(state, stored->second);
    if (held_from_earlier_era && is_newer_document(state, stored->second, item)) {
        if (is_operators(state, item.key)) {
            state.retained[item.key] = item.mod_revision;
        } else {
            // A live owner soon writes a newer one; the entry of a dead one ends with its lease,
            // which the store reports as a removal.
            stored->second.mod_revision = item.mod_revision;
            state.retained.erase(item.key);
        }
        return false;
    }
    const bool is_changed = !held_from_earlier_era || stored->second.value != item.value;
    state.retained.erase(item.key);
    store_item(state, item);
    return is_changed;
}

void remove_item(store_mirror& state, const std::string& key) {
    state.items.erase(key);
    state.written_after.erase(key);
    state.retained.erase(key);
}

// Records a removal even if the key is not present, because a paged read of the store may already
// have missed the key. If peers were not sent the removal, they would keep the key at this mirror's
// revision and send requests to an upstream that has left.
bool apply_removal(store_mirror& state, const ports::stored_value& item) {
    const auto found = state.items.find(item.key);
    const bool stored = found != state.items.end();
    if (stored && found->second.mod_revision >= item.mod_revision) {
        return false;
    }
    removal seen{item.mod_revision, {}};
    if (stored) {
        seen.version = version_of(state, found->second);
        remove_item(state, item.key);
    }
    record_removal(state, item.key, seen);
    return stored;
}

// Marks all changes up to `revision` as present in the items.
void advance_to(store_mirror& state, base::revision revision) {
    state.revision = std::max(state.revision, revision);
    if (!state.pending_revision || state.pending_revision->revision > state.revision) {
        return;
    }
    const auto reached = *state.pending_revision;
    state.pending_revision.reset();
    record_revision(state, reached.revision, reached.requested_at);
}

// Applies the operators' documents that are newer than the mirror's.
std::set<std::string> apply_operators_documents(store_mirror& state,
                                                const std::vector<ports::stored_value>& items) {
    std::set<std::string> changed;
    for (const auto& item : items) {
        if (retain_operators_document(state, item)) {
            changed.insert(item.key);
        }
    }
    return changed;
}

// Starts the first era that this mirror sees, or the next one after a restoration of the store.
void begin_era(store_mirror& state, const base::revision& revision, base::instant now) {
    if (state.revision != base::revision{}) {
        state.lost_items_retained_until = now + lost_item_retention;
        state.incomplete_until = now + operators_rewrite_time;
    }
    state.complete_before_era = state.complete_as_of;
    state.pending_revision.reset();
    // Removals before are unknown, or can't be ordered with the changes to come.
    state.removals_complete_after = revision;
    state.revision = revision;
}

// Retains the items of earlier eras that the first read of an era does not contain.
void retain_lost_items(store_mirror& state, const std::set<std::string>& present) {
    for (const auto& [key, item] : state.items) {
        if (present.count(key) == 0 && from_earlier_era(state, item)) {
            state.retained[key] = {state.revision.era, 0};
        }
    }
}

// Removes the items that a read of the store did not contain, except retained ones.
std::set<std::string> remove_absent_items(store_mirror& state, const std::set<std::string>& present,
                                          const base::revision& revision) {
    std::set<std::string> absent;
    for (const auto& [key, item] : state.items) {
        if (present.count(key) == 0 && state.retained.count(key) == 0 &&
            item.mod_revision <= revision) {
            absent.insert(key);
        }
    }
    for (const auto& key : absent) {
        record_removal(state, key, {revision, version_of(state, state.items.at(key))});
        remove_item(state, key);
    }
    return absent;
}

} // namespace

std::set<std::string> apply_snapshot(store_mirror& state, const ports::snapshot& read,
                                     base::instant began) {
    return apply_snapshot(state, read, began, began);
}

std::set<std::string> apply_snapshot(store_mirror& state, const ports::snapshot& read,
                                     base::instant began, base::instant received) {
    if (read.revision < state.revision) {
        return apply_operators_documents(state, read.values);
    }
    const bool is_new_era =
        read.revision.era > state.revision.era || state.revision == base::revision{};
    if (is_new_era) {
        begin_era(state, read.revision, received);
    }
    std::set<std::string> changed;
    std::set<std::string> present;
    for (const auto& item : read.values) {
        present.insert(item.key);
        if (apply_write(state, item)) {
            changed.insert(item.key);
        }
    }
    if (is_new_era) {
        retain_lost_items(state, present);
    }
    changed.merge(remove_absent_items(state, present, read.revision));
    advance_to(state, read.revision);
    mark_verified(state, began);
    return changed;
}

std::set<std::string> apply_changes(store_mirror& state, const ports::changes& update) {
    std::set<std::string> changed;
    if (update.revision.era != state.revision.era) {
        std::vector<ports::stored_value> written;
        for (const auto& each : update.items) {
            if (!each.deleted) {
                written.push_back(each.item);
            }
        }
        return apply_operators_documents(state, written);
    }
    for (const auto& each : update.items) {
        if (each.deleted ? apply_removal(state, each.item) : apply_write(state, each.item)) {
            changed.insert(each.item.key);
        }
    }
    advance_to(state, update.revision);
    return changed;
}

std::set<std::string> drop_lost_items(store_mirror& state, base::instant now) {
    std::set<std::string> lost;
    if (!state.lost_items_retained_until || now < *state.lost_items_retained_until) {
        return lost;
    }
    state.lost_items_retained_until.reset();
    for (const auto& [key, in_store] : state.retained) {
        if (!is_operators(state, key)) {
            lost.insert(key);
        }
    }
    for (const auto& key : lost) {
        record_removal(state, key, {state.revision, version_of(state, state.items.at(key))});
        remove_item(state, key);
    }
    return lost;
}

ports::changes complete_contents(const store_mirror& state) {
    ports::changes all;
    all.revision = state.revision;
    for (const auto& [key, item] : state.items) {
        if (!from_earlier_era(state, item) || is_operators(state, key)) {
            all.items.push_back({item, false});
        }
    }
    return all;
}

std::optional<ports::changes> changes_since(const store_mirror& state, base::revision revision) {
    if (revision.era != state.revision.era || revision < state.removals_complete_after) {
        return std::nullopt;
    }
    ports::changes since;
    since.revision = state.revision;
    for (const auto& [key, item] : state.items) {
        if (item.mod_revision > revision) {
            since.items.push_back({item, false});
        }
    }
    for (const auto& [key, removed] : state.removed) {
        if (removed.at > revision) {
            since.items.push_back({{key, "", removed.at}, true});
        }
    }
    return since;
}

std::vector<ports::change> retained_operators_documents(const store_mirror& state) {
    std::vector<ports::change> found;
    for (const auto& [key, revision] : state.retained) {
        const auto item = state.items.find(key);
        if (is_operators(state, key) && item != state.items.end()) {
            found.push_back({item->second, false});
        }
    }
    return found;
}

base::revision store_revision_of(const store_mirror& state, const std::string& key) {
    const auto retained = state.retained.find(key);
    if (retained != state.retained.end()) {
        return retained->second;
    }
    const auto item = state.items.find(key);
    return item == state.items.end() ? base::revision{} : item->second.mod_revision;
}

void mark_verified(store_mirror& state, base::instant began) {
    if (!retained_operators_documents(state).empty()) {
        return;
    }
    if (state.awaiting_peers) {
        state.withheld_verification = std::max(state.withheld_verification, {began});
        return;
    }
    if (!state.verified_at || *state.verified_at < began) {
        state.verified_at = began;
    }
}

void await_peers(store_mirror& state) {
    state.awaiting_peers = true;
}

void stop_awaiting_peers(store_mirror& state) {
    state.awaiting_peers = false;
    if (const auto began = std::exchange(state.withheld_verification, std::nullopt)) {
        mark_verified(state, *began);
    }
}

void record_revision(store_mirror& state, base::revision revision, base::instant requested_at) {
    const bool is_incomplete = state.incomplete_until && requested_at < *state.incomplete_until;
    if (revision.era != state.revision.era || is_incomplete) {
        return;
    }
    if (revision <= state.revision) {
        state.complete_as_of = std::max(state.complete_as_of.value_or(requested_at), requested_at);
        return;
    }
    // A higher revision than the pending one is reached later. If it replaced the pending revision
    // each time, none might ever be reached.
    const bool lower_revision =
        !state.pending_revision || revision < state.pending_revision->revision;
    const bool newer_request = state.pending_revision &&
                               revision == state.pending_revision->revision &&
                               requested_at > state.pending_revision->requested_at;
    if (lower_revision || newer_request) {
        state.pending_revision = {revision, requested_at};
    }
}

std::optional<base::micros> age(const store_mirror& state, base::instant now) {
    return state.verified_at ? std::optional(now - *state.verified_at) : std::nullopt;
}

std::optional<base::instant> written_after(const store_mirror& state, const std::string& key) {
    const auto found = state.written_after.find(key);
    return found == state.written_after.end() ? std::nullopt : found->second;
}

std::vector<ports::stored_value> items_with_prefix(const store_mirror& state,
                                                   const std::string& prefix) {
    std::vector<ports::stored_value> found;
    for (auto it = state.items.lower_bound(prefix);
         it != state.items.end() && it->first.starts_with(prefix); ++it) {
        found.push_back(it->second);
    }
    return found;
}

} // namespace camphorrail::mirror
