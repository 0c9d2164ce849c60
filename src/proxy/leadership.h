#pragma once

#include "adapters/timer.h"
#include "proxy/context.h"
#include "weights/term.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Elects the one entry that sends load commands to upstreams, by a lease in the platform's store.
class leadership {
public:
    // `connected_entries` returns the entries with an open link.
    leadership(entry_context& context, ports::platform platform,
               std::function<std::vector<base::entry_id>()> connected_entries);

    // Campaigns for a vacant leadership or renews the lease, if due.
    void tick();
    // Releases the leadership, so that another entry need not wait for the lease to expire.
    void resign();
    // Whether a load command may be sent now. The first call of a term only starts to record this
    // entry in the store as the last one to send commands.
    [[nodiscard]] bool may_issue_commands();
    // Detects the end of a term, and a restoration of the store; must be called after each change
    // of the mirror.
    void on_store_change();
    // The token of the current term; 0 if this entry is not the leader.
    [[nodiscard]] std::int64_t fencing_token() const {
        return this->term ? base::fencing_token(this->term->elected_in) : 0;
    }
    // The name by which upstreams know this leader.
    [[nodiscard]] std::string name() const;

private:
    void follow_store_era();
    void detect_replacement();
    void detect_end_of_other_term();
    void update_vacancy();
    [[nodiscard]] bool may_reclaim_leader_key() const;
    [[nodiscard]] bool is_recently_restored() const;
    [[nodiscard]] bool is_our_turn() const;
    void campaign();
    void claim(const ports::lease& lease, base::instant requested_at);
    void renew();
    // `lost_early`: another entry may have become leader before the lease would have run out.
    void lose_leadership(const char* why, bool lost_early = false);
    [[nodiscard]] std::string leader_key() const;
    [[nodiscard]] std::string orderer_key() const;
    void record_orderer();
    [[nodiscard]] weights::last_order_issuer recorded_orderer() const;
    [[nodiscard]] weights::last_order_issuer orderer_to_wait_for() const;
    [[nodiscard]] weights::term_rules rules() const;

    entry_context& context;
    ports::platform platform;
    std::function<std::vector<base::entry_id>()> connected_entries;
    std::optional<weights::term> term;
    bool call_pending = false;
    // Whether the store has recorded that this entry sends commands in this term.
    bool orderer_recorded = false;
    bool recording_orderer = false;
    // The holder of the leader key as last seen in the mirror.
    std::string last_seen_holder;
    // When the last entry to send commands was seen to have lost the leader key, and the revision
    // of its record at that time. A newer record belongs to a later term, whose end was not seen.
    struct observed_end {
        base::revision orderer_revision;
        base::instant at{};
    };
    std::optional<observed_end> orderer_ended;
    // Until when nobody else can have led: the end of the latest term in which this entry was
    // recorded as orderer. Empty if it never was, or if another one may have become leader early.
    std::optional<base::instant> exclusive_until;
    // A restoration of the store from an older copy. The record of the last orderer that the copy
    // holds may be older than the last commands.
    struct restoration {
        base::instant seen_at{};
        // The revision of the record when the restoration was noticed; empty if there was none.
        std::optional<base::revision> record_at_return;
        // This entry sent the last commands before the restoration.
        bool was_orderer = false;
    };
    std::optional<restoration> restored;
    // The era of the store that this entry follows; empty before the first read.
    std::optional<std::int64_t> store_era;
    base::instant next_renewal{};
    base::instant next_campaign{};
    // Since when there has been no leader, as far as this entry knows.
    std::optional<base::instant> vacant_since;
};

} // namespace camphorrail::proxy
