#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <string>
#include <vector>

namespace camphorrail::config {

// What one change did to the document: the items it set and the names it dropped. A document of
// 2,000 upstreams has over half a megabyte; what a change does to it has a few hundred bytes.
struct delta {
    // The version that it is to be applied to.
    base::config_version from;
    std::string changes;
};

// The newest changes in their order, each applying to what the one before made.
struct delta_log {
    std::vector<delta> newest;
};

inline constexpr std::size_t most_deltas = 16;
inline constexpr std::size_t most_delta_bytes = 16U << 10U;

// The changes that lead from one document to another.
std::string make_changes(const std::string& before, const std::string& after);

// The document after the changes.
base::result<std::string> apply_changes(const std::string& document, const std::string& changes);

// Adds a change, and lets the oldest go where the log gets long.
void append(delta_log& log, delta next);

// The document that the log makes of one of version `have`; nothing where the log does not reach
// back that far.
base::result<std::string> catch_up(const std::string& document, base::config_version have,
                                   const delta_log& log);

std::string to_text(const delta_log& log);
base::result<delta_log> parse_deltas(const std::string& text);

} // namespace camphorrail::config
