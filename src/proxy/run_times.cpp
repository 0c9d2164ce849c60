#include "proxy/run_times.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

constexpr base::micros period = base::seconds(30);

} // namespace

void record_run_time(run_times& times, const std::string& route, base::micros span,
                     base::instant now) {
    auto& known = times.routes[route];
    if (now - known.period_began >= period) {
        known.period_began = now;
        known.longest_before = known.longest;
        known.longest = base::micros(0);
    }
    known.longest = std::max(known.longest, span);
}

std::optional<base::micros> longest_run_time(const run_times& times, const std::string& route) {
    const auto known = times.routes.find(route);
    if (known == times.routes.end()) {
        return std::nullopt;
    }
    return std::max(known->second.longest, known->second.longest_before);
}

void keep_routes(run_times& times, const std::set<std::string>& names) {
    std::erase_if(times.routes,
                  [&names](const auto& each) { return names.count(each.first) == 0; });
}

bool may_be_sent_before_exit(const last_request& request) {
    if (request.new_clients_arrive && (request.repeatable || !request.longest_run)) {
        return true;
    }
    const base::micros longest = request.longest_run.value_or(request.client_time_left);
    return std::min(longest, request.client_time_left) <= request.entry_time_left;
}

} // namespace camphorrail::proxy
