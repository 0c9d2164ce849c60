#pragma once

#include "adapters/timer.h"
#include "proxy/context.h"
#include "weights/term.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// One entry at a time gives orders to upstreams, by a lease in the platform's store.
class leadership {
public:
    // `linked_entries`: those that a link stands to.
    leadership(entry_context& context, ports::platform platform,
               std::function<std::vector<base::entry_id>()> connected_entries);

    // Looks whether there is something to take over or to renew.
    void tick();
    // Gives the lease up, so that another entry need not wait for its end.
    void resign();
    // Whether an order may be given now. The first such question of a term only has it written down
    // that this entry orders.
    [[nodiscard]] bool may_issue_commands();
    // Notes when another entry's term is over; to be called after each change of the mirror.
    void on_store_change();
    [[nodiscard]] std::int64_t fencing_token() const { return this->term ? this->term->fence : 0; }
    // What upstreams know this holder by.
    [[nodiscard]] std::string name() const;

private:
    void update_vacancy();
    [[nodiscard]] bool is_our_turn() const;
    void campaign();
    void claim(std::int64_t lease, base::instant requested_at);
    void renew();
    void lose_leadership(const char* why);
    [[nodiscard]] std::string leader_key() const;
    [[nodiscard]] std::string orderer_key() const;
    void record_orderer();
    [[nodiscard]] weights::last_orderer last_orderer() const;
    [[nodiscard]] weights::term_rules rules() const;

    entry_context& context;
    ports::platform platform;
    std::function<std::vector<base::entry_id>()> connected_entries;
    std::optional<weights::term> term;
    bool call_pending = false;
    // The store holds that this entry orders in this term.
    bool orderer_recorded = false;
    bool recording_orderer = false;
    // Who holds the leader's key, as last seen.
    std::string last_seen_holder;
    // When the one that gave the last orders was seen to hold the key no more, and the revision of
    // its record then. A later record is of a later term, whose end was not seen.
    struct observed_end {
        std::int64_t orderer_revision = 0;
        base::instant at{};
    };
    std::optional<observed_end> orderer_ended;
    base::instant next_renewal{};
    base::instant next_campaign{};
    // Since when nobody leads, as far as this entry knows.
    std::optional<base::instant> vacant_since;
};

} // namespace camphorrail::proxy
