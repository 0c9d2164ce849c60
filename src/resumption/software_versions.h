#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <map>
#include <optional>
#include <set>
#include <string>

// Where streams began, and which upstreams may continue them. What two versions of an upstream's
// software generate does not fit together, so a stream continues only at the version that began it.
namespace camphorrail::resumption {

// Whether the engines of a version may begin streams yet.
enum class introduction { announced, active };

// The versions of a pool whose engines may have begun streams that clients can still resume. Kept
// in the platform's store, so that entries that start later, or all at once, know of them.
using version_record = std::map<base::software_version, introduction>;

// Encodes a record as the JSON value of its key in the store.
std::string encode(const version_record& record);

// Nothing if the text is not a record.
std::optional<version_record> parse_record(const std::string& text);

struct version_rules {
    // Longest time between the announcement of a version and the first stream that it begins.
    // Shorter if all entries are known to have seen the announcement.
    base::milliseconds introduction_time{2000};
    // An entry resumes a stream without a record of its origin, at the pool's only version, if its
    // view of the whole store is not older than this. Shorter than `introduction_time`: such an
    // entry would know of the announcement of any other version that has begun a stream.
    base::milliseconds max_view_age{1700};
    // A version that no engine runs any more is dropped after this time. Longer than any client
    // waits for a stream.
    base::minutes retirement_time{10};
};

// What an entry knows of one version of a pool.
struct known_version {
    introduction state = introduction::announced;
    // When this entry learned of the announcement.
    base::instant announced_at{};
    // When this entry last knew of an engine with this version.
    base::instant last_running_at{};
};

// What an entry knows of a pool's versions.
struct pool_versions {
    // Whether the store holds a record of the pool.
    bool recorded = false;
    std::map<base::software_version, known_version> known;
};

// Applies the pool's record, or its absence, as the store holds it now. A version that the store
// has lost is announced anew: an entry that read the store meanwhile does not know of it.
void apply_record(pool_versions& state, const std::optional<version_record>& record,
                  base::instant now, const version_rules& rules);

// Records which versions the pool's engines run now.
void record_running(pool_versions& state, const std::set<base::software_version>& running,
                    base::instant now);

// A pool's record as the store holds it.
struct stored_record {
    // Empty if there is none.
    std::optional<version_record> versions;
    // All entries have seen it.
    bool seen_by_all = false;
};

// The record that the store should hold; nothing if it holds that already, or if no engine of the
// pool is known.
std::optional<version_record> next_record(const pool_versions& state, const stored_record& stored,
                                          const std::set<base::software_version>& running,
                                          base::instant now, const version_rules& rules);

// Whether engines of the version may begin streams. A version that the store has not recorded, or
// recorded a moment ago, begins none: an entry with an older view of the store would resume them at
// the version that it believes to be the only one.
bool may_begin_streams(const pool_versions& state, const base::software_version& version);

// Whether some version waits for its introduction.
bool has_announced_version(const pool_versions& state);

// Whether streams of the pool may have begun on different versions.
bool has_several_versions(const pool_versions& state);

// The version that began every stream of the pool that can still be resumed; nothing if there may
// be several, or if the store holds no record.
std::optional<base::software_version> only_version(const pool_versions& state);

} // namespace camphorrail::resumption
