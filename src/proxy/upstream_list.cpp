#include "proxy/upstream_list.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

bool says_its_start(const ports::listed_upstream& one) {
    return one.incarnation != base::upstream_incarnation{};
}

} // namespace

upstream_list read_upstream_list(const mirror::store_mirror& store, const ports::dialect& words) {
    upstream_list list;
    std::vector<std::int64_t> revisions;
    for (const auto& item : mirror::items_below(store, words.upstreams_prefix)) {
        auto read = words.read_upstream(item.key, item.value);
        if (read.has_value()) {
            list.upstreams.push_back(std::move(read.value()));
            revisions.push_back(item.mod_revision);
        } else {
            list.unreadable[{item.key.substr(words.upstreams_prefix.size())}] = item.mod_revision;
        }
    }
    const auto saying = static_cast<std::size_t>(
        std::count_if(list.upstreams.begin(), list.upstreams.end(), says_its_start));
    if (2 * saying <= list.upstreams.size()) {
        return list;
    }
    for (std::size_t at = 0; at < list.upstreams.size(); ++at) {
        if (!says_its_start(list.upstreams[at])) {
            list.unreadable[list.upstreams[at].id] = revisions[at];
        }
    }
    std::erase_if(list.upstreams, [](const auto& each) { return !says_its_start(each); });
    return list;
}

} // namespace camphorrail::proxy
