#pragma once

#include "base/random.h"
#include "once/ledger.h"
#include "ports/platform.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

// A small world around ledgers for schedule tests: a virtual clock, a store, agents that crash,
// freeze and are cut off, and callers that ask again through other entries. Every choice comes from
// one seed. What happened is written to a history; a checker that knows nothing of ledgers judges.
namespace camphorrail::once_world {

// Safeguards that a test may switch off from the outside, to see the checker notice.
enum class planted {
    nothing,
    // The store takes a fenced agent's writes.
    no_fence,
    // A write that arrives late puts an older journal segment back.
    no_segment_revision,
    // A new life of an agent does not see what was recorded.
    no_journal_read,
    // An agent does not see who else holds keys.
    no_handover,
    // A call may leave although its caller was answered long ago.
    no_deadline,
    // A late order is taken although it was called off.
    no_tombstones,
    // An agent in an outage forgets that others can take its keys over.
    no_lease_check,
    // Keys that may have run unrecorded are taken for new.
    no_suspicion,
};

struct event_record {
    enum class kind { asked, ran, answered, refused, tombstoned, declared_dead };
    kind what = kind::asked;
    base::instant at;
    // Place in the order of all that happened, also within one instant.
    std::int64_t order = 0;
    std::string key;
    std::string attempt;
    base::execution_state ran = base::execution_state::unknown;
    base::code number{};
    base::instant deadline;
    std::string text;
};

using history = std::vector<event_record>;

struct verdict {
    std::vector<std::string> violations;
    int keys = 0;
    int keys_run = 0;
    int answered = 0;
    int not_run = 0;
    int unknown = 0;
};

// Judges a history.
verdict check(const history& happened);

// Runs one schedule; a calm one has no faults at all.
history run_schedule(std::uint64_t seed, planted fault, bool calm = false);

} // namespace camphorrail::once_world
