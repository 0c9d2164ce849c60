#include "outliers/outliers.h"

#include "base/hash.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <tuple>
#include <utility>

namespace camphorrail::outliers {

namespace {

using upstream_index = std::map<base::upstream_id, const listed_upstream*>;

upstream_index index_of(const std::vector<listed_upstream>& upstreams) {
    upstream_index index;
    for (const auto& each : upstreams) {
        index[each.instance.id] = &each;
    }
    return index;
}

// Null if another incarnation is listed, or none.
const listed_upstream* find_instance(const upstream_index& index,
                                     const base::upstream_instance& upstream) {
    const auto found = index.find(upstream.id);
    const bool is_same = found != index.end() && found->second->instance == upstream;
    return is_same ? found->second : nullptr;
}

void drop_oldest_report(outlier_state& state) {
    const base::upstream_instance* upstream = nullptr;
    const base::entry_id* entry = nullptr;
    base::instant oldest = base::instant::max();
    for (const auto& [instance, reporters] : state.reports) {
        for (const auto& [id, at] : reporters) {
            if (at < oldest) {
                std::tie(upstream, entry, oldest) = std::tuple(&instance, &id, at);
            }
        }
    }
    if (upstream != nullptr) {
        const auto reporters = state.reports.find(*upstream);
        reporters->second.erase(*entry);
        if (reporters->second.empty()) {
            state.reports.erase(reporters);
        }
    }
}

std::size_t count_reports(const outlier_state& state) {
    std::size_t count = 0;
    for (const auto& [upstream, reporters] : state.reports) {
        count += reporters.size();
    }
    return count;
}

// Drops reports that are too old or that a later byte refutes. Those about incarnations that are
// not listed are kept until then, since the list may be late.
void prune_reports(outlier_state& state, const surroundings& known, const upstream_index& index,
                   const outlier_rules& rules) {
    for (auto& [upstream, reporters] : state.reports) {
        const auto* listed = find_instance(index, upstream);
        const base::instant refuted_until =
            listed == nullptr ? base::instant{} : listed->last_byte_at - rules.byte_time_margin;
        std::erase_if(reporters, [&](const auto& report) {
            return known.now - report.second > rules.report_lifetime ||
                   report.second < refuted_until;
        });
    }
    std::erase_if(state.reports, [](const auto& each) { return each.second.empty(); });
}

// A restored store may lack the registrations of entries that still run.
std::size_t needed_reports(const surroundings& known) {
    return quorum(std::max(known.entries.size(), known.linked_entries + 1));
}

std::optional<cause> end_of(const common_suspicion& suspicion, const base::upstream_id& id,
                            const surroundings& known, const upstream_index& index,
                            const outlier_rules& rules) {
    const auto* listed = find_instance(index, {id, suspicion.incarnation});
    if (listed == nullptr) {
        return cause::restarted_or_unlisted;
    }
    if (listed->last_byte_at > suspicion.since + rules.byte_time_margin) {
        return cause::byte_received;
    }
    if (known.linked_entries + 1 < needed_reports(known)) {
        return cause::cut_off;
    }
    if (known.now - suspicion.last_report_at > rules.suspicion_lifetime) {
        return cause::no_more_reports;
    }
    return std::nullopt;
}

void end_suspicions(outlier_state& state, const surroundings& known, const upstream_index& index,
                    const outlier_rules& rules, std::vector<suspicion_change>& changes) {
    for (auto it = state.suspicions.begin(); it != state.suspicions.end();) {
        const auto& [id, suspicion] = *it;
        const auto why = end_of(suspicion, id, known, index, rules);
        if (why) {
            changes.push_back({{id, suspicion.incarnation}, *why, suspicion.since, 0});
        }
        it = why ? state.suspicions.erase(it) : std::next(it);
    }
}

// An entry that is cut off from a part of the network reports all upstreams there, which says
// nothing about them. Compared are only entries that report anything: when many upstreams fail at
// once, those that notice first must not be disregarded because the others have not noticed yet.
void update_disregarded(outlier_state& state, const outlier_rules& rules) {
    std::map<base::entry_id, std::size_t> counts;
    for (const auto& [upstream, reporters] : state.reports) {
        for (const auto& [entry, at] : reporters) {
            ++counts[entry];
        }
    }
    std::vector<std::size_t> sorted;
    sorted.reserve(counts.size());
    for (const auto& [entry, count] : counts) {
        sorted.push_back(count);
    }
    std::sort(sorted.begin(), sorted.end());
    state.disregarded.clear();
    for (const auto& [entry, count] : counts) {
        // The lower median of the other entries' counts: this entry's own is above all of those up
        // to the median, or it is not excessive.
        const std::size_t usual = sorted.size() < 2 ? count : sorted[(sorted.size() - 2) / 2];
        if (count > std::max(rules.min_excessive_reports, rules.excessive_report_factor * usual)) {
            state.disregarded.insert(entry);
        }
    }
}

// The times of the reports about one upstream that count, the earliest first.
std::vector<base::instant> counted_times(const outlier_state& state,
                                         const std::map<base::entry_id, base::instant>& reporters) {
    std::vector<base::instant> times;
    for (const auto& [entry, at] : reporters) {
        if (state.disregarded.count(entry) == 0) {
            times.push_back(at);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

void begin_suspicions(outlier_state& state, const surroundings& known, const upstream_index& index,
                      std::vector<suspicion_change>& changes) {
    const std::size_t needed = needed_reports(known);
    for (const auto& [upstream, reporters] : state.reports) {
        const auto times = counted_times(state, reporters);
        if (times.empty() || find_instance(index, upstream) == nullptr) {
            continue;
        }
        const auto found = state.suspicions.find(upstream.id);
        if (found != state.suspicions.end()) {
            found->second.last_report_at = std::max(found->second.last_report_at, times.back());
        } else if (times.size() >= needed && known.linked_entries + 1 >= needed) {
            const base::instant since = times[needed - 1];
            state.suspicions[upstream.id] = {upstream.incarnation, since, times.back(), false};
            changes.push_back({upstream, cause::quorum, since, times.size()});
        }
    }
}

// Excludes the upstreams that were suspected first, up to half of each pool. If more fail at once,
// the cause is probably on the entries' side.
void update_excluded(outlier_state& state, const surroundings& known) {
    std::map<base::pool_id, std::size_t> sizes;
    std::map<base::pool_id, std::vector<std::pair<base::instant, base::upstream_id>>> suspected;
    for (const auto& each : known.upstreams) {
        ++sizes[each.pool];
        const auto found = state.suspicions.find(each.instance.id);
        if (found != state.suspicions.end()) {
            suspected[each.pool].emplace_back(found->second.since, each.instance.id);
        }
    }
    for (auto& [pool, ranked] : suspected) {
        std::sort(ranked.begin(), ranked.end());
        for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
            state.suspicions.at(ranked[rank].second).is_excluded = rank < sizes[pool] / 2;
        }
    }
}

} // namespace

std::size_t quorum(std::size_t entries) {
    // Two entries, three of 8 or more, four of 64 or more.
    const int doublings = static_cast<int>(std::bit_width(std::max<std::size_t>(entries, 1))) - 1;
    return 2 + static_cast<std::size_t>(doublings / 3);
}

void record_report(outlier_state& state, const base::upstream_instance& upstream,
                   const base::entry_id& from, base::instant at, const outlier_rules& rules) {
    const auto [report, is_new] = state.reports[upstream].emplace(from, at);
    report->second = std::max(report->second, at);
    if (is_new && count_reports(state) > rules.max_reports) {
        drop_oldest_report(state);
    }
}

std::vector<suspicion_change>
record_byte(outlier_state& state, const base::upstream_instance& upstream, base::instant at) {
    if (const auto reports = state.reports.find(upstream); reports != state.reports.end()) {
        std::erase_if(reports->second, [at](const auto& report) { return report.second <= at; });
    }
    const auto found = state.suspicions.find(upstream.id);
    const bool is_cleared = found != state.suspicions.end() &&
                            found->second.incarnation == upstream.incarnation &&
                            at > found->second.since;
    if (!is_cleared) {
        return {};
    }
    const suspicion_change change{upstream, cause::byte_received, found->second.since, 0};
    state.suspicions.erase(found);
    return {change};
}

std::vector<suspicion_change> update(outlier_state& state, const surroundings& now_known,
                                     const outlier_rules& rules) {
    std::vector<suspicion_change> changes;
    const auto index = index_of(now_known.upstreams);
    prune_reports(state, now_known, index, rules);
    update_disregarded(state, rules);
    end_suspicions(state, now_known, index, rules, changes);
    begin_suspicions(state, now_known, index, changes);
    update_excluded(state, now_known);
    return changes;
}

std::int64_t probe_turn(const common_suspicion& suspicion, base::instant now,
                        const outlier_rules& rules) {
    return std::max<std::int64_t>((now - suspicion.since) / rules.probe_turn, 0);
}

base::entry_id prober(const base::upstream_id& upstream, std::int64_t turn,
                      const std::vector<base::entry_id>& entries) {
    if (entries.empty()) {
        return {};
    }
    const std::uint64_t key = base::stable_hash(upstream.value);
    std::vector<std::pair<std::uint64_t, base::entry_id>> ranked;
    ranked.reserve(entries.size());
    for (const auto& entry : entries) {
        ranked.emplace_back(base::combine_hashes(base::stable_hash(entry.value), key), entry);
    }
    const auto rank = ranked.begin() + turn % static_cast<std::int64_t>(ranked.size());
    std::nth_element(ranked.begin(), rank, ranked.end());
    return rank->second;
}

const char* name_of(cause why) {
    switch (why) {
    case cause::quorum:
        return "quorum";
    case cause::byte_received:
        return "byte_received";
    case cause::restarted_or_unlisted:
        return "restarted_or_unlisted";
    case cause::no_more_reports:
        return "no_more_reports";
    case cause::cut_off:
        return "cut_off";
    }
    return "";
}

} // namespace camphorrail::outliers
