#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>

namespace camphorrail::weights {

// One stretch during which this process alone may give orders, as it knows it.
struct term {
    // Rises with every change of the holder.
    std::int64_t fencing_token = 0;
    std::int64_t lease_id = 0;
    // No order before this moment: the holder before may have given one until just before its lease
    // ended, and upstreams must not see two holders take turns.
    base::instant valid_from{};
    // No order after this moment, counted on a clock that counts suspension from before the renewal
    // was sent: a process that was frozen must not order with a lease that has run out meanwhile.
    base::instant valid_until{};
};

struct term_rules {
    base::micros lease_duration = base::seconds(3);
    // What an order takes to its upstream, and how far clocks may run apart.
    base::micros margin = base::milliseconds(400);
    // Least time between the last order of one holder and the first of the next. Counted from when
    // the lease was seen to end, which is at least `margin` after that last order.
    base::micros handover_gap = base::seconds(3);
};

// Who gave the last orders before a term, as the one that begins it knows.
struct last_order_issuer {
    // Another process; false where none ever ordered, or this one did.
    bool is_other_process = false;
    // When this process saw that the other's term was over; nothing where it did not see it.
    std::optional<base::instant> ended_at;
};

// A new term. `asked` is when the lease was asked for, `won` when the store's answer was read. It
// waits for the last one that gave orders and not for the last holder: in a rolling restart each
// holder is stopped before its wait is over, and no order would ever be given.
term begin_term(std::int64_t fence, std::int64_t lease, const last_order_issuer& before,
                base::instant asked, base::instant won, const term_rules& rules);

// The lease was renewed by a call that was sent at `asked`.
void renew_term(term& held, base::instant asked, const term_rules& rules);

// Whether an order may be given now.
bool may_issue_orders(const term& held, base::instant now);

} // namespace camphorrail::weights
