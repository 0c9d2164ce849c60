#include "proxy/named_weights.h"

namespace camphorrail::proxy {

bool note_named(weights_history& history, std::int64_t version, base::instant now) {
    return history.seen.emplace(version, now).second;
}

std::int64_t newest(const weights_history& history) {
    return history.seen.empty() ? 0 : history.seen.rbegin()->first;
}

base::instant outdated_since(const weights_history& history, std::int64_t version) {
    auto first = base::instant::max();
    for (auto it = history.seen.upper_bound(version); it != history.seen.end(); ++it) {
        first = std::min(first, it->second);
    }
    return first;
}

} // namespace camphorrail::proxy
