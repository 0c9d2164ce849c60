#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorrail::admission {

// A request that waits at an agent.
struct queued_request {
    base::attempt_id attempt;
    base::team_id team;
    int priority = 0;
    double share = 1.0;
    // Prefill time of the prompt tokens that are not in the engine's cache.
    base::micros work{0};
    // Deadline of the first token, and of the whole request.
    base::instant target;
    base::instant deadline;
};

// The requests that wait at one agent. Higher priorities run first; within a priority, the team
// that has received the least work relative to its share; within a team, the earliest target. Since
// the requests of all entries meet here, shares hold over all entries without messages between
// them.
struct request_queue {
    std::vector<queued_request> requests;
    // Work served for each team so far, divided by its share.
    std::unordered_map<base::team_id, double> served_work;
    std::size_t capacity = 64;
};

struct admission_rules {
    // Longest predicted wait that is admitted, as a fraction of the time until the target. Set by
    // the active preset.
    double wait_to_target = 1.0;
    int lowest_priority = 0;
};

// Predicted wait of a new request: all queued work that would run before it, in addition to the
// engine's own wait.
base::micros predicted_wait(const request_queue& queue, int priority, base::micros engine_wait);

// Whether to accept a request. It is rejected at once, while the client can still try elsewhere; a
// request that can't meet its target would only delay requests that can.
base::result<void> admit(const request_queue& queue, const queued_request& request,
                         base::micros engine_wait, base::instant now, const admission_rules& rules);

void push(request_queue& queue, queued_request request);

// Removes and returns the request to run next.
std::optional<queued_request> pop(request_queue& queue);

// Removes and returns all requests whose deadline has passed.
std::vector<queued_request> remove_expired(request_queue& queue, base::instant now);

// Removes one request; returns false if it is not queued.
bool remove(request_queue& queue, const base::attempt_id& attempt);

} // namespace camphorrail::admission
