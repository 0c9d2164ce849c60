#include "soak/checker.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace camphorrail::soak {

namespace {

constexpr int status_ok = 200;
constexpr int first_error = 300;
constexpr int status_over_quota = 429;

using runs_by_id = std::map<std::string, std::vector<const run_seen*>>;
using findings = std::vector<std::string>;

std::string at_text(base::instant at) {
    return std::to_string(at.time_since_epoch().count() / 1000) + " ms";
}

void find(findings& found, const std::string& promise, const call_seen& call,
          const std::string& detail) {
    found.push_back(promise + ": " + call.id + " " + path_of(call.kind) + " to entry " +
                    std::to_string(call.entry) + " at " + at_text(call.sent_at) + ", status " +
                    std::to_string(call.status) + ": " + detail);
}

bool may_repeat(call_kind kind) {
    return kind == call_kind::safe || kind == call_kind::resumable_stream;
}

// These statuses say that the call has not run and never will.
bool says_not_run(int status) {
    const std::set<int> statuses{408, 421, 429, 503};
    return statuses.count(status) > 0;
}

void check_runs(const call_seen& call, const std::vector<const run_seen*>& runs, findings& found) {
    if (!may_repeat(call.kind) && runs.size() > 1) {
        find(found, "at most once", call, "ran " + std::to_string(runs.size()) + " times");
    }
    if (says_not_run(call.status) && !may_repeat(call.kind) && !runs.empty()) {
        find(found, "a true 'not run'", call, "ran at " + runs.front()->instance);
    }
}

// The ids of a stream's events, in the order they came; nothing where the bytes make no sense.
std::vector<int> event_ids(const std::string& body) {
    std::vector<int> ids;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("id: ", 0) == 0) {
            ids.push_back(std::stoi(line.substr(4)));
        }
    }
    return ids;
}

void check_stream(const call_seen& call, findings& found) {
    const auto ids = event_ids(call.body);
    const auto first = static_cast<std::size_t>(call.after_event) + 1;
    for (std::size_t at = 0; at < ids.size(); ++at) {
        if (ids[at] != static_cast<int>(first + at)) {
            find(found, "streams in order", call,
                 "event " + std::to_string(ids[at]) + " in place " + std::to_string(first + at));
            return;
        }
    }
    if (call.whole && first + ids.size() != stream_events + 1) {
        find(found, "whole streams", call, "ended after event " + std::to_string(ids.size()));
    }
    const bool foreign = !ids.empty() && call.body.find("data: " + call.id) == std::string::npos;
    if (foreign) {
        find(found, "one's own answer", call, "events of another call");
    }
}

void check_answer(const call_seen& call, const std::vector<const run_seen*>& runs,
                  findings& found) {
    if (call.status == 0 || call.status >= first_error) {
        return;
    }
    const bool stamped = std::any_of(runs.begin(), runs.end(), [&call](const run_seen* run) {
        return run->stamp == call.stamp;
    });
    if (!stamped) {
        find(found, "one's own answer", call, "success without a run's stamp");
    }
    if (is_stream(call.kind)) {
        check_stream(call, found);
    } else if (call.whole && call.body != "done " + call.id) {
        find(found, "one's own answer", call, "body '" + call.body + "'");
    }
}

void check_key(const call_seen& call, const std::vector<const run_seen*>& runs, const history& seen,
               const promised& promises, findings& found) {
    for (const auto& removed : seen.removed) {
        if (removed.key == call.key && call.sent_at > removed.at + promises.revoke &&
            !runs.empty()) {
            find(found, "removed keys", call, "its key was taken away at " + at_text(removed.at));
        }
    }
    for (const auto* run : runs) {
        if (run->team != "team-of-" + call.key) {
            find(found, "one's own team", call, "ran for '" + run->team + "'");
        }
    }
}

bool broken_near(const history& seen, const call_seen& call, const promised& promises) {
    return std::any_of(seen.faults.begin(), seen.faults.end(), [&](const fault_span& span) {
        return !span.planned && span.until + promises.calm >= call.sent_at &&
               span.from <= call.ended_at;
    });
}

