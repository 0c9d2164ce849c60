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

// Lets at most three engines of the whole fleet load new weights at once, since loading slows down
// for all when more do. Slots are keys in the platform, taken by compare-and-swap.
//
// A load that has begun can't be called back, so a slot is not bound to a lease: it stays taken
// until its holder gives it back, or until the longest time a load may take has passed.
namespace camphorrail::loading {

struct loader_rules {
    std::size_t slots = 3;
    // The longest that a load takes, from the order to the engine's word that it is done.
    base::milliseconds max_load_time = base::minutes(10);
    // A load must begin this soon after its slot was asked for; a process that was paused longer
    // gives the slot back, or its load could outlast the slot.
    base::micros max_start_delay = base::seconds(30);
    base::micros retry_delay = base::seconds(2);
    // Bound on the difference between two VMs' wall clocks.
    base::milliseconds max_clock_skew = base::seconds(5);
};

struct event_time {
    base::instant now;
    std::int64_t wall_ms = 0;
};

enum class phase { idle, reading, acquiring, loading, releasing };

struct loader {
    base::upstream_id self;
    // Differs for every start of a process.
    std::string nonce;
    loader_rules rules;
    std::string desired_weights;
    std::string loaded_weights;
    phase state = phase::idle;
    std::string slot;
    std::int64_t slot_revision = 0;
    // Until when the slot is ours, and when we asked for it.
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
// The engine is to load these weights now. The number grows with each taking of the slot, for
// engines that refuse old orders.
struct load_action {
    std::string weights;
    std::int64_t fencing_number = 0;
};
using action = std::variant<read_action, commit_action, load_action>;
using actions = std::vector<action>;

// What the configuration wants, and what the engine says it has.
actions on_weights(loader& state, const std::string& desired_weights,
                   const std::string& loaded_weights, const event_time& at);
actions on_tick(loader& state, const event_time& at);
actions on_read(loader& state, const base::result<ports::snapshot>& answer, const event_time& at);
actions on_committed(loader& state, const base::result<ports::commit_result>& answer,
                     const event_time& at);

inline constexpr const char* slot_key_prefix = "camphorrail/loading/";

} // namespace camphorrail::loading
