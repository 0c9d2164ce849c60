#include "resumption/stream_origins.h"

#include <algorithm>
#include <iterator>

namespace camphorrail::resumption {

namespace {

constexpr base::milliseconds transit_time{2000};
// Below `version_rules::retirement_time`, so that a record outlives no version.
constexpr base::minutes max_lifetime{8};

// Longer names of requests give way to others, in bytes.
constexpr std::size_t max_short_name = 256;
// Pointers and the like of both maps for one record.
constexpr std::size_t node_bytes = 128;

std::size_t memory_of(const origin_record& record) {
    // The request stands in both maps and in the record itself.
    constexpr std::size_t copies = 3;
    return sizeof(origin_record) + 2 * sizeof(base::request_id) + node_bytes +
           copies * record.request.value.size() + record.origin.pool.value.size() +
           record.origin.software.value.size() + record.origin.upstream.id.value.size();
}

using expiry_position = std::multimap<base::instant, base::request_id>::iterator;

expiry_position find_expiry(origin_table& table, const origin_record& record) {
    const auto [first, last] = table.by_expiry.equal_range(record.expires_at);
    return std::find_if(first, last,
                        [&](const auto& each) { return each.second == record.request; });
}

bool has_long_name(const origin_record& record) {
    return record.request.value.size() > max_short_name;
}

expiry_position erase(origin_table& table, expiry_position at) {
    const auto found = table.records.find(at->second);
    table.bytes -= memory_of(found->second);
    table.long_names -= has_long_name(found->second) ? 1 : 0;
    table.records.erase(found);
    return table.by_expiry.erase(at);
}

void erase_long_names(origin_table& table) {
    auto next = table.by_expiry.begin();
    while (next != table.by_expiry.end()) {
        next = has_long_name(table.records.at(next->second)) ? erase(table, next) : std::next(next);
    }
}

void shrink(origin_table& table) {
    if (table.bytes > table.max_bytes && table.long_names > 0) {
        erase_long_names(table);
    }
    while (table.records.size() > max_origin_records || table.bytes > table.max_bytes) {
        erase(table, table.by_expiry.begin());
    }
}

} // namespace

void record_origin(origin_table& table, const origin_record& record) {
    const auto [found, is_new] = table.records.try_emplace(record.request, record);
    if (is_new) {
        table.bytes += memory_of(record);
        table.long_names += has_long_name(record) ? 1 : 0;
    } else if (found->second.expires_at >= record.expires_at) {
        return;
    } else {
        table.by_expiry.erase(find_expiry(table, found->second));
    }
    found->second.expires_at = record.expires_at;
    table.by_expiry.emplace(record.expires_at, record.request);
    shrink(table);
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
