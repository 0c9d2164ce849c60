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

// Finds out which upstreams have crashed, tells the other entries which requests were under way
// there, and says which requests are held back for it.
//
// A connection may break for many reasons: it was reset, an answer was garbled, the upstream cut
// off what it could not finish. Where nobody listens at the upstream's address right after, or
// another upstream has taken its place, its process has ended.
class crash_detector {
public:
    explicit crash_detector(entry_context& context);

    void record_broken_attempt(const broken_attempt& broken);
    // The platform's list shows that an upstream, in that life, has ended.
    void record_ended(const base::upstream_instance& ended);
    // Another upstream has taken its address. This entry may never have known the one before.
    void record_replaced(const base::upstream_id& replaced);
    // What another entry told, and when it wrote that.
    void receive(const base::entry_id& from, const peering::crash_report& message,
                 base::instant written);
    void receive(const base::entry_id& from, const peering::quarantine_notice& message,
                 base::instant written);
    // A hold that stands in the platform's store.
    void restore_quarantine(const quarantine::quarantined_request& recorded);
    // What an entry is told that has just linked: all holds whose end is known.
    [[nodiscard]] std::vector<peering::message> initial_messages() const;
    void tick();

    // Tells the other entries.
    std::function<void(const peering::message&)> broadcast;
    // A request is held back from now on; `decided_here`: by this entry and not on another's word.
    std::function<void(const quarantine::quarantined_request&, bool decided_here)>
        quarantine_started;

private:
    // What has broken at one upstream, in one of its lives.
    struct broken_upstream {
        std::string address;
        std::vector<quarantine::crash_victim> victims;
        base::instant first_at{};
        bool crashed = false;
        std::unique_ptr<adapters::address_probe> probe;
    };

    void probe(const base::upstream_instance& upstream, broken_upstream& found);
    void record_crash(const base::upstream_instance& upstream, broken_upstream& found,
                      const char* detected_by);
    void add_victims(const base::upstream_instance& upstream, base::instant at,
                     const std::vector<quarantine::crash_victim>& victims);
    void broadcast_crashes();
    void apply_quarantine(const quarantine::quarantined_request& quarantined, const char* source);
    void log_quarantine(const quarantine::quarantined_request& quarantined, const char* source);

    entry_context& context;
    std::map<base::upstream_instance, broken_upstream> broken_upstreams;
    // Crashes that other entries have not been told of yet.
    std::map<base::upstream_instance, quarantine::crash_report> unreported;
    adapters::timer report_timer;
    int reports_left;
};

} // namespace camphorrail::proxy
