#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "fleet/workload.h"
#include "membership/health.h"
#include "ports/platform_codec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::fleet {

// What another entry has under way at an upstream, and until when that is believed.
struct entry_load {
    workload work;
    base::instant expires_at{};
    base::instant reported_at{};
};

// What an entry knows of one upstream: what the platform lists, and what its own requests show.
struct member {
    ports::listed_upstream listed;
    // Of its id, for rendezvous hashing.
    std::uint64_t id_hash = 0;
    membership::health health;
    // What this entry has under way there.
    workload local_work;
    // The same at the other entries.
    std::map<base::entry_id, entry_load> remote_work;
    // What the upstream last said of its load, and when.
    std::optional<ports::reported_load> load;
    base::instant load_at{};
    // When the last byte came from it, on whatever request.
    base::instant last_byte_at{};
    // It takes no new request before this moment: it loads weights, or has said that it is full.
    base::instant busy_until{};
    // It has turned a request of ours away, and asked to get nothing more from us before this
    // moment.
    base::instant pause_until{};
    // Another entry has ejected it until then. What one entry's requests show may be the fault of
    // its own network, so it only says to try others first.
    base::instant suspected_until{};
    // It is about to change weights, or does so, before this moment.
    base::instant weights_change_until{};
    // Takes short prompts before long ones; see kvcache/lanes.h.
    bool short_lane = false;
    // Since when it is known by its own word that it leaves. The list may say so later, or, by a
    // heartbeat that is late, call it ready again: in this life that undoes nothing.
    std::optional<base::instant> drain_reported_at;
    // Since when the platform's list lacks it.
    std::optional<base::instant> unlisted_since;
    // Its lives before this one, the newest last.
    std::vector<base::upstream_incarnation> previous_incarnations;
};

struct fleet {
    std::map<base::upstream_id, member> members;
    // Lives that said that they leave and have vanished from the list, and when they said so. An
    // entry of the list that lapsed with the store comes back when the store does.
    std::map<base::upstream_instance, base::instant> drained;
};

struct fleet_rules {
    membership::health_rules health;
    // How long a pool that has vanished from the list as a whole, or of which all say that they
    // leave, may still serve.
    // Below the platform's bound on new requests to an upstream that left, less the list's lag.
    base::micros unlisted_grace = base::milliseconds(1400);
    // What an upstream said of its load says nothing any more after this long.
    base::micros load_report_ttl = base::milliseconds(500);
};

// What a new list changed.
struct list_diff {
    std::vector<base::upstream_id> added;
    std::vector<base::upstream_id> changed;
    std::vector<base::upstream_id> removed;
    // They started again under their ids.
    std::vector<base::upstream_id> restarted;
    // They hold other weights than before, and nothing that they had cached.
    std::vector<base::upstream_id> weights_changed;
};

// Takes the platform's list as it now is.
list_diff apply_list(fleet& state, const std::vector<ports::listed_upstream>& listed,
                     base::instant now);

// An upstream is known to have started again. All that was believed of it is void: it holds no
// cached prompt and has nothing under way. The platform's list may go on telling of the earlier
// life for a while, since heartbeats overtake each other; that is passed over.
void start_incarnation(member& one, base::upstream_incarnation incarnation);

base::upstream_instance instance_of(const member& one);

// The member where it is in that very life; null where it has started again since, or before, or is
// not known. What is told of another life must not be believed of this one.
member* find_instance(fleet& state, const base::upstream_instance& instance);

// Whether the upstream is known to have ended that life.
bool incarnation_ended(const member& one, base::upstream_incarnation incarnation);

// Something else stands in the list in place of a member that vanished from it. Unlike one that
// only lapsed, it gets nothing more, even where no other is left.
void mark_replaced(fleet& state, const base::upstream_id& id);

// An upstream has said in an answer that it leaves; true where that is new.
bool record_drain_report(fleet& state, const base::upstream_instance& upstream, base::instant now);

// Forgets members that vanished long enough ago and hold no request; gives their ids.
std::vector<base::upstream_id> prune_unlisted(fleet& state, base::instant now,
                                              const fleet_rules& rules);

// The version of a model's weights that a member holds; 0 where it does not hold the model.
std::int64_t weights_version_of(const member& one, const base::model_id& model);

// Whether a new request may be sent there as far as the list and its own word say.
bool is_available(const member& one);

// Whether a member that is about to go may still take what no other can: one that vanished, or has
// said itself that it leaves. Where the list says so, it may not.
bool may_serve_in_grace(const member& one, base::instant now, const fleet_rules& rules);

// Until when it takes nothing new from us: it is busy, or has asked for a pause.
base::instant unavailable_until(const member& one);

// An upstream has asked to get nothing from this entry for so long. What makes no sense is bounded.
void record_pause(member& one, base::micros span, base::instant now);

// Whether its failures, as seen here or by other entries, speak against sending a request there.
bool is_suspected(const member& one, base::instant now);

// Whether nothing speaks against sending a new request there.
bool is_eligible(const member& one, base::instant now);

// The members of a pool that a new request may go to: the fit ones; where there are none, those
// that are only suspected; where the whole pool vanished a moment ago, or said that it leaves,
// those that may still serve. `except` are left out.
std::vector<member*> candidates(fleet& state, const base::pool_id& pool, base::instant now,
                                const fleet_rules& rules,
                                const std::vector<base::upstream_id>& except);

// What all entries have under way at a member, as far as they have told lately.
workload total_work(const member& one, base::instant now);

// Prompt tokens that probably wait at a member to be read, which reads `tokens_a_ms`. What others
// told is read meanwhile: with a hundred entries that tell twice a second, most of it has been by
// the time that it is counted, and prompts left their homes for queues that were long gone.
std::int64_t estimate_unread_tokens(const member& one, base::instant now, double tokens_a_ms);

// How many requests a member probably holds, ours and those of other entries.
std::int64_t estimated_load(const member& one, base::instant now, const fleet_rules& rules);

// The candidate with the least load for its size; among equal ones, one in our availability zone,
// and otherwise the one that `number` picks. Null where there are no candidates.
member* least_loaded(const std::vector<member*>& among, const base::availability_zone& zone,
                     std::uint64_t number, base::instant now, const fleet_rules& rules);

} // namespace camphorrail::fleet
