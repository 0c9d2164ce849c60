#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>

// How entries share work among them that only a few need to do.
namespace camphorrail::entries {

// When an entry asks the platform's store, and when it leaves that to others.
//
// Each call is paid for, and a watch that every entry keeps open costs one call an entry for each
// change: with 100 entries and 160 upstreams that registered within seconds, 15,000 calls before
// the first request. So a few entries watch the store and tell the others, one proves for all that
// nothing was missed, and while the store does not answer an entry asks the less often the more
// entries come before it in line.
struct store_duty_rules {
    // So many entries watch the store. One may be cut off and another one ending.
    std::size_t watchers = 3;
    // Between the answer to a watch and the next watch. Changes that come together cost one call;
    // the first after a quiet while is told at once. Far below the bounds on configurations and
    // leaving upstreams.
    base::micros watch_rest = base::milliseconds(300);
    // Between two proofs that nothing was missed, by the first in line.
    base::micros proof_period = base::seconds(1);
    // After a call that failed; longer with each failure in a row and each entry that comes before
    // this one in line, up to the longest. An entry that nobody tells of the store's return, and so
    // is first in its line, must serve again within two seconds of it.
    base::micros retry = base::milliseconds(400);
    base::micros longest_retry = base::seconds(4);
    // An entry that gets no proof from others for so long proves for itself: the second in line
    // first, then one after the other, and all at the longest, which is well below the age that
    // ends service. The second's proofs are a proof's period and a question's old.
    base::micros first_help = base::milliseconds(1500);
    base::micros help_step = base::milliseconds(150);
    base::micros longest_unproved = base::milliseconds(2400);
    // One whose own proof shows news that nobody has told it watches for a while too. With all that
    // proved for themselves watching, a cut between entries cost a thousand calls.
    base::micros help_at_least = base::seconds(5);
    // A watch that was open for so long should have told what a proof shows to be missing.
    base::micros watch_delay = base::milliseconds(500);
};

// What an entry has under way at the store, and when it is to ask next.
struct store_duty {
    bool following = true;
    bool read_once = false;
    bool reading = false;
    bool watching = false;
    bool proving = false;
    // The whole store is to be read anew.
    bool read_wanted = true;
    // A watch was silent about a change once.
    bool watch_suspected = false;
    // Calls in a row that the store has not answered.
    int failures = 0;
    base::instant watch_since{};
    base::instant next_read{};
    base::instant next_watch{};
    base::instant next_proof{};
    base::instant help_until{};
};

// What decides besides.
struct store_duty_view {
    // Linked entries that come before this one in line.
    std::size_t place = 0;
    // Age of the newest proof, by whomever; nothing where there is none.
    std::optional<base::micros> proof_age;
    base::instant now{};
};

// The calls to be made now.
struct store_calls {
    bool read = false;
    bool watch = false;
    bool prove = false;
};

// Decides which calls are due and notes them as under way. To be asked every tick.
store_calls next_store_calls(store_duty& duty, const store_duty_view& view,
                             const store_duty_rules& rules);

// The whole store was read, or could not be.
void note_store_read(store_duty& duty, bool answered, const store_duty_view& view,
                     const store_duty_rules& rules);

// A watch has ended. `forgotten`: the store no longer has the history since our revision.
void note_watch_end(store_duty& duty, bool answered, bool forgotten, const store_duty_view& view,
                    const store_duty_rules& rules);

// What a proof has shown.
struct proof_outcome {
    bool answered = false;
    // The operators' part of the store is as this entry knows it.
    bool unchanged = false;
    // The store has changes that this entry has not heard of.
    bool behind = false;
};

void note_proof(store_duty& duty, const proof_outcome& outcome, const store_duty_view& view,
                const store_duty_rules& rules);

} // namespace camphorrail::entries
