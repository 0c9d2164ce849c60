#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"
#include "ports/platform.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// Limits the engines that load new weights at the same time to three in the whole fleet, because
// more concurrent loads slow down all of them. Slots are keys in the platform's store, acquired by
// compare-and-swap.
//
// A load can't be cancelled once it has started, so a slot is not bound to a lease. It stays
// occupied until its holder releases it or the maximum load time has passed.
namespace camphorrail::loading {

struct loader_rules {
    std::size_t slots = 3;
    // The maximum time from the load order until the engine reports completion.
    base::milliseconds max_load_time = base::minutes(10);
    // The maximum time from the request for a slot to the start of the load. A process that was
    // paused for longer releases the slot, as its load could outlast the slot.
    base::micros max_start_delay = base::seconds(30);
    base::micros retry_delay = base::seconds(2);
    // The maximum difference between the wall clocks of two VMs.
    base::milliseconds max_clock_skew = base::seconds(5);
};

struct event_time {
    base::instant now;
    std::int64_t wall_ms = 0;
};

enum class phase { idle, reading, acquiring, loading, releasing };

struct loader {
    base::upstream_id self;
    // Unique for each start of a process.
    std::string nonce;
    loader_rules rules;
    std::string desired_weights;
    std::string loaded_weights;
    phase state = phase::idle;
    std::string slot;
    base::revision slot_revision;
    // When the acquired slot expires, and when it was requested.
    std::int64_t expires_ms = 0;
    base::instant requested_at{};
    base::instant retry_at{};
};

struct read_action {
    std::string prefix;
};
struct commit_action {
    ports::transaction change;
};
// The engine has to load these weights now. The fencing number grows with each acquisition of the
// slot, for engines that reject outdated orders.
struct load_action {
    std::string weights;
    std::int64_t fencing_number = 0;
};
using action = std::variant<read_action, commit_action, load_action>;
using actions = std::vector<action>;

// Updates the weights that the configuration demands and those that the engine reports.
actions on_weights(loader& state, const std::string& desired_weights,
                   const std::string& loaded_weights, const event_time& at);
actions on_tick(loader& state, const event_time& at);
actions on_read(loader& state, const base::result<ports::snapshot>& answer, const event_time& at);
actions on_committed(loader& state, const base::result<ports::commit_result>& answer,
                     const event_time& at);

inline constexpr const char* slot_key_prefix = "camphorrail/loading/";

} // namespace camphorrail::loading