// Around an orderly stop of its entry, and nothing else, a call that an engine has begun on must
// get its whole answer.
void check_stops(const call_seen& call, const std::vector<const run_seen*>& runs,
                 const history& seen, const promised& promises, findings& found) {
    if (runs.empty() || call.whole || call.left || broken_near(seen, call, promises)) {
        return;
    }
    for (const auto& span : seen.faults) {
        const bool around = span.planned && span.entry == call.entry &&
                            call.ended_at >= span.from && call.sent_at <= span.until;
        if (around) {
            find(found, "a stop cuts nothing", call, span.what + " from " + at_text(span.from));
            return;
        }
    }
}

bool thawed_near(const history& seen, base::instant at, base::milliseconds thaw) {
    return std::any_of(seen.faults.begin(), seen.faults.end(), [&](const fault_span& span) {
        return !span.planned && at >= span.from && at <= span.until + thaw;
    });
}

// Two holders must not take turns at engines, nor a fence go back.
void check_orders(const history& seen, const promised& promises, findings& found) {
    const order_seen* last = nullptr;
    for (const auto& order : seen.orders) {
        const bool excused = thawed_near(seen, order.at, promises.thaw);
        if (last != nullptr && !excused && order.holder != last->holder) {
            if (order.at - last->at < promises.lease) {
                found.push_back("one leader: orders of " + last->holder + " and " + order.holder +
                                " within " + std::to_string((order.at - last->at).count() / 1000) +
                                " ms at " + at_text(order.at));
            }
            if (order.fence <= last->fence) {
                found.push_back("one leader: the fence went back at " + at_text(order.at));
            }
        }
        last = &order;
    }
}

// Whether something was broken that may keep entries from knowing what others know.
bool unsettled(const history& seen, base::instant at, const promised& promises) {
    return std::any_of(seen.faults.begin(), seen.faults.end(), [&](const fault_span& span) {
        return span.what != "fatal_requests" && span.from <= at && at <= span.until + promises.calm;
    });
}

void check_fatal(const history& seen, const promised& promises, findings& found) {
    std::map<std::string, std::vector<const run_seen*>> fatal;
    for (const auto& run : seen.runs) {
        if (!run.fatal.empty()) {
            fatal[run.fatal].push_back(&run);
        }
    }
    constexpr std::size_t crashes_of_request = 3;
    for (const auto& [request, runs] : fatal) {
        const std::size_t known =
            request == fatal_prompt_part ? promises.crashes_of_part : crashes_of_request;
        std::set<std::string> crashed;
        std::size_t later = 0;
        base::instant known_at{};
        for (const auto* run : runs) {
            if (crashed.insert(run->instance).second && crashed.size() == known) {
                known_at = run->at;
            }
            const bool late = crashed.size() >= known && run->at > known_at + promises.calm;
            later += late && !unsettled(seen, run->at, promises) ? 1 : 0;
        }
        if (later > promises.sends_after_crashes) {
            found.push_back("fatal requests are held back: '" + request + "' ran " +
                            std::to_string(later) + " times more, " +
                            std::to_string(crashed.size()) + " engines crashed");
        }
    }
}

using entry_and_instance = std::pair<int, std::string>;

// Where each run and each refusal was, by the entry that sent it.
std::map<std::string, const call_seen*> calls_by_id(const history& seen) {
    std::map<std::string, const call_seen*> found;
    for (const auto& call : seen.calls) {
        found[call.id] = &call;
    }
    return found;
}

bool restarted_since(const history& seen, base::instant since, base::instant until) {
    return std::any_of(seen.faults.begin(), seen.faults.end(), [&](const fault_span& span) {
        const bool ends_entry = span.what == "kill" || span.what == "stop" || span.what == "pause";
        return ends_entry && span.until >= since && span.from <= until;
    });
}

