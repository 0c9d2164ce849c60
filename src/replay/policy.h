#pragma once

#include "base/random.h"
#include "base/units.h"
#include "prefix/prefix_chain.h"
#include "replay/engine_model.h"
#include "routing/router.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::replay {

// What a policy is asked at an entry.
struct question {
    std::size_t entry = 0;
    std::size_t pool = 0;
    const prefix::prefix_chain* chain = nullptr;
    // Engines tried already.
    std::vector<std::size_t> tried;
    // A home has passed the request on.
    bool passed_on = false;
    base::instant now;
};

// What an agent tells an entry with an answer, a refusal or a heartbeat.
struct load_news {
    std::size_t entry = 0;
    std::size_t pool = 0;
    std::size_t engine = 0;
    base::micros wait{0};
    double prefill_us_per_token = 100;
    std::int64_t incarnation = 1;
    base::instant now;
};

// A home passes a request on and names who holds its prefix, by hash.
struct passed_news {
    std::size_t entry = 0;
    std::size_t pool = 0;
    std::uint64_t level_key = 0;
    std::vector<std::uint64_t> holders;
    base::instant now;
};

// What an entry tells a prefix's home: who will hold it.
struct home_note {
    std::size_t home = 0;
    std::uint64_t level_key = 0;
    std::uint64_t holder = 0;
};

// An engine chosen, whether it is asked as the home that may pass the request on, and what the
// prefix's home is told.
struct chosen_engine {
    std::size_t engine = 0;
    bool probe = false;
    std::optional<home_note> note = std::nullopt;
    // What the choice was expected by; comes back when the request is served.
    routing::prediction_basis basis = {};
};

struct served_news {
    std::size_t entry = 0;
    std::size_t pool = 0;
    std::size_t engine = 0;
    const prefix::prefix_chain* chain = nullptr;
    routing::prediction_basis basis;
    base::tokens cached;
    base::instant now;
};

// A way to choose engines, as a plain struct of operations, so that naive ones and an oracle can
// stand in for the router's own.
struct policy {
    std::string name;
    std::function<std::optional<chosen_engine>(const question&)> choose;
    std::function<void(const load_news&)> note_load = [](const load_news&) {};
    std::function<void(const served_news&)> note_served = [](const served_news&) {};
    std::function<void(const question&, std::size_t engine)> note_not_taken = [](const question&,
                                                                                 std::size_t) {};
    std::function<void(const passed_news&)> note_passed = [](const passed_news&) {};
    std::function<void(const question&, std::size_t engine)> note_failure = [](const question&,
                                                                               std::size_t) {};
};

// The state of the world, which only an oracle may look at.
struct world_view {
    const std::vector<std::vector<engine_model>>* engines = nullptr;
    // Time until a new order's prefill would begin.
    std::function<base::micros(std::size_t pool, std::size_t engine)> wait;
};

// Makes a policy for one replay.
using policy_maker = std::function<policy(const trace&, const world_view&)>;

// The router as it runs in the entries, one state an entry.
policy make_router_policy(const trace& recorded, const routing::routing_rules& rules);

} // namespace camphorrail::replay
