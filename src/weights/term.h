#pragma once

#include "base/revision.h"
#include "base/units.h"

#include <cstdint>
#include <optional>

namespace camphorrail::weights {

// A leader's term as seen by this process: the period in which only this process may issue orders.
struct term {
    // The revision of the store at which this process became leader. Increases with every change
    // of the leader.
    base::revision elected_in;
    std::int64_t lease_id = 0;
    // No order before this time. The previous leader may have issued one until shortly before its
    // lease expired, and upstreams must not receive orders of two leaders alternately.
    base::instant valid_from{};
    // No order after this time. Computed from before the renewal was sent, on a clock that includes
    // suspension, so that a process that was frozen can't issue orders after its lease has expired.
    base::instant valid_until{};
};

struct term_rules {
    base::micros lease_duration = base::seconds(3);
    // Allowance for the delivery time of an order and for drift between clocks.
    base::micros margin = base::milliseconds(400);
    // Minimum time between the last order of one leader and the first order of the next. Counted
    // from when the lease was observed to expire, which is at least `margin` after that last order.
    base::micros handover_gap = base::seconds(3);
};

// The process that issued the last orders before a term, as known to the new leader.
struct last_order_issuer {
    // Whether it was another process; false if no process has issued orders, or this process was
    // the last.
    bool is_other_process = false;
    // When this process observed the end of the other's term; nullopt if it did not observe it.
    std::optional<base::instant> ended_at;
    // The latest time at which the term of another process may have ended of which the store has
    // lost the record; nullopt if it has lost none.
    std::optional<base::instant> unrecorded_until;
};

// Begins a new term. `requested_at` is when the lease was requested, `elected_at` when the store's
// response was received. The term waits for the last process that issued orders instead of the last
// leader: in a rolling restart, each leader is stopped before its wait is over, and no order would
// ever be issued.
term begin_term(base::revision elected_in, std::int64_t lease_id, const last_order_issuer& previous,
                base::instant requested_at, base::instant elected_at, const term_rules& rules);

// Extends the term after the lease was renewed by a request sent at `requested_at`.
void renew_term(term& current, base::instant requested_at, const term_rules& rules);

// Whether an order may be issued now.
bool may_issue_orders(const term& current, base::instant now);

} // namespace camphorrail::weights
