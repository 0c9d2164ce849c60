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
    struct reports {
        std::optional<peering::load_report> near;
        std::optional<peering::load_report> far;
    };
    reports collect(std::size_t connected_count);
    // Takes what was heard from an entry. `passes_on`: it is of another zone, and ours relies on
    // this entry to hear of it.
    void receive(const peering::load_report& message, bool should_relay);

private:
    peering::entry_load own_load(std::size_t connected_count);
    std::vector<peering::entry_load> take_pending_relays();
    void apply_load(const peering::entry_load& load);
    [[nodiscard]] bool heartbeat_due();

    struct pending_relay {
        peering::entry_load load;
        base::instant received_at{};
    };

    entry_context& context;
    // What was last told of each upstream.
    std::map<base::upstream_id, peering::upstream_load> last_reported;
    std::vector<pending_relay> pending_relays;
    base::instant next_complete_report{};
    base::instant next_heartbeat{};
    bool reported_any_load = false;
};

} // namespace camphorrail::proxy
