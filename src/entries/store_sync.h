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
struct store_sync_rules {
    // So many entries watch the store. One may be cut off and another one ending.
    std::size_t watchers = 3;
    // Between the answer to a watch and the next watch. Changes that come together cost one call;
    // the first after a quiet while is told at once. Far below the bounds on configurations and
    // leaving upstreams.
    base::micros watch_interval = base::milliseconds(300);
    // Between two proofs that nothing was missed, by the first in line.
    base::micros verification_interval = base::seconds(1);
    // After a call that failed; longer with each failure in a row and each entry that comes before
    // this one in line, up to the longest. An entry that nobody tells of the store's return, and so
    // is first in its line, must serve again within two seconds of it.
    base::micros retry_delay = base::milliseconds(400);
    base::micros max_retry_delay = base::seconds(4);
    // An entry that gets no proof from others for so long proves for itself: the second in line
    // first, then one after the other, and all at the longest, which is well below the age that
    // ends service. The second's proofs are a proof's period and a question's old.
    base::micros first_takeover_age = base::milliseconds(1500);
    base::micros takeover_age_step = base::milliseconds(150);
    base::micros max_takeover_age = base::milliseconds(2400);
    // One whose own proof shows news that nobody has told it watches for a while too. With all that
    // proved for themselves watching, a cut between entries cost a thousand calls.
    base::micros min_extra_watch = base::seconds(5);
    // A watch that was open for so long should have told what a proof shows to be missing.
    base::micros max_watch_delay = base::milliseconds(500);
};

// What an entry has under way at the store, and when it is to ask next.
struct store_sync {
    bool watches_store = true;
    bool read_once = false;
    bool reading = false;
    bool watching = false;
    bool verifying = false;
    // The whole store is to be read anew.
    bool read_needed = true;
    // A watch was silent about a change once.
    bool watch_suspected = false;
    // Calls in a row that the store has not answered.
    int failures = 0;
    base::instant watch_since{};
    base::instant next_read{};
    base::instant next_watch{};
    base::instant next_verification{};
    base::instant extra_watch_until{};
};

// What decides besides.
struct store_sync_view {
    // Linked entries that come before this one in line.
    std::size_t rank = 0;
    // Age of the newest proof, by whomever; nothing where there is none.
    std::optional<base::micros> verification_age;
    base::instant now{};
};

// The calls to be made now.
struct store_calls {
    bool read = false;
    bool watch = false;
    bool verify = false;
};

// Decides which calls are due and notes them as under way. To be asked every tick.
store_calls next_store_calls(store_sync& sync, const store_sync_view& view,
                             const store_sync_rules& rules);

// The whole store was read, or could not be.
void record_store_read(store_sync& sync, bool answered, const store_sync_view& view,
                       const store_sync_rules& rules);

// A watch has ended. `forgotten`: the store no longer has the history since our revision.
void record_watch_end(store_sync& sync, bool answered, bool history_lost,
                      const store_sync_view& view, const store_sync_rules& rules);

// What a proof has shown.
struct verification_result {
    bool answered = false;
    // The operators' part of the store is as this entry knows it.
    bool unchanged = false;
    // The store has changes that this entry has not heard of.
    bool behind = false;
};

void record_verification(store_sync& sync, const verification_result& outcome,
                         const store_sync_view& view, const store_sync_rules& rules);

} // namespace camphorrail::entries
