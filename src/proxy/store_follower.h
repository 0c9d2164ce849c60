#pragma once

#include "adapters/timer.h"
#include "proxy/context.h"

#include <functional>
#include <set>
#include <string>

namespace camphorrail::proxy {

// Keeps the entry's mirror of the platform's store: one long watch tells of changes, and a cheap
// conditional read proves, about once a second, that nothing was missed. A quiet watch is no proof:
// it may be cut off without a sign, and the store may drop history that it has not told.
class store_follower {
public:
    store_follower(entry_context& context, ports::platform platform);

    void start();
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
    void apply(const std::set<std::string>& keys);
    [[nodiscard]] ports::transaction operators_part() const;

    entry_context& context;
    ports::platform platform;
    adapters::timer next_proof;
    adapters::timer next_watch;
    // Watches of an earlier generation have been given up; what they still tell is late, not wrong.
    std::int64_t generation = 0;
    bool reading = false;
    bool read_once = false;
    bool watch_suspected = false;
    int failures = 0;
};

} // namespace camphorrail::proxy
