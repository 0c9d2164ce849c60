#include "proxy/named_weights.h"

namespace camphorrail::proxy {

namespace {

// The start of the clock, which is the start of the VM.
constexpr base::instant long_ago{};

} // namespace

bool note_named(weights_history& history, std::int64_t version, base::instant now) {
    return history.seen.emplace(version, now).second;
}

bool note_found(weights_history& history, std::int64_t version) {
    return history.seen.emplace(version, long_ago).second;
}

void note_told(weights_history& history, std::int64_t version, base::instant at) {
    const auto [found, is_new] = history.seen.emplace(version, at);
    if (!is_new && (!is_dated(found->second) || at < found->second)) {
        found->second = at;
    }
}

bool is_dated(base::instant seen) {
    return seen != long_ago;
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
