#pragma once

#include "entries/relays.h"
#include "peering/messages.h"
#include "proxy/context.h"

#include <map>
#include <optional>
#include <vector>

namespace camphorrail::proxy {

// What entries tell each other of their requests: what waits at each upstream, which prompts were
// read where, and what was let through of teams' quotas. Entries that send prompts to the same
// homes would else each see only their part of what waits there, and all overload the same engine
// at once.
//
// Said as `entries/relays.h` tells: to the entries of the own zone, and to one of each other zone,
// which passes it on. Mostly only what has changed is told, and all of it now and then, since a
// relay may be lost with what it had not passed on.
class load_exchange {
public:
    explicit load_exchange(entry_context& context) : context(context) {}

    // How long until something is to be told again.
    [[nodiscard]] static base::milliseconds period(const entries::relay_targets& to);
    // What the entries of the own zone are to hear now, with what is passed on, and the relays of
    // other zones; nothing where there is no news. `linked`: entries that a link stands to.
    struct news {
        std::optional<peering::load_report> near;
        std::optional<peering::load_report> far;
    };
    news collect(std::size_t linked);
    // Takes what was heard from an entry. `passes_on`: it is of another zone, and ours relies on
    // this entry to hear of it.
    void take(const peering::load_report& message, bool passes_on);

private:
    peering::entry_load own_load(std::size_t linked);
    std::vector<peering::entry_load> relayed_loads();
    void take_load(const peering::entry_load& load);
    [[nodiscard]] bool heartbeat_due();

    struct relayed {
        peering::entry_load load;
        base::instant heard_at{};
    };

    entry_context& context;
    // What was last told of each upstream.
    std::map<base::upstream_id, peering::upstream_load> told;
    std::vector<relayed> to_relay;
    base::instant next_whole{};
    base::instant next_heartbeat{};
    bool told_something = false;
};

} // namespace camphorrail::proxy
