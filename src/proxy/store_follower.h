#pragma once

#include "adapters/timer.h"
#include "proxy/context.h"
#include "proxy/peer_messages.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Keeps the entry's mirror of the platform's store: one long watch tells of changes, and a cheap
// conditional read proves, about once a second, that nothing was missed. A quiet watch is no proof:
// it may be cut off without a sign, and the store may drop history that it has not told.
//
// Three entries do so and tell the others, which ask them for proofs; with twenty entries that all
// watched, each change in the store cost twenty calls. An entry that gets no proof from the others
// follows the store itself, so none depends on them.
class store_follower {
public:
    store_follower(entry_context& context, ports::platform platform);

    void start();
    // Begins to watch the store or leaves it to others, as it is this entry's turn.
    void tick();
    // Reads the whole store, as another entry says that something large has changed.
    void read_again() { this->read_all(); }
    // Entries that a link stands to; to be set before the start.
    std::function<std::vector<base::entry_id>()> linked_entries;
    // Tells them what has changed; to be set before the start.
    std::function<void(const peer_store_changes&)> tell;
    // Whether this entry watches the store itself.
    [[nodiscard]] bool following() const { return this->is_following; }
    // Whether the store has answered lately.
    [[nodiscard]] bool reachable() const { return this->failures == 0 && this->read_once; }

    // Told after the mirror has changed, with the keys.
    std::function<void(const std::set<std::string>&)> changed;
    // Told when a proof fails, and when one succeeds again.
    std::function<void(bool reachable)> reachable_changed;

private:
    void read_all();
    void watch();
    void prove();
    void prove_later(base::micros delay);
    void note_answer(bool answered);
    void apply(std::int64_t revision_before, const std::set<std::string>& keys);
    void tell_changes(std::int64_t revision_before, const std::set<std::string>& keys) const;
    [[nodiscard]] bool is_our_turn() const;
    [[nodiscard]] ports::transaction operators_part() const;

    entry_context& context;
    ports::platform platform;
    adapters::timer next_proof;
    adapters::timer next_watch;
    // Watches of an earlier generation have been given up; what they still tell is late, not wrong.
    std::int64_t generation = 0;
    bool is_following = true;
    base::instant follow_until{};
    bool reading = false;
    bool read_once = false;
    bool watch_suspected = false;
    int failures = 0;
};

} // namespace camphorrail::proxy
