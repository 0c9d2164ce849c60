#include "proxy/weights_history.h"

#include <algorithm>
#include <chrono>

namespace camphorrail::proxy {

namespace {

// Before the start of any VM: its clock starts at zero when it boots, and weights may have been set
// before.
constexpr base::instant distant_past{-std::chrono::hours(24 * 365)};
// A date is imprecise if the version may have been set longer than this before it was learned of.
// An entry that queries peers for the store every second does better.
constexpr base::seconds max_precise_gap{2};
// Responses based on the same view differ by their network delay, so smaller improvements are
// ignored.
constexpr base::milliseconds min_improvement{20};

bool is_imprecise(const target_record& record) {
    const auto after = latest_set_after(record);
    return !after || record.learned_at - *after > max_precise_gap;
}

} // namespace

std::optional<base::instant> latest_set_after(const target_record& record) {
    // An empty optional compares less than any time.
    return std::max(record.set_after, record.reported_set_after);
}

bool record_target(weights_history& history, std::int64_t version, const target_record& record) {
    return history.targets.emplace(version, record).second;
}

bool record_reported_target(weights_history& history, std::int64_t version,
                            std::optional<base::instant> after, base::instant now) {
    const auto [found, is_new] =
        history.targets.try_emplace(version, target_record{{}, after, now});
    auto& known = found->second;
    if (is_new) {
        // Versions only increase: a version that this entry has missed was set after the time at
        // which its view was complete without the next version it knows.
        const auto next = std::next(found);
        known.set_after = next == history.targets.end() ? std::nullopt : next->second.set_after;
        return true;
    }
    const auto before = latest_set_after(known);
    const bool closer = after && (!before || *after > *before + min_improvement);
    if (!closer || !is_imprecise(known)) {
        return false;
    }
    known.reported_set_after = after;
    return true;
}

void prune_superseded(weights_history& history, base::instant now, base::micros span) {
    const auto last =
        std::find_if(history.targets.rbegin(), history.targets.rend(),
                     [&](const auto& each) { return now - each.second.learned_at > span; });
    if (last != history.targets.rend()) {
        history.targets.erase(history.targets.begin(), std::prev(last.base()));
    }
}

bool any_learned_within(const weights_history& history, base::instant now, base::micros span) {
    return std::any_of(history.targets.begin(), history.targets.end(),
                       [&](const auto& each) { return now - each.second.learned_at <= span; });
}

bool is_imprecise(const weights_history& history, std::int64_t held) {
    return std::any_of(history.targets.upper_bound(held), history.targets.end(),
                       [](const auto& each) { return is_imprecise(each.second); });
}

std::int64_t newest_version(const weights_history& history) {
    return history.targets.empty() ? 0 : history.targets.rbegin()->first;
}

base::instant outdated_since(const weights_history& history, std::int64_t version) {
    auto first = base::instant::max();
    for (auto it = history.targets.upper_bound(version); it != history.targets.end(); ++it) {
        first = std::min(first, latest_set_after(it->second).value_or(distant_past));
    }
    return first;
}

} // namespace camphorrail::proxy
