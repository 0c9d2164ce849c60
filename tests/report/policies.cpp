#include "report/policies.h"

#include "base/hash.h"
#include "routing/rendezvous.h"

#include <algorithm>
#include <map>

namespace camphorrail::comparison {

namespace {

using replay::chosen_engine;
using replay::policy;
using replay::question;
using replay::trace;
using replay::world_view;

bool tried(const question& asked, std::size_t engine) {
    return std::find(asked.tried.begin(), asked.tried.end(), engine) != asked.tried.end();
}

std::size_t count_of(const trace& recorded, std::size_t pool) {
    return static_cast<std::size_t>(recorded.pools[pool].engines.count);
}

// The engine with the lowest cost among those not tried; the first one of equals.
template <class Cost>
std::optional<chosen_engine> cheapest(const question& asked, std::size_t count, Cost cost) {
    std::optional<chosen_engine> best;
    double best_cost = 0;
    for (std::size_t engine = 0; engine < count; ++engine) {
        if (tried(asked, engine)) {
            continue;
        }
        const double value = cost(engine);
        if (!best || value < best_cost) {
            best = chosen_engine{engine};
            best_cost = value;
        }
    }
    return best;
}

} // namespace

replay::policy_maker round_robin() {
    return [](const trace& recorded, const world_view&) {
        auto turns = std::make_shared<std::map<std::pair<std::size_t, std::size_t>, std::size_t>>();
        policy made;
        made.name = "round robin";
        made.choose = [&recorded, turns](const question& asked) -> std::optional<chosen_engine> {
            const std::size_t count = count_of(recorded, asked.pool);
            auto& turn = (*turns)[{asked.entry, asked.pool}];
            for (std::size_t step = 0; step < count; ++step) {
                const std::size_t engine = (turn++ + asked.entry) % count;
                if (!tried(asked, engine)) {
                    return chosen_engine{engine};
                }
            }
            return std::nullopt;
        };
        return made;
    };
}

replay::policy_maker least_loaded() {
    return [](const trace& recorded, const world_view&) {
        struct load {
            double wait_us = 0;
            int sent = 0;
        };
        using key = std::tuple<std::size_t, std::size_t, std::size_t>;
        auto loads = std::make_shared<std::map<key, load>>();
        auto turn = std::make_shared<std::size_t>(0);
        policy made;
        made.name = "least loaded";
        made.choose = [&recorded, loads, turn](const question& asked) {
            const std::size_t count = count_of(recorded, asked.pool);
            const std::size_t first = (*turn)++;
            // A request counts as a tenth of a second until the next report includes it.
            constexpr double one_request_us = 1e5;
            auto chosen = cheapest(asked, count, [&](std::size_t engine) {
                const std::size_t shifted = (engine + first) % count;
                const load& at = (*loads)[{asked.entry, asked.pool, shifted}];
                return tried(asked, shifted) ? 1e18 : at.wait_us + at.sent * one_request_us;
            });
            if (!chosen) {
                return chosen;
            }
            const std::size_t engine = (chosen->engine + first) % count;
            ++(*loads)[{asked.entry, asked.pool, engine}].sent;
            return std::optional<chosen_engine>(chosen_engine{engine});
        };
        made.note_load = [loads](const replay::load_news& news) {
            (*loads)[{news.entry, news.pool, news.engine}] = {
                static_cast<double>(news.wait.count()), 0};
        };
        made.note_failure = [loads](const question& asked, std::size_t engine) {
            (*loads)[{asked.entry, asked.pool, engine}] = {1e6, 0};
        };
        return made;
    };
}

replay::policy_maker prefix_hash() {
    return [](const trace& recorded, const world_view&) {
        policy made;
        made.name = "prefix hash";
        made.choose = [&recorded](const question& asked) {
            const std::size_t shared = asked.chain->size() > 1 ? asked.chain->size() - 2 : 0;
            const std::uint64_t prefix = (*asked.chain)[shared].key;
            return cheapest(asked, count_of(recorded, asked.pool), [&](std::size_t engine) {
                return -static_cast<double>(
                    routing::score(base::combine_hashes(engine + 1, 7), prefix));
            });
        };
        return made;
    };
}

replay::policy_maker oracle() {
    return [](const trace& recorded, const world_view& world) {
        policy made;
        made.name = "oracle";
        made.choose = [&recorded, world](const question& asked) {
            return cheapest(asked, count_of(recorded, asked.pool), [&](std::size_t engine) {
                const auto& at = (*world.engines)[asked.pool][engine];
                if (!at.up) {
                    return 1e18;
                }
                const base::tokens missing =
                    asked.chain->back().length - replay::cached_tokens(at, *asked.chain);
                const auto prefill = replay::prefill_time(at, missing);
                const auto wait = world.wait(asked.pool, engine);
                return static_cast<double>(wait.count()) +
                       oracle_weight * static_cast<double>(prefill.count());
            });
        };
        return made;
    };
}

replay::policy_maker router(const routing::routing_rules& rules) {
    return [rules](const trace& recorded, const world_view&) {
        return replay::make_router_policy(recorded, rules);
    };
}

std::vector<replay::policy_maker> all_policies() {
    return {round_robin(), least_loaded(), prefix_hash(), router({}), oracle()};
}

} // namespace camphorrail::comparison