void check_leaving(const history& seen, const promised& promises, findings& found) {
    const auto calls = calls_by_id(seen);
    std::map<entry_and_instance, base::instant> said;
    for (const auto& run : seen.runs) {
        const auto call = calls.find(run.id);
        const bool passed_on =
            call != calls.end() && call->second->says_leaving && call->second->stamp == run.stamp;
        if (passed_on) {
            const auto [first, is_new] =
                said.try_emplace({call->second->entry, run.instance}, call->second->ended_at);
            first->second = std::min(first->second, call->second->ended_at);
        }
    }
    for (const auto& run : seen.runs) {
        const auto call = calls.find(run.id);
        if (call == calls.end()) {
            continue;
        }
        const auto first = said.find({call->second->entry, run.instance});
        const bool late =
            first != said.end() && call->second->sent_at > first->second + promises.drain;
        if (late && !restarted_since(seen, first->second, run.at)) {
            find(found, "nothing new to one that leaves", *call->second, "ran at " + run.instance);
        }
    }
}

void check_pauses(const history& seen, const promised& promises, findings& found) {
    const auto calls = calls_by_id(seen);
    const auto entry_of = [&calls](const std::string& id) {
        const auto call = calls.find(id);
        return call == calls.end() ? -1 : call->second->entry;
    };
    std::map<entry_and_instance, const pause_asked*> first;
    std::map<entry_and_instance, std::size_t> within;
    for (const auto& each : seen.pauses) {
        const entry_and_instance where{entry_of(each.id), each.instance};
        const auto [asked, is_new] = first.try_emplace(where, &each);
        const bool counts = !is_new && each.at > asked->second->at + promises.pause_begins &&
                            !restarted_since(seen, asked->second->at, each.at);
        within[where] += counts ? 1 : 0;
    }
    for (const auto& [where, count] : within) {
        if (count > promises.calls_in_a_pause) {
            found.push_back("pauses are kept: " + where.second + " was asked " +
                            std::to_string(count) + " times by entry " +
                            std::to_string(where.first));
        }
    }
}

// The most of these moments, in order, that lie within any window.
std::size_t fullest_window(const std::vector<base::instant>& times, base::milliseconds window) {
    std::size_t first = 0;
    std::size_t fullest = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        fullest = std::max(fullest, last - first + 1);
    }
    return fullest;
}

bool is_of_store(const fault_span& span) {
    const std::set<std::string> faults{"store_busy", "store_silent", "store_slow", "store_loses",
                                       "store_returns"};
    return faults.count(span.what) > 0;
}

bool is_of_link(const fault_span& span) {
    const std::set<std::string> faults{"delay_engine",   "reset_engine",  "cut_one_way",
                                       "silence_engine", "refuse_engine", "silence_store",
                                       "cut_store"};
    return faults.count(span.what) > 0;
}

// Until when the entry's process did not run, by this fault; a killed one runs from its start on.
std::optional<base::instant> kept_from_running_until(const fault_span& span, int entry) {
    if (span.entry != entry) {
        return std::nullopt;
    }
    if (span.what == "kill") {
        return span.from;
    }
    const bool ends = span.what == "stop" || span.what == "pause";
    return ends ? std::optional(span.until) : std::nullopt;
}

// Whether for the whole calm before, the entry's process ran, and neither the store nor a link was
// disturbed.
bool in_touch(const history& seen, int entry, base::instant at, const promised& promises) {
    const base::instant since = at - promises.calm;
    const bool started =
        std::any_of(seen.starts.begin(), seen.starts.end(), [&](const entry_start& start) {
            return start.entry == entry && start.at <= at && start.at >= since;
        });
    return !started && std::none_of(seen.faults.begin(), seen.faults.end(), [&](const auto& span) {
        const bool around = is_of_store(span) || is_of_link(span);
        const auto until = around ? span.until : kept_from_running_until(span, entry);
        return until && span.from <= at && *until >= since;
    });
}

// Since when, up to this moment, the store has been stable and no link disturbed.
base::instant undisturbed_since(const history& seen, base::instant at, const promised& promises) {
    base::instant since{};
    for (const auto& span : seen.faults) {
        if (span.from > at) {
            continue;
        }
        if (is_of_store(span)) {
            since = std::max<base::instant>(since, span.until + promises.calm);
        } else if (is_of_link(span)) {
            since = std::max(since, span.until);
        }
    }
    return since;
}

