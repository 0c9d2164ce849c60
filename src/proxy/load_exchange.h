#pragma once

#include "entries/relays.h"
#include "peering/messages.h"
#include "proxy/context.h"

#include <map>
#include <optional>
#include <vector>

namespace camphorrail::proxy {

// Exchanges load between entries: what is in flight at each upstream, which prompts were read
// where, and how much of each team's quota was used. entries that place prompts by the same
// affinity would otherwise each see only their own share of an engine's queue and overload it
// together.
//
// Reports go to the entries of the same availability zone and to one entry of each other zone,
// which relays them there (see `entries/relays.h`). Most reports hold only what has changed;
// complete ones are sent periodically, since a relay may fail before it has forwarded a report.
class load_exchange {
public:
    explicit load_exchange(entry_context& context) : context(context) {}

    // Time until the next report is due.
    [[nodiscard]] static base::milliseconds period(const entries::relay_targets& to);
    // The reports to send now: `near` to the entries of the same zone, including relayed loads, and
    // `far` to the relays of other zones. A report is empty if nothing has changed.
    // `connected_count` is the number of connected entries.
    struct reports {
        std::optional<peering::load_report> near;
        std::optional<peering::load_report> far;
    };
    reports collect(std::size_t connected_count);
    // Applies a peer's report. `should_relay` is set if the sender is in another zone and this
    // entry forwards its reports within its own.
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
    // The load last reported for each upstream.
    std::map<base::upstream_id, peering::upstream_load> last_reported;
    std::vector<pending_relay> pending_relays;
    base::instant next_complete_report{};
    base::instant next_heartbeat{};
    bool reported_any_load = false;
};

} // namespace camphorrail::proxy
