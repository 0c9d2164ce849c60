#include "admission/retry_budget.h"

namespace camphorrail::admission {

bool consume_retry(retry_budget& budget) {
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace camphorrail::admission
