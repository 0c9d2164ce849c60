#pragma once

#include "adapters/address_probe.h"
#include "entries/relays.h"
#include "outliers/outliers.h"
#include "peering/messages.h"
#include "proxy/context.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Whether entries share their suspicions against the upstreams of a pool.
bool shares_suspicions(const settings::feature_settings& features, bool pool_states_slowdown);

// Sets what follows from the common suspicions for the fleet's members. Members that are no longer
// suspected are as they were before.
void apply_suspicions(fleet::fleet& fleet, const outliers::outlier_state& state);

// Excludes the upstreams that several entries have reported to be failing, probes them in turn with
// the other entries, and tells those when an upstream responds again.
class suspicion_exchange {
public:
    explicit suspicion_exchange(entry_context& context) : context(context) {}

    // Records a failure of an attempt of this entry and reports it to the others, unless they are
    // told anyway because it has ejected the upstream.
    void record_failure(const base::upstream_instance& upstream, base::micros ejected_for,
                        const char* reason);
    // Handles another entry's report, which was written at that time. Returns false if suspicions
    // against the upstream are not shared.
    bool receive(const base::entry_id& from, const peering::suspicion& message,
                 base::instant written);
    void receive(const base::entry_id& from, const peering::upstream_responding& message,
                 base::instant written);
    // Records that this entry has received a byte from an upstream.
    void record_byte(const base::upstream_instance& upstream);
    void tick();

    // The listed entries, this one included.
    std::function<std::vector<base::entry_id>()> listed_entries;
    // The entries with an open link that understand a protocol.
    std::function<std::vector<entries::linked_entry>(std::int64_t protocol)> linked_entries;
    std::function<void(const std::vector<base::entry_id>&, const peering::message&)> send;
    // Moves the attempts that wait at an upstream to others.
    std::function<void(const base::upstream_instance&)> move_attempts;
    // Whether an upstream of the pool has recently stated a slowdown.
    std::function<bool(const base::pool_id&)> pool_states_slowdown = [](const base::pool_id&) {
        return false;
    };

private:
    // The latest probe of an upstream by this entry.
    struct probe {
        base::upstream_incarnation incarnation;
        std::int64_t turn = 0;
        std::unique_ptr<adapters::address_probe> connection;
    };

    [[nodiscard]] bool is_on(const base::pool_id& pool) const;
    [[nodiscard]] outliers::surroundings surroundings() const;
    // Reports that arrive together are evaluated together.
    void update_soon();
    [[nodiscard]] bool has_just_reported(const base::upstream_instance& upstream) const;
    [[nodiscard]] std::vector<base::entry_id> receivers() const;
    void update();
    void conclude(const std::vector<outliers::suspicion_change>& changes,
                  const std::string& told_by);
    void conclude_begin(const outliers::suspicion_change& change, fleet::member* member);
    void conclude_end(const outliers::suspicion_change& change, fleet::member* member,
                      const std::string& told_by);
    void log_disregarded(const std::set<base::entry_id>& before);
    void probe_all();
    void start_probe(const fleet::member& member, std::int64_t turn, base::micros time_left);
    void on_probed(const base::upstream_instance& upstream, adapters::address_state result,
                   base::instant turn_ends);

    entry_context& context;
    outliers::outlier_state state;
    bool update_scheduled = false;
    std::map<base::upstream_id, probe> probes;
    // Why each upstream was last reported, for the log.
    std::map<base::upstream_id, std::string> reasons;
};

} // namespace camphorrail::proxy
