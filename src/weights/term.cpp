#include "weights/term.h"

#include <algorithm>

namespace camphorrail::weights {

term begin_term(std::int64_t fence, std::int64_t lease, const last_order_issuer& before,
                base::instant asked, base::instant won, const term_rules& rules) {
    term begun;
    begun.fencing_token = fence;
    begun.lease_id = lease;
    begun.valid_from = won;
    if (before.is_other_process) {
        const base::instant ended = before.ended_at.value_or(won);
        begun.valid_from = std::max(won, ended + rules.handover_gap);
    }
    begun.valid_until = asked + rules.lease_duration - rules.margin;
    return begun;
}

void renew_term(term& held, base::instant asked, const term_rules& rules) {
    held.valid_until = std::max(held.valid_until, asked + rules.lease_duration - rules.margin);
}

bool may_issue_orders(const term& held, base::instant now) {
    return held.fencing_token > 0 && now >= held.valid_from && now < held.valid_until;
}

} // namespace camphorrail::weights