void check_weights(const history& seen, const promised& promises, findings& found) {
    const auto calls = calls_by_id(seen);
    for (const auto& run : seen.runs) {
        const auto call = calls.find(run.id);
        if (call == calls.end() || run.model.empty() ||
            !in_touch(seen, call->second->entry, run.at, promises)) {
            continue;
        }
        const base::instant stretch = undisturbed_since(seen, run.at, promises);
        const auto late =
            std::find_if(seen.named.begin(), seen.named.end(), [&](const version_named& named) {
                return named.model == run.model && named.version > run.weights &&
                       run.at - std::max(named.at, stretch) > promises.outdated_weights;
            });
        if (late != seen.named.end()) {
            find(found, "nothing begins on outdated weights", *call->second,
                 "began at " + run.instance + " at " + at_text(run.at) + " on version " +
                     std::to_string(run.weights) + ", version " + std::to_string(late->version) +
                     " acknowledged at " + at_text(late->at));
        }
    }
}

// First acknowledgements count: what the store loses of them later puts off nothing.
void check_listed_leaving(const history& seen, const promised& promises, findings& found) {
    const auto calls = calls_by_id(seen);
    std::map<std::string, base::instant> listed;
    for (const auto& each : seen.leaving) {
        const auto [first, is_new] = listed.try_emplace(each.instance, each.at);
        first->second = std::min(first->second, each.at);
    }
    for (const auto& run : seen.runs) {
        const auto call = calls.find(run.id);
        const auto since = listed.find(run.instance);
        const bool late = since != listed.end() && run.at > since->second + promises.listed_drain;
        if (late && call != calls.end() && in_touch(seen, call->second->entry, run.at, promises)) {
            find(found, "nothing new to one listed as leaving", *call->second,
                 "began at " + run.instance + " at " + at_text(run.at) +
                     ", leaving acknowledged at " + at_text(since->second));
        }
    }
}

// The versions of the software that generated a stream's events.
std::set<std::string> software_of(const std::string& body) {
    const std::string field = "software: ";
    std::set<std::string> versions;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(field, 0) == 0) {
            versions.insert(line.substr(field.size()));
        }
    }
    return versions;
}

using software_by_stream = std::map<std::string, std::set<std::string>>;

// Over all calls for a stream, by the id of the first one that brought an event.
software_by_stream software_of_streams(const history& seen) {
    software_by_stream found;
    for (const auto& call : seen.calls) {
        if (call.kind == call_kind::resumable_stream && call.status == status_ok) {
            found[call.resumes.empty() ? call.id : call.resumes].merge(software_of(call.body));
        }
    }
    return found;
}

void check_software(const history& seen, findings& found) {
    for (const auto& [stream, versions] : software_of_streams(seen)) {
        if (versions.size() > 1) {
            found.push_back("streams keep their software: " + stream + " holds events of " +
                            *versions.begin() + " and " + *versions.rbegin());
        }
    }
}

int engines_serving(const history& seen, const std::string& software, const call_seen& call) {
    return static_cast<int>(
        std::count_if(seen.serving.begin(), seen.serving.end(), [&](const engine_span& span) {
            return span.software == software && span.from <= call.sent_at &&
                   span.until >= call.ended_at;
        }));
}

struct share {
    int all = 0;
    int served = 0;
};

void check_resumptions(const history& seen, const promised& promises, findings& found) {
    const auto software = software_of_streams(seen);
    share begun;
    share resumed;
    for (const auto& call : seen.calls) {
        const bool counts = call.kind == call_kind::resumable_stream && !call.fatal &&
                            in_touch(seen, call.entry, call.sent_at, promises);
        if (!counts) {
            continue;
        }
        const bool served = call.status == status_ok;
        if (call.resumes.empty()) {
            ++begun.all;
            begun.served += served ? 1 : 0;
            continue;
        }
        const auto versions = software.find(call.resumes);
        const bool known = versions != software.end() && versions->second.size() == 1;
        if (known && engines_serving(seen, *versions->second.begin(), call) > 1) {
            ++resumed.all;
            resumed.served += served ? 1 : 0;
        }
    }
    const double share_begun =
        begun.all == 0 ? 0.0 : static_cast<double>(begun.served) / static_cast<double>(begun.all);
    const bool too_few =
        resumed.all >= promises.least_resumptions &&
        resumed.served < promises.resumed_share * share_begun * static_cast<double>(resumed.all);
    if (too_few) {
        found.push_back("streams are resumed: " + std::to_string(resumed.served) + " of " +
                        std::to_string(resumed.all) + ", while " + std::to_string(begun.served) +
                        " of " + std::to_string(begun.all) + " new ones began");
    }
}

