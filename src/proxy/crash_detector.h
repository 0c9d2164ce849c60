#pragma once

#include "adapters/address_probe.h"
#include "adapters/timer.h"
#include "peering/messages.h"
#include "proxy/context.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace camphorrail::proxy {

// Detects crashed upstreams, reports the requests that were in flight there to the other entries,
// and starts the quarantine of requests that cause crashes.
//
// A connection may break for many reasons: a reset, a malformed response, an upstream that aborts
// what it can't finish. If the upstream's address refuses connections right afterwards, or another
// upstream has taken its place, its process has ended.
class crash_detector {
public:
    explicit crash_detector(entry_context& context);

    void record_broken_attempt(const broken_attempt& broken);
    // The platform's list shows that this incarnation of an upstream has ended.
    void record_ended(const base::upstream_instance& ended);
    // Another upstream has taken the address of this one, whose incarnation this entry may not
    // know.
    void record_replaced(const base::upstream_id& replaced);
    // Handles a message from another entry that was written at the given time.
    void receive(const base::entry_id& from, const peering::crash_report& message,
                 base::instant written);
    void receive(const base::entry_id& from, const peering::quarantine_notice& message,
                 base::instant written);
    void receive(const base::entry_id& from, const peering::cleared_prompt_parts& message);
    // An upstream has survived the begin of a response to a prompt with these parts: remembers
    // that, clears them, and reports those that were suspects to the other entries.
    void record_survived(const std::vector<base::request_digest>& parts);
    // Applies a quarantine recorded in the platform's store.
    void restore_quarantine(const quarantine::quarantined_request& recorded);
    // The messages for a newly connected entry: all quarantined requests whose expiry is known.
    [[nodiscard]] std::vector<peering::message> initial_messages() const;
    void tick();

    // The other entries that this one has a link to.
    std::function<std::vector<base::entry_id>()> connected_entries = [] {
        return std::vector<base::entry_id>{};
    };
    // Sends a message to all other entries.
    std::function<void(const peering::message&)> broadcast;
    // Sends a message about cleared prompt parts to all entries that understand it.
    std::function<void(const peering::message&)> send_clearances;
    // Called when a request enters quarantine. `decided_here` is false if the decision came from
    // another entry or from the store.
    std::function<void(const quarantine::quarantined_request&, bool decided_here)>
        quarantine_started;

private:
    // Broken attempts at one incarnation of an upstream.
    struct broken_upstream {
        std::string address;
        std::vector<quarantine::crash_victim> victims;
        base::instant first_at{};
        bool crashed = false;
        std::unique_ptr<adapters::address_probe> probe;
    };

    void probe(const base::upstream_instance& upstream, broken_upstream& record);
    void record_crash(const base::upstream_instance& upstream, broken_upstream& record,
                      const char* detected_by);
    void add_victims(const base::upstream_instance& upstream, base::instant at,
                     const std::vector<quarantine::crash_victim>& victims);
    [[nodiscard]] std::vector<base::request_digest>
    find_survived(const std::vector<quarantine::crash_victim>& victims, base::instant at) const;
    [[nodiscard]] base::micros trial_turn() const;
    void broadcast_crashes();
    bool clear(const base::request_digest& part, const char* source);
    void apply_quarantine(const quarantine::quarantined_request& quarantined, const char* source);
    void log_quarantine(const quarantine::quarantined_request& quarantined, const char* source);

    entry_context& context;
    std::map<base::upstream_instance, broken_upstream> broken_upstreams;
    // Crashes not yet reported to the other entries.
    std::map<base::upstream_instance, quarantine::crash_report> unreported;
    adapters::timer report_timer;
    int reports_left;
};

} // namespace camphorrail::proxy
