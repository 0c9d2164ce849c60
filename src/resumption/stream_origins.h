#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstddef>
#include <limits>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorrail::resumption {

// Where a stream began: the upstream that generated its first event, and the software that the
// upstream ran then.
struct stream_origin {
    base::pool_id pool;
    base::software_version software;
    base::upstream_instance upstream;
};

// A stream, named by the request that brought its first event.
struct origin_record {
    base::request_id request;
    stream_origin origin;
    // Until then the client may resume the stream.
    base::instant expires_at{};
};

// The origins of streams that clients may still resume.
struct origin_table {
    std::unordered_map<base::request_id, origin_record> records;
    // The same by the time at which they expire.
    std::multimap<base::instant, base::request_id> by_expiry;
    // Records of requests with long names.
    std::size_t long_names = 0;
    // Memory that all records take up, in bytes, and the most that they may.
    std::size_t bytes = 0;
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
};

// Limits the table beside `max_bytes`. Clients choose the names of their requests, which may be as
// long as a head: beyond `max_bytes`, records with long names are dropped, and then those that
// expire first.
inline constexpr std::size_t max_origin_records = 50000;

// Adds a record, or extends the time for which one is kept.
void record_origin(origin_table& table, const origin_record& record);

// Nothing if the origin is unknown.
std::optional<origin_record> find_origin(const origin_table& table,
                                         const base::request_id& request);

// Drops the records that have expired.
void drop_expired(origin_table& table, base::instant now);

// The records of one pool's streams.
std::vector<origin_record> records_of_pool(const origin_table& table, const base::pool_id& pool);

// For how long the origin is kept of a stream whose client waits for `deadline`. A client resumes a
// stream within the time that it waits, and its next request may be on its way at the end of it.
base::milliseconds record_lifetime(base::milliseconds deadline);

} // namespace camphorrail::resumption
