#include "proxy/upstream_list.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

bool has_incarnation(const ports::listed_upstream& one) {
    return one.incarnation != base::upstream_incarnation{};
}

// A record of the list, and the store's revision at which it was last written.
struct list_entry {
    ports::listed_upstream upstream;
    std::int64_t revision = 0;
};

// Removes the records that were not written by an upstream.
void remove_foreign_entries(std::vector<list_entry>& entries, upstream_list& list) {
    const auto with_incarnation = static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(),
                      [](const auto& each) { return has_incarnation(each.upstream); }));
    if (2 * with_incarnation <= entries.size()) {
        return;
    }
    for (const auto& each : entries) {
        if (!has_incarnation(each.upstream)) {
            list.unreadable[each.upstream.id] = each.revision;
        }
    }
    std::erase_if(entries, [](const auto& each) { return !has_incarnation(each.upstream); });
}

// A process that has ended writes nothing, so of all records with the same address the one written
// last belongs to the process that has the address now.
void remove_replaced_entries(std::vector<list_entry>& entries, upstream_list& list) {
    std::map<std::string, const list_entry*> holders;
    for (const auto& each : entries) {
        auto& holder = holders[each.upstream.address];
        holder = holder == nullptr || holder->revision < each.revision ? &each : holder;
    }
    for (const auto& each : entries) {
        const auto* holder = holders.at(each.upstream.address);
        if (holder != &each) {
            list.replaced[each.upstream.id] = holder->upstream.id;
        }
    }
    std::erase_if(entries,
                  [&](const auto& each) { return list.replaced.count(each.upstream.id) > 0; });
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
    for (auto& each : entries) {
        list.upstreams.push_back(std::move(each.upstream));
    }
    return list;
}

} // namespace camphorrail::proxy
