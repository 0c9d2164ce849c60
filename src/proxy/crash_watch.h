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
class crash_watch {
public:
    explicit crash_watch(entry_context& context);

    void note_broken(const broken_attempt& broken);
    // The platform's list shows that an upstream, in that life, has ended.
    void note_ended(const base::upstream_instance& ended);
    // Another upstream has taken its address. This entry may never have known the one before.
    void note_replaced(const base::upstream_id& replaced);
    // What another entry told, and when it wrote that.
    void take(const base::entry_id& from, const peering::crash_report& told, base::instant written);
    void take(const base::entry_id& from, const peering::quarantine_notice& told,
              base::instant written);
    // A hold that stands in the platform's store.
    void take_written(const quarantine::quarantined_request& written);
    // What an entry is told that has just linked: all holds whose end is known.
    [[nodiscard]] std::vector<peering::message> greeting() const;
    void tick();

    // Tells the other entries.
    std::function<void(const peering::message&)> tell;
    // A request is held back from now on; `decided_here`: by this entry and not on another's word.
    std::function<void(const quarantine::quarantined_request&, bool decided_here)> held_back;

private:
    // What has broken at one upstream, in one of its lives.
    struct breakage {
        std::string address;
        std::vector<quarantine::crash_victim> victims;
        base::instant first_at{};
        bool crashed = false;
        std::unique_ptr<adapters::address_probe> probe;
    };

    void probe(const base::upstream_instance& upstream, breakage& found);
    void note_crash(const base::upstream_instance& upstream, breakage& found, const char* seen_by);
    void add_victims(const base::upstream_instance& upstream, base::instant at,
                     const std::vector<quarantine::crash_victim>& victims);
    void tell_crashes();
    void adopt(const quarantine::quarantined_request& given, const char* told_by);
    void log_hold(const quarantine::quarantined_request& begun, const char* told_by);

    entry_context& context;
    std::map<base::upstream_instance, breakage> broken;
    // Crashes that other entries have not been told of yet.
    std::map<base::upstream_instance, quarantine::crash_report> untold;
    adapters::timer tell_timer;
    int tells_left;
};

} // namespace camphorrail::proxy
