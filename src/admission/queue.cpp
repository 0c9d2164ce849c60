#include "admission/queue.h"

#include <algorithm>
#include <limits>

namespace camphorrail::admission {

namespace {

constexpr double min_share = 1e-3;

double served_work_of(const request_queue& queue, const base::team_id& team) {
    const auto found = queue.served_work.find(team);
    return found == queue.served_work.end() ? 0.0 : found->second;
}

bool precedes(const request_queue& queue, const queued_request& left, const queued_request& right) {
    if (left.priority != right.priority) {
        return left.priority > right.priority;
    }
    const double left_served = served_work_of(queue, left.team);
    const double right_served = served_work_of(queue, right.team);
    if (left_served != right_served) {
        return left_served < right_served;
    }
    return left.target < right.target;
}

// The least served work of any waiting team. A team that was idle starts from here; otherwise it
// would be owed all the time that it did not use and block the other teams until that is made up.
double min_served_work(const request_queue& queue) {
    double least = std::numeric_limits<double>::infinity();
    for (const queued_request& request : queue.requests) {
        least = std::min(least, served_work_of(queue, request.team));
    }
    return queue.requests.empty() ? 0.0 : least;
}

bool has_queued(const request_queue& queue, const base::team_id& team) {
    return std::any_of(queue.requests.begin(), queue.requests.end(),
                       [&team](const queued_request& request) { return request.team == team; });
}

} // namespace

base::micros predicted_wait(const request_queue& queue, int priority, base::micros engine_wait) {
    base::micros wait = engine_wait;
    for (const queued_request& request : queue.requests) {
        if (request.priority >= priority) {
            wait += request.work;
        }
    }
    return wait;
}

base::result<void> admit(const request_queue& queue, const queued_request& request,
                         base::micros engine_wait, base::instant now,
                         const admission_rules& rules) {
    if (request.priority < rules.lowest_priority) {
        return base::code::team_over_share;
    }
    if (queue.requests.size() >= queue.capacity) {
        return base::code::overloaded;
    }
    const base::micros wait = predicted_wait(queue, request.priority, engine_wait) + request.work;
    const double allowed =
        static_cast<double>((request.target - now).count()) * rules.wait_to_target;
    if (static_cast<double>(wait.count()) > allowed || now + wait > request.deadline) {
        return base::code::target_out_of_reach;
    }
    return boost::outcome_v2::success();
}

void push(request_queue& queue, queued_request request) {
    if (!has_queued(queue, request.team)) {
        double& team_work = queue.served_work[request.team];
        team_work = std::max(team_work, min_served_work(queue));
    }
    queue.requests.push_back(std::move(request));
}

std::optional<queued_request> pop(request_queue& queue) {
    const auto next = std::min_element(
        queue.requests.begin(), queue.requests.end(),
        [&queue](const auto& left, const auto& right) { return precedes(queue, left, right); });
    if (next == queue.requests.end()) {
        return std::nullopt;
    }
    queued_request request = std::move(*next);
    queue.requests.erase(next);
    queue.served_work[request.team] +=
        static_cast<double>(request.work.count()) / std::max(request.share, min_share);
    if (queue.requests.empty()) {
        queue.served_work.clear();
    }
    return request;
}

std::vector<queued_request> remove_expired(request_queue& queue, base::instant now) {
    std::vector<queued_request> expired;
    auto kept_end = queue.requests.begin();
    for (queued_request& request : queue.requests) {
        if (request.deadline <= now) {
            expired.push_back(std::move(request));
        } else {
            if (&*kept_end != &request) {
                *kept_end = std::move(request);
            }
            ++kept_end;
        }
    }
    queue.requests.erase(kept_end, queue.requests.end());
    return expired;
}

bool remove(request_queue& queue, const base::attempt_id& attempt) {
    const auto found =
        std::find_if(queue.requests.begin(), queue.requests.end(),
                     [&attempt](const auto& request) { return request.attempt == attempt; });
    if (found == queue.requests.end()) {
        return false;
    }
    queue.requests.erase(found);
    return true;
}

} // namespace camphorrail::admission
