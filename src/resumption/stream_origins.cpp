#include "resumption/stream_origins.h"

#include <algorithm>

namespace camphorrail::resumption {

namespace {

constexpr base::milliseconds transit_time{2000};
// Below `version_rules::retirement_time`, so that a record outlives no version.
constexpr base::minutes max_lifetime{8};

void erase(origin_table& table, std::multimap<base::instant, base::request_id>::iterator at) {
    const auto found = table.records.find(at->second);
    // A record that was extended stands under its new time too.
    if (found != table.records.end() && found->second.expires_at <= at->first) {
        table.records.erase(found);
    }
    table.by_expiry.erase(at);
}

} // namespace

void record_origin(origin_table& table, const origin_record& record) {
    const auto [found, is_new] = table.records.try_emplace(record.request, record);
    if (!is_new && found->second.expires_at >= record.expires_at) {
        return;
    }
    found->second.expires_at = record.expires_at;
    table.by_expiry.emplace(record.expires_at, record.request);
    while (table.records.size() > max_origin_records) {
        erase(table, table.by_expiry.begin());
    }
}

std::optional<origin_record> find_origin(const origin_table& table,
                                         const base::request_id& request) {
    const auto found = table.records.find(request);
    return found == table.records.end() ? std::nullopt : std::optional(found->second);
}

void drop_expired(origin_table& table, base::instant now) {
    while (!table.by_expiry.empty() && table.by_expiry.begin()->first <= now) {
        erase(table, table.by_expiry.begin());
    }
}

std::vector<origin_record> records_of_pool(const origin_table& table, const base::pool_id& pool) {
    std::vector<origin_record> found;
    for (const auto& [request, record] : table.records) {
        if (record.origin.pool == pool) {
            found.push_back(record);
        }
    }
    // The order of the hash map differs between builds, and a recorded day could not be replayed.
    std::sort(found.begin(), found.end(),
              [](const auto& left, const auto& right) { return left.request < right.request; });
    return found;
}

base::milliseconds record_lifetime(base::milliseconds deadline) {
    return std::min<base::milliseconds>(deadline + transit_time, max_lifetime);
}

} // namespace camphorrail::resumption