// When entries first passed on an answer of this back end that states a limit.
std::map<int, base::instant> told_of_limit(const history& seen, const limit_stated& limit) {
    std::map<int, base::instant> told;
    for (const auto& call : seen.calls) {
        const bool states = call.states_limit && call.stamp.starts_with(limit.instance + "/") &&
                            call.ended_at >= limit.from;
        if (states) {
            const auto [first, is_new] = told.try_emplace(call.entry, call.ended_at);
            first->second = std::min(first->second, call.ended_at);
        }
    }
    return told;
}

void check_limits(const history& seen, const promised& promises, findings& found) {
    const auto calls = calls_by_id(seen);
    for (const auto& limit : seen.limits) {
        const auto told = told_of_limit(seen, limit);
        std::vector<base::instant> arrivals;
        for (const auto& run : seen.runs) {
            const bool settled = run.instance == limit.instance && run.at <= limit.until &&
                                 run.at >= limit.from + promises.limit_settles;
            const auto call = settled ? calls.find(run.id) : calls.end();
            if (call == calls.end()) {
                continue;
            }
            const int entry = call->second->entry;
            const auto since = told.find(entry);
            const bool counts = since != told.end() &&
                                run.at >= since->second + promises.limit_told &&
                                in_touch(seen, entry, run.at, promises);
            if (counts) {
                arrivals.push_back(run.at);
            }
        }
        std::sort(arrivals.begin(), arrivals.end());
        const std::chrono::duration<double> window = promises.limit_window;
        const double most = promises.limit_excess * limit.requests_per_second * window.count() +
                            promises.limit_slack;
        const std::size_t fullest = fullest_window(arrivals, promises.limit_window);
        if (static_cast<double>(fullest) > most) {
            found.push_back("rate limits are kept: " + limit.instance + " got " +
                            std::to_string(fullest) + " calls in one window, " +
                            std::to_string(static_cast<int>(most)) + " allowed");
        }
    }
}

bool is_of_limited_team(const call_seen& call, const promised& promises) {
    return "team-of-" + call.key == promises.quota_team;
}

// Counted at the back ends alone, whatever the entries believe.
void check_quota(const history& seen, const promised& promises, findings& found) {
    std::vector<base::instant> ran;
    for (const auto& run : seen.runs) {
        if (run.team == promises.quota_team) {
            ran.push_back(run.at);
        }
    }
    std::sort(ran.begin(), ran.end());
    const std::size_t fullest = fullest_window(ran, promises.quota_window);
    const std::chrono::duration<double> window = promises.quota_window;
    const double given = promises.quota_rate_per_s * window.count() + promises.quota_burst;
    const double most = given * (1.0 + promises.quota_excess) + promises.quota_slack;
    if (static_cast<double>(fullest) > most) {
        found.push_back("quotas hold over all entries: " + std::to_string(fullest) +
                        " runs in one window, " + std::to_string(static_cast<int>(most)) +
                        " allowed");
    }
}

std::size_t count_before(const std::vector<base::instant>& sorted, base::instant end) {
    return static_cast<std::size_t>(std::lower_bound(sorted.begin(), sorted.end(), end) -
                                    sorted.begin());
}

// The calls that count for a window that ends at `end`: those of the window, of the one before it
// or of the one half a window before it, whichever has most.
double calls_for_window(const std::vector<base::instant>& sent, base::instant end,
                        base::milliseconds window) {
    std::size_t most = 0;
    for (const auto earlier : {base::milliseconds(0), window / 2, window}) {
        const base::instant until = end - earlier;
        most = std::max(most, count_before(sent, until) - count_before(sent, until - window));
    }
    return static_cast<double>(most);
}

