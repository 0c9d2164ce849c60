#include "proxy/upstream_list.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

bool has_incarnation(const ports::listed_upstream& upstream) {
    return upstream.incarnation != base::upstream_incarnation{};
}

// A record of the list, and the store's revision at which it was last written.
struct list_entry {
    ports::listed_upstream upstream;
    base::revision revision;
};

// Removes the records that were not written by an upstream.
void remove_foreign_entries(std::vector<list_entry>& entries, upstream_list& list) {
    const auto with_incarnation = static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(),
                      [](const auto& entry) { return has_incarnation(entry.upstream); }));
    if (2 * with_incarnation <= entries.size()) {
        return;
    }
    for (const auto& entry : entries) {
        if (!has_incarnation(entry.upstream)) {
            list.unreadable[entry.upstream.id] = entry.revision;
        }
    }
    std::erase_if(entries, [](const auto& entry) { return !has_incarnation(entry.upstream); });
}

// A process that has ended writes nothing, so of all records with the same address the one written
// last belongs to the process that has the address now.
void remove_replaced_entries(std::vector<list_entry>& entries, upstream_list& list) {
    std::map<std::string, const list_entry*> holders;
    for (const auto& entry : entries) {
        auto& holder = holders[entry.upstream.address];
        holder = holder == nullptr || holder->revision < entry.revision ? &entry : holder;
    }
    for (const auto& entry : entries) {
        const auto* holder = holders.at(entry.upstream.address);
        if (holder != &entry) {
            list.replaced[entry.upstream.id] = holder->upstream.id;
        }
    }
    std::erase_if(entries,
                  [&](const auto& entry) { return list.replaced.count(entry.upstream.id) > 0; });
}

} // namespace

upstream_list read_upstream_list(const mirror::store_mirror& store,
                                 const ports::platform_codec& codec) {
    upstream_list list;
    std::vector<list_entry> entries;
    for (const auto& item : mirror::items_with_prefix(store, codec.upstreams_prefix)) {
        auto read = codec.parse_upstream(item.key, item.value);
        if (read.has_value()) {
            entries.push_back({std::move(read.value()), item.mod_revision});
        } else {
            list.unreadable[{item.key.substr(codec.upstreams_prefix.size())}] = item.mod_revision;
        }
    }
    remove_foreign_entries(entries, list);
    remove_replaced_entries(entries, list);
    for (auto& entry : entries) {
        list.upstreams.push_back(std::move(entry.upstream));
    }
    return list;
}

} // namespace camphorrail::proxy
