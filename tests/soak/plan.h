#pragma once

#include "base/units.h"

#include <cstdint>
#include <vector>

namespace camphorrail::soak {

// What is broken, or changed, at one moment of a run.
enum class fault_kind {
    // Processes of the system, by signals.
    kill,
    stop,
    pause,
    reload,
    // Connections through the loopback relays.
    delay_engine,
    reset_engine,
    cut_engine_one_way,
    silence_engine,
    refuse_engine,
    silence_store_link,
    cut_store_link,
    // The store: turned away, silent, slow, answers lost.
    store_busy,
    store_silent,
    store_slow,
    store_loses,
    // Engines and operators.
    engine_restarts,
    engine_fails,
    engine_loses_answers,
    engine_leaves,
    remove_key,
    change_config,
    name_weights,
    // Callers: one request that crashes each engine that runs it comes again and again, or requests
    // do that share a part of their prompts.
    fatal_requests,
    // An engine says in its answers that it leaves, and the list calls it ready.
    engine_says_leaving,
    engine_asks_for_pause,
    // Most engines end in the same moment, twice, while one request is popular.
    engines_lost_together,
    // Weights are named while the entry that leads and others stand still; those that saw it end
    // before these go on.
    weights_named_in_pause,
    // A copy of the store is saved; the store goes away and returns from its last copy.
    store_saves_copy,
    store_returns_from_copy,
    // An engine leaves and comes back with other software.
    engine_released,
    // An engine states a rate limit in its answers.
    engine_states_limit,
    // An engine answers without a length.
    engine_omits_length,
};

const char* name_of(fault_kind kind);

// Whether by itself it may cut nothing.
bool is_planned(fault_kind kind);

struct planned_fault {
    base::milliseconds at{0};
    // How long it lasts, or how long a process stays away.
    base::milliseconds span{0};
    fault_kind kind = fault_kind::kill;
    // Which entry or engine, by number; of weights named in a pause, how many versions are skipped;
    // of a return of the store, whether it leaves open watches unanswered; of fatal requests,
    // whether they share a part of their prompts.
    int target = 0;
    // How long after a return of the store its owners write again what it has lost.
    base::milliseconds operators_after{0};
    base::milliseconds engines_after{0};
    // For how long an engine leaves by the list alone; 0 for one that says so in answers too.
    base::milliseconds listed_alone{0};
    // The rate limit that an engine states, in requests per second.
    double rate_limit = 0.0;
    // The number of the software version that a released engine comes back with.
    int software = 0;
};

struct plan_size {
    int entries = 3;
    int engines = 4;
    base::milliseconds length{20000};
    // Mean time between two faults; they overlap as they last for up to four seconds.
    base::milliseconds pause{900};
    bool store_returns = true;
    // Engines are replaced by such with other software, and callers resume streams.
    bool releases = true;
};

// The faults of a run; the same seed gives the same plan.
std::vector<planned_fault> make_plan(std::uint64_t seed, const plan_size& size);

} // namespace camphorrail::soak
