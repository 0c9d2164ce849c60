#include "weights/term.h"

#include <algorithm>

namespace camphorrail::weights {

term begin_term(base::revision elected_in, std::int64_t lease_id, const last_order_issuer& previous,
                base::instant requested_at, base::instant elected_at, const term_rules& rules) {
    term started;
    started.elected_in = elected_in;
    started.lease_id = lease_id;
    started.valid_from = elected_at;
    if (previous.is_other_process) {
        const base::instant ended = previous.ended_at.value_or(elected_at);
        started.valid_from = std::max(elected_at, ended + rules.handover_gap);
    }
    if (previous.unrecorded_until) {
        started.valid_from =
            std::max(started.valid_from, *previous.unrecorded_until + rules.handover_gap);
    }
    started.valid_until = requested_at + rules.lease_duration - rules.margin;
    return started;
}

void renew_term(term& current, base::instant requested_at, const term_rules& rules) {
    current.valid_until =
        std::max(current.valid_until, requested_at + rules.lease_duration - rules.margin);
}

bool may_issue_orders(const term& current, base::instant now) {
    return current.elected_in > base::revision{} && now >= current.valid_from &&
           now < current.valid_until;
}

} // namespace camphorrail::weights
