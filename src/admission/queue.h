#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorrail::admission {

// One order that waits at an agent.
struct queued_request {
    base::attempt_id attempt;
    base::team_id team;
    int priority = 0;
    double share = 1.0;
    // Prefill work it brings: its prompt's tokens not in the engine's cache, in time.
    base::micros work{0};
    // When its first token is due, and when its caller's time runs out.
    base::instant target;
    base::instant deadline;
};

// Orders waiting at one agent. Higher priorities go first; within one, the team that has had least
// for its share; within a team, the earliest target. Since every entry's orders meet here, shares
// hold over all entries without a message between them.
struct request_queue {
    std::vector<queued_request> requests;
    // Work given to each team so far, divided by its share.
    std::unordered_map<base::team_id, double> served_work;
    std::size_t capacity = 64;
};

struct admission_rules {
    // From the preset in force: the longest wait admitted, in parts of the time to the target.
    double wait_to_target = 1.0;
    int lowest_priority = 0;
};

// Predicted wait of a new order: all work that would go before it, over what the engine has left.
base::micros predicted_wait(const request_queue& queue, int priority, base::micros engine_wait);

// Whether an order should be taken. The refusal comes at once, while the caller can still go
// elsewhere; an order that can't meet its target would only take time from those that can.
base::result<void> admit(const request_queue& queue, const queued_request& request,
                         base::micros engine_wait, base::instant now, const admission_rules& rules);

void push(request_queue& queue, queued_request request);

// The order to run next.
std::optional<queued_request> pop(request_queue& queue);

// Takes out all orders whose deadline has passed.
std::vector<queued_request> remove_expired(request_queue& queue, base::instant now);

// Takes out one order; false when it is not there.
bool remove(request_queue& queue, const base::attempt_id& attempt);

} // namespace camphorrail::admission
