#include "weights/term.h"

#include <algorithm>

namespace camphorrail::weights {

term begin_term(std::int64_t fence, std::int64_t lease, const last_orderer& before,
                base::instant asked, base::instant won, const term_rules& rules) {
    term begun;
    begun.fence = fence;
    begun.lease = lease;
    begun.from = won;
    if (before.other) {
        const base::instant ended = before.seen_ended.value_or(won);
        begun.from = std::max(won, ended + rules.apart);
    }
    begun.until = asked + rules.lease - rules.margin;
    return begun;
}

void renew(term& held, base::instant asked, const term_rules& rules) {
    held.until = std::max(held.until, asked + rules.lease - rules.margin);
}

bool may_order(const term& held, base::instant now) {
    return held.fence > 0 && now >= held.from && now < held.until;
}

} // namespace camphorrail::weights
