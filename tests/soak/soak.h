#pragma once

#include "adapters/event_loop.h"
#include "soak/callers.h"
#include "soak/engine.h"
#include "soak/entry_process.h"
#include "soak/history.h"
#include "soak/plan.h"
#include "soak/relay.h"
#include "standins/metadata_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::soak {

struct soak_options {
    std::uint64_t seed = 1;
    plan_size size;
    int callers = 24;
    // The program under test, and where settings and logs go.
    std::string program;
    std::string directory;
};

// One run: real entries as processes, behind relays and a store that break as planned, before back
// ends and callers that keep what they saw.
class soak {
public:
    explicit soak(soak_options options);

    // Plays the run to its end; what was seen.
    history play();

private:
    struct entry {
        std::unique_ptr<entry_process> process;
        std::unique_ptr<relay> to_store;
        bool end_expected = false;
        // How long it stays away after the end that is expected.
        base::milliseconds away{};
        bool paused = false;
        // Index of the span of a stop under way.
        std::optional<std::size_t> stop_span;
    };
    struct back_end {
        std::unique_ptr<engine> runs;
        std::unique_ptr<relay> before;
        std::string pool;
        bool up = true;
        // The list calls it draining, whatever it says in answers.
        bool draining = false;
        // Of its entry in the store.
        std::int64_t heartbeats = 0;
        // Index of the stretch in which it serves now.
        std::optional<std::size_t> serving;
    };

    void set_up_store();
    void set_up_back_ends();
    void set_up_entries();
    void write_config();
    void list(back_end& one);
    void note_leaving(const std::string& instance);
    void leave(const planned_fault& fault, back_end& one);
    void state_limit(const planned_fault& fault, back_end& one);
    void begin_serving(back_end& one);
    void end_serving(back_end& one);
    // Writes and deletes of operators and engines.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    // Now, or when the store is back.
    void when_store_answers(const std::function<void()>& action);
    void return_store(const planned_fault& fault);
    void write_again(bool of_operators);
    void erase_again();
    void strike(const planned_fault& fault);
    void strike_entry(const planned_fault& fault, entry& one);
    void lose_engines_together();
    void name_weights();
    void name_weights_in_pause(const planned_fault& fault);
    [[nodiscard]] std::vector<entry*> line_behind_leader();
    void strike_engine(const planned_fault& fault, back_end& one);
    void strike_store(const planned_fault& fault);
    void restart_engine(back_end& one, base::milliseconds away);
    void remove_key();
    void look_at_processes();
    void heal();
    // `entry` -1 for all.
    void note(const planned_fault& fault, int entry = -1);
    [[nodiscard]] int number_of(const entry& one) const;
    void after(base::milliseconds delay, std::function<void()> action);

    soak_options options;
    adapters::event_loop loop;
    history seen;
    standins::metadata_store store;
    std::unique_ptr<adapters::http_server> store_server;
    std::string store_address;
    fault_kind store_fault = fault_kind::kill;
    std::vector<adapters::exchange_ptr> held_by_store;
    // What operators and engines have written last and hold true, whatever the store has lost, and
    // what is no longer there.
    std::map<std::string, std::string> documents;
    std::set<std::string> erased;
    std::vector<std::function<void()>> waiting_for_store;
    std::vector<back_end> back_ends;
    std::vector<entry> entries;
    callers calling;
    // Those of the team with a quota, who ask for more than that.
    callers limited;
    std::vector<std::string> keys{"k0", "k1", "k2", "k3", "k4", "k5"};
    std::vector<std::string> removed_keys;
    std::int64_t config_version = 1;
    std::int64_t named = 1;
    bool over = false;
};

} // namespace camphorrail::soak