// Streams and plain calls go to different services. Counted are also calls that a back end turned
// away.
void check_retries(const history& seen, const promised& promises, bool of_streams,
                   findings& found) {
    std::vector<base::instant> sent;
    std::set<std::string> ids;
    for (const auto& call : seen.calls) {
        if (is_stream(call.kind) == of_streams) {
            sent.push_back(call.sent_at);
            ids.insert(call.id);
        }
    }
    std::vector<std::pair<base::instant, std::string>> arrivals;
    for (const auto& run : seen.runs) {
        arrivals.emplace_back(run.at, run.id);
    }
    for (const auto& pause : seen.pauses) {
        arrivals.emplace_back(pause.at, pause.id);
    }
    std::sort(sent.begin(), sent.end());
    std::sort(arrivals.begin(), arrivals.end());
    std::set<std::string> arrived;
    std::vector<base::instant> repeats;
    for (const auto& [at, id] : arrivals) {
        if (ids.count(id) > 0 && !arrived.insert(id).second) {
            repeats.push_back(at);
        }
    }
    for (const auto first : repeats) {
        const base::instant end = first + promises.retry_window;
        const auto many =
            static_cast<double>(count_before(repeats, end) - count_before(repeats, first));
        const double calls = calls_for_window(sent, end, promises.retry_window);
        const double most = promises.retry_ratio * calls + promises.retry_slack;
        if (many > most) {
            found.push_back("retries stay within their budget: " +
                            std::to_string(static_cast<int>(many)) + " from " + at_text(first) +
                            " on, " + std::to_string(static_cast<int>(most)) + " allowed");
            return;
        }
    }
}

void check_end(const history& seen, const promised& promises, findings& found) {
    double all = 0;
    double served = 0;
    for (const auto& call : seen.calls) {
        const bool removed =
            std::any_of(seen.removed.begin(), seen.removed.end(),
                        [&call](const key_removed& each) { return each.key == call.key; });
        const bool over_quota =
            call.status == status_over_quota && is_of_limited_team(call, promises);
        if (call.sent_at < seen.settled_at || removed || call.fatal || over_quota) {
            continue;
        }
        all += 1;
        served += (call.whole || call.left) && call.status > 0 && call.status < first_error ? 1 : 0;
    }
    if (all == 0 || served < promises.served_at_the_end * all) {
        found.push_back("recovery: " + std::to_string(static_cast<int>(served)) + " of " +
                        std::to_string(static_cast<int>(all)) +
                        " calls served once everything was sound");
    }
}

} // namespace

std::vector<std::string> check(const history& seen, const promised& promises) {
    findings found;
    runs_by_id runs;
    std::set<std::string> known;
    for (const auto& run : seen.runs) {
        runs[run.id].push_back(&run);
    }
    for (const auto& call : seen.calls) {
        known.insert(call.id);
        const auto& of_call = runs[call.id];
        check_runs(call, of_call, found);
        check_answer(call, of_call, found);
        check_key(call, of_call, seen, promises, found);
        check_stops(call, of_call, seen, promises, found);
    }
    for (const auto& [id, of_id] : runs) {
        if (!of_id.empty() && known.count(id) == 0) {
            found.push_back("nothing unasked: a call with id '" + id + "' ran");
        }
    }
    check_orders(seen, promises, found);
    check_fatal(seen, promises, found);
    check_leaving(seen, promises, found);
    check_pauses(seen, promises, found);
    check_weights(seen, promises, found);
    check_listed_leaving(seen, promises, found);
    check_software(seen, found);
    check_resumptions(seen, promises, found);
    check_quota(seen, promises, found);
    check_limits(seen, promises, found);
    check_retries(seen, promises, true, found);
    check_retries(seen, promises, false, found);
    for (const auto& exit : seen.exits) {
        found.push_back("processes stay up: " + exit);
    }
    check_end(seen, promises, found);
    return found;
}

} // namespace camphorrail::soak
