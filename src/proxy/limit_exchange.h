#pragma once

#include "entries/relays.h"
#include "peering/messages.h"
#include "proxy/context.h"
#include "ratelimit/stated_limit.h"

#include <functional>
#include <map>
#include <vector>

namespace camphorrail::proxy {

// Keeps the requests of all entries together within the rate limits that upstreams state in their
// responses. An entry that learns of a new limit tells all others. A limit is divided among a few
// entries, ranked by a hash of the upstream's id; all others send it nothing.
class limit_exchange {
public:
    explicit limit_exchange(entry_context& context) : context(context) {}

    // Applies what the response to a request of this entry states.
    void record(const base::upstream_instance& upstream, const ratelimit::statement& stated);
    // Applies another entry's report, which was written at that time.
    void receive(const base::entry_id& from, const peering::upstream_limits& message,
                 base::instant written);
    // Sends all limits to an entry that has just connected.
    void send_all_to(const base::entry_id& entry);
    // Updates this entry's shares of all limits. To be called after a change of the list.
    void divide_limits();
    // Updates this entry's shares after entries have come or gone, and repeats recent reports.
    void tick();

    // The entries with an open link that understand reports of limits.
    std::function<std::vector<entries::linked_entry>()> connected_entries;
    std::function<void(const std::vector<base::entry_id>&, const peering::message&)> send;

private:
    // Another entry that may have shares, and when it was last connected.
    struct sharer {
        base::availability_zone zone;
        base::instant connected_at{};
    };
    // A change that this entry has reported, and when it was heard from the upstream again.
    struct report {
        base::upstream_instance upstream;
        base::instant reported_at{};
        base::instant repeat_until{};
        bool heard_again = false;
    };

    bool apply(fleet::member& member, const ratelimit::statement& stated,
               const base::entry_id& from);
    void log_change(const fleet::member& member, const ratelimit::stated_limit& before,
                    const base::entry_id& from);
    // This entry and all sharers.
    [[nodiscard]] std::vector<entries::linked_entry> sharing_entries() const;
    void update_share(fleet::member& member, const std::vector<entries::linked_entry>& among);
    void update_sharers();
    void repeat_reports();
    void send_report(const fleet::member& member);

    entry_context& context;
    std::map<base::entry_id, sharer> sharers;
    std::map<base::upstream_id, report> reports;
};

} // namespace camphorrail::proxy
