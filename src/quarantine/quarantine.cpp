#include "quarantine/quarantine.h"

#include <algorithm>
#include <utility>

namespace camphorrail::quarantine {

namespace {

bool is_quarantined(const suspect& record, base::instant now) {
    return record.quarantined_until && now < *record.quarantined_until;
}

// When upstreams last survived it; empty if that is not known.
template <class Key>
std::optional<base::instant> last_survival(const survival_times<Key>& times, const Key& key) {
    for (const auto* each : {&times.recent, &times.older}) {
        if (const auto found = each->find(key); found != each->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

template <class Key>
bool has_survived_lately(const survival_times<Key>& times, const Key& key, base::instant now,
                         const quarantine_rules& rules) {
    const auto survived_at = last_survival(times, key);
    return survived_at && now - *survived_at <= rules.survival_memory;
}

template <class Key>
void record_survival(survival_times<Key>& times, const Key& key, base::instant at,
                     const quarantine_rules& rules) {
    if (times.recent.size() >= rules.max_survivals && times.recent.count(key) == 0) {
        times.older = std::exchange(times.recent, {});
    }
    auto& known = times.recent[key];
    known = std::max(known, at);
}

// The factor by which the crashes of a suspect count.
double crash_factor(const quarantine& state, const suspect& record, const quarantine_rules& rules) {
    const bool survived = !record.crashes.empty() && has_survived(state, record.request.digest,
                                                                  record.crashes.back().at, rules);
    return survived ? rules.survived_factor : 1.0;
}

bool has_crash_on(const suspect& record, const base::upstream_instance& upstream) {
    return std::any_of(record.crashes.begin(), record.crashes.end(),
                       [&upstream](const auto& each) { return each.upstream == upstream; });
}

// Whether the upstream may have crashed as it began to respond.
bool had_hardly_begun(const crash_victim& victim, base::instant crashed_at,
                      const quarantine_rules& rules) {
    return !victim.response_started_at ||
           crashed_at - *victim.response_started_at < rules.survival_time;
}

double crash_weight(const crash_victim& victim, base::instant crashed_at,
                    const quarantine_rules& rules) {
    const bool stable =
        victim.response_started_at && crashed_at - *victim.response_started_at > rules.stable_after;
    return stable ? rules.stable_weight : 1.0;
}

// Makes room by removing the suspect with the oldest event; quarantined requests are removed last.
void evict_oldest_suspect(quarantine& state, base::instant now, const quarantine_rules& rules) {
    if (state.suspects.size() < rules.max_suspects) {
        return;
    }
    const auto rank = [now](const auto& each) {
        return std::pair(is_quarantined(each.second, now), each.second.last_event_at);
    };
    state.suspects.erase(std::min_element(
        state.suspects.begin(), state.suspects.end(),
        [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); }));
}

suspect& find_or_add_suspect(quarantine& state, const request_identity& request, base::instant now,
                             const quarantine_rules& rules) {
    const auto found = state.suspects.find(request.digest);
    if (found != state.suspects.end()) {
        return found->second;
    }
    evict_oldest_suspect(state, now, rules);
    auto& added = state.suspects[request.digest];
    added.request = request;
    added.last_event_at = now;
    return added;
}

// Whether a crash is evidence beyond the previous one. Copies that were in flight already at the
// previous crash prove nothing further: if many upstreams crash at once, a request that many of
// them ran is not the cause. The same holds for copies that were resent within the same window and
// failed at once.
bool is_independent_crash(const suspect& record, const crash_victim& victim,
                          const crash_report& report, const quarantine_rules& rules) {
    if (record.crashes.empty()) {
        return true;
    }
    const base::instant previous_at = record.crashes.back().at;
    const bool sent_after_previous = victim.sent_at >= previous_at;
    const bool sent_later = victim.sent_at >= previous_at + rules.simultaneous_window;
    const bool ran_there = report.at - victim.sent_at >= rules.min_live_run;
    return sent_after_previous && (sent_later || ran_there);
}

// Whether the same request was in flight at an earlier crash of the suspect. For a prompt part,
// that is evidence against the request.
bool is_repeated_request(const suspect& record, const crash_victim& victim) {
    return is_prompt_part(record.request.digest) &&
           std::any_of(record.crashes.begin(), record.crashes.end(), [&victim](const auto& each) {
               return each.request == victim.request.digest;
           });
}

// `identity` is that of the victim itself, or of a part of its prompt.
void record_suspect(quarantine& state, const request_identity& identity, const crash_report& report,
                    const crash_victim& victim, base::instant now, const quarantine_rules& rules) {
    auto& record = find_or_add_suspect(state, identity, now, rules);
    if (has_crash_on(record, report.upstream) || is_repeated_request(record, victim)) {
        return;
    }
    if (!is_independent_crash(record, victim, report, rules)) {
        record.retry_not_before = record.crashes.back().at + rules.simultaneous_window;
        return;
    }
    if (record.crashes.size() >= rules.max_crashes_per_suspect) {
        record.crashes.erase(record.crashes.begin());
    }
    record.crashes.push_back({report.upstream, report.at, victim.sent_at, victim.request.digest,
                              crash_weight(victim, report.at, rules)});
    record.last_event_at = report.at;
}

// Whether a prompt part other than the suspect accounts for a crash by what is known of it: `known`
// tells whether that is enough.
template <class Known>
bool is_due_to_part(const quarantine& state, const upstream_crash& crash, const suspect& record,
                    Known known) {
    return std::any_of(crash.in_flight.begin(), crash.in_flight.end(), [&](const auto& digest) {
        const auto found = state.suspects.find(digest);
        return is_prompt_part(digest) && digest != record.request.digest &&
               found != state.suspects.end() && known(found->second);
    });
}

// Whether another prompt part crashes upstreams in turn, so that its crashes say nothing about what
// else happens at the same time.
bool is_of_series(const quarantine& state, const upstream_crash& crash, const suspect& record,
                  const quarantine_rules& rules) {
    return is_prompt_part(record.request.digest) &&
           is_due_to_part(state, crash, record, [&](const suspect& other) {
               return other.crashes.size() > 1 && crash_factor(state, other, rules) == 1.0;
           });
}

// Whether several upstreams crashed at about the same time without the request, or more crashed
// within the simultaneous window than one copy could have crashed in turn.
bool is_unrelated_crash(const quarantine& state, const suspect& record, const counted_crash& crash,
                        const quarantine_rules& rules) {
    std::size_t without_request = 0;
    std::size_t simultaneous = 0;
    for (const auto& [upstream, each] : state.crashes) {
        const auto apart = std::chrono::abs(each.at - crash.at);
        const bool in_flight = each.in_flight.count(record.request.digest) > 0;
        const bool is_unrelated = apart <= rules.unrelated_crash_window && !in_flight &&
                                  !is_of_series(state, each, record, rules);
        without_request += is_unrelated ? 1 : 0;
        simultaneous += apart <= rules.simultaneous_window && upstream != crash.upstream ? 1 : 0;
    }
    return without_request > rules.max_unrelated_crashes ||
           simultaneous > rules.max_unrelated_crashes;
}

// Whether the upstream had already crashed, by the earliest report of any request there, before the
// copy was sent to it.
bool was_lost_before_sending(const quarantine& state, const counted_crash& crash) {
    const auto known = state.crashes.find(crash.upstream);
    return known != state.crashes.end() && known->second.at < crash.sent_at;
}

// Whether a prompt part that is quarantined was in flight at the crash.
bool is_accounted_for(const quarantine& state, const suspect& record, const counted_crash& crash,
                      base::instant now) {
    const auto known = state.crashes.find(crash.upstream);
    return known != state.crashes.end() &&
           is_due_to_part(state, known->second, record,
                          [now](const suspect& other) { return is_quarantined(other, now); });
}

// The evidence if no crash were discounted: a cheap upper bound. After many upstreams have crashed
// together, it rules out hundreds of suspects with one crash each.
double max_evidence(const quarantine& state, const suspect& record, const quarantine_rules& rules) {
    double evidence = 0.0;
    for (const auto& crash : record.crashes) {
        evidence += crash.weight;
    }
    return record.prior_evidence + evidence * crash_factor(state, record, rules);
}

double total_evidence(const quarantine& state, const suspect& record, base::instant now,
                      const quarantine_rules& rules) {
    double evidence = 0.0;
    for (const auto& crash : record.crashes) {
        const bool is_discounted = was_lost_before_sending(state, crash) ||
                                   is_unrelated_crash(state, record, crash, rules) ||
                                   is_accounted_for(state, record, crash, now);
        evidence += is_discounted ? 0.0 : crash.weight;
    }
    return record.prior_evidence + evidence * crash_factor(state, record, rules);
}

// Whether a suspect was in flight at each crash of another one, so that it accounts for them all.
// Its own counted crashes do not tell: copies that were in flight at several upstreams at once
// count as one crash.
bool accounts_for(const quarantine& state, const suspect& cause, const suspect& other) {
    return std::all_of(other.crashes.begin(), other.crashes.end(), [&](const auto& each) {
        const auto known = state.crashes.find(each.upstream);
        return known != state.crashes.end() &&
               known->second.in_flight.count(cause.request.digest) > 0;
    });
}

bool accounts_for_request(const quarantine& state, const suspect& part, const suspect& request) {
    return is_prompt_part(part.request.digest) && !is_prompt_part(request.request.digest) &&
           accounts_for(state, part, request);
}

// Whether another suspect was in flight at the same last crash and has at least as much evidence
// against it.
bool has_equal_suspect(const quarantine& state, const suspect& record, double evidence,
                       base::instant now, const quarantine_rules& rules) {
    const auto crash = state.crashes.find(record.crashes.back().upstream);
    if (crash == state.crashes.end()) {
        return false;
    }
    const auto& in_flight = crash->second.in_flight;
    return std::any_of(in_flight.begin(), in_flight.end(), [&](const base::request_digest& digest) {
        const auto found = state.suspects.find(digest);
        return digest != record.request.digest && found != state.suspects.end() &&
               !is_quarantined(found->second, now) &&
               !accounts_for_request(state, record, found->second) &&
               total_evidence(state, found->second, now, rules) >= evidence;
    });
}

bool should_quarantine(const quarantine& state, const suspect& record, base::instant now,
                       const quarantine_rules& rules) {
    if (record.crashes.empty() || max_evidence(state, record, rules) < rules.evidence_threshold) {
        return false;
    }
    const double evidence = total_evidence(state, record, now, rules);
    if (evidence < rules.evidence_threshold) {
        return false;
    }
    return evidence >= rules.ambiguous_evidence_threshold ||
           !has_equal_suspect(state, record, evidence, now, rules);
}

// Whether the last crash is so recent that reports of other entries may still be due.
bool awaits_reports(const quarantine& state, const suspect& record, base::instant now,
                    const quarantine_rules& rules) {
    return now - record.last_event_at < rules.report_delay &&
           total_evidence(state, record, now, rules) >= rules.evidence_threshold;
}

bool contains(const std::vector<base::request_digest>& all, const base::request_digest& one) {
    return std::find(all.begin(), all.end(), one) != all.end();
}

// Whether another quarantined suspect, which the request lacks, accounts for all crashes of a
// quarantined part.
bool lacks_companion(const quarantine& state, const suspect& part, const request_suspects& request,
                     base::instant now) {
    if (part.crashes.empty()) {
        return false;
    }
    const auto crash = state.crashes.find(part.crashes.back().upstream);
    if (crash == state.crashes.end()) {
        return false;
    }
    const auto& in_flight = crash->second.in_flight;
    return std::any_of(in_flight.begin(), in_flight.end(), [&](const auto& digest) {
        const auto found = state.suspects.find(digest);
        return digest != part.request.digest && digest != request.request &&
               !contains(request.parts, digest) && found != state.suspects.end() &&
               is_quarantined(found->second, now) && accounts_for(state, found->second, part);
    });
}

// Whether a quarantined part is tried before the end of its quarantine. That takes a quarantine
// that followed few crashes, of which this entry knows; a trial that crashes an upstream is one
// more.
bool may_try(const quarantine& state, const suspect& record, const quarantine_rules& rules) {
    if (!record.quarantined_until || record.end_unknown || record.prior_evidence > 0.0) {
        return false;
    }
    const auto crashes = static_cast<double>(
        std::count_if(state.crashes.begin(), state.crashes.end(), [&record](const auto& each) {
            return each.second.in_flight.count(record.request.digest) > 0;
        }));
    const double most =
        static_cast<double>(rules.max_crashes_before_trial) / crash_factor(state, record, rules);
    return crashes > 0.0 && crashes <= most;
}

evaluation evaluate_part(const quarantine& state, const base::request_digest& part,
                         const request_suspects& request, base::instant now,
                         const quarantine_rules& rules) {
    const auto found = state.suspects.find(part);
    if (found == state.suspects.end()) {
        return {};
    }
    const auto& record = found->second;
    // One crash says little: each crash makes many parts suspects.
    const bool is_weak =
        !record.quarantined_until && max_evidence(state, record, rules) < rules.evidence_threshold;
    if (is_weak) {
        return {};
    }
    auto evaluation = evaluate(state, part, now, rules);
    if (evaluation.what != verdict::quarantined) {
        return evaluation;
    }
    base::micros wait = evaluation.retry_after;
    if (lacks_companion(state, record, request, now)) {
        wait = record.trial_until - now;
    } else if (may_try(state, record, rules)) {
        const auto due_at = record.quarantined_at + rules.trial_pause + state.trial_turn;
        wait = std::max(record.trial_until, due_at) - now;
    }
    if (wait <= base::micros(0)) {
        return {verdict::trial, base::micros(0), part};
    }
    evaluation.retry_after = std::min(evaluation.retry_after, wait);
    return evaluation;
}

// Ends a quarantine. The remaining evidence is such that one more crash quarantines the request
// again.
void release(suspect& record, const quarantine_rules& rules) {
    record.last_event_at = *record.quarantined_until;
    record.quarantined_until.reset();
    record.end_unknown = false;
    record.prior_evidence = rules.evidence_threshold - 1.0;
    record.crashes.clear();
}

} // namespace

void record_crash(quarantine& state, const crash_report& report, base::instant now,
                  const quarantine_rules& rules) {
    if (state.crashes.count(report.upstream) == 0 && state.crashes.size() >= rules.max_crashes) {
        state.crashes.erase(std::min_element(
            state.crashes.begin(), state.crashes.end(),
            [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
    }
    const auto [found, is_new] = state.crashes.try_emplace(report.upstream);
    auto& crash = found->second;
    crash.at = is_new ? report.at : std::min(crash.at, report.at);
    for (const auto& digest : report.survived) {
        // The report does not say when, so it must not renew what is known.
        if (!last_survival(state.survivals, digest)) {
            record_survival(state.survivals, digest, report.at, rules);
        }
    }
    const auto note = [&](const request_identity& identity, const crash_victim& victim) {
        if (crash.in_flight.size() < rules.max_in_flight) {
            crash.in_flight.insert(identity.digest);
            record_suspect(state, identity, report, victim, now, rules);
        }
    };
    for (const auto& victim : report.victims) {
        note(victim.request, victim);
        const std::size_t parts =
            had_hardly_begun(victim, report.at, rules) ? victim.parts.size() : 0;
        for (std::size_t each = 0; each < parts; ++each) {
            note(victim.parts[each], victim);
        }
    }
}

std::vector<quarantined_request> decide_quarantines(quarantine& state, base::instant now,
                                                    const quarantine_rules& rules) {
    std::vector<suspect*> selected;
    for (auto& [digest, record] : state.suspects) {
        const bool is_candidate =
            !record.quarantined_until && now - record.last_event_at >= rules.report_delay;
        if (is_candidate && should_quarantine(state, record, now, rules)) {
            selected.push_back(&record);
        }
    }
    std::vector<quarantined_request> started;
    for (auto* record : selected) {
        record->duration = std::clamp<base::micros>(2 * record->duration, rules.initial_duration,
                                                    rules.max_duration);
        record->quarantined_until = now + record->duration;
        record->quarantined_at = now;
        started.push_back({record->request, record->duration, record->crashes.size()});
    }
    return started;
}

void impose(quarantine& state, const request_identity& request, base::micros span,
            base::instant now, const quarantine_rules& rules) {
    auto& record = find_or_add_suspect(state, request, now, rules);
    const auto until = now + std::min(span, rules.max_duration);
    if (record.quarantined_until && !record.end_unknown && until <= *record.quarantined_until) {
        return;
    }
    if (!record.quarantined_until) {
        record.quarantined_at = now;
    }
    record.quarantined_until = until;
    record.duration = std::max(record.duration, rules.initial_duration);
    record.end_unknown = false;
}

void impose_from_record(quarantine& state, const request_identity& request, base::micros span,
                        base::instant now, const quarantine_rules& rules) {
    if (is_quarantined(find_or_add_suspect(state, request, now, rules), now)) {
        return;
    }
    impose(state, request, span, now, rules);
    state.suspects.at(request.digest).end_unknown = true;
}

bool may_be_suspect(const quarantine& state, std::size_t body_bytes) {
    return std::any_of(
        state.suspects.begin(), state.suspects.end(), [body_bytes](const auto& each) {
            return !is_prompt_part(each.first) && each.second.request.body_bytes == body_bytes;
        });
}

bool has_suspected_parts(const quarantine& state) {
    return std::any_of(state.suspects.begin(), state.suspects.end(),
                       [](const auto& each) { return is_prompt_part(each.first); });
}

bool is_suspect(const quarantine& state, const request_suspects& request) {
    return state.suspects.count(request.request) > 0 ||
           std::any_of(request.parts.begin(), request.parts.end(),
                       [&state](const auto& part) { return state.suspects.count(part) > 0; });
}

evaluation evaluate(const quarantine& state, const base::request_digest& request, base::instant now,
                    const quarantine_rules& rules) {
    const auto found = state.suspects.find(request);
    if (found == state.suspects.end()) {
        return {};
    }
    const auto& record = found->second;
    if (is_quarantined(record, now)) {
        return {verdict::quarantined, *record.quarantined_until - now, request};
    }
    if (now < record.trial_until) {
        return {verdict::deferred, record.trial_until - now, request};
    }
    if (now < record.retry_not_before) {
        return {verdict::deferred, record.retry_not_before - now, request};
    }
    if (awaits_reports(state, record, now, rules)) {
        return {verdict::deferred, rules.report_delay, request};
    }
    return {verdict::trial, base::micros(0), request};
}

evaluation evaluate(const quarantine& state, const request_suspects& request, base::instant now,
                    const quarantine_rules& rules) {
    evaluation strictest = evaluate(state, request.request, now, rules);
    for (const auto& part : request.parts) {
        const auto next = evaluate_part(state, part, request, now, rules);
        if (std::pair(next.what, next.retry_after) >
            std::pair(strictest.what, strictest.retry_after)) {
            strictest = next;
        }
    }
    return strictest;
}

void begin_trial(quarantine& state, const base::request_digest& request,
                 const base::upstream_id& upstream, base::instant now,
                 const quarantine_rules& rules) {
    const auto found = state.suspects.find(request);
    if (found != state.suspects.end()) {
        found->second.trial_until = now + rules.max_trial;
        found->second.trial_upstream = upstream;
    }
}

void begin_trial(quarantine& state, const request_suspects& request,
                 const base::upstream_id& upstream, base::instant now,
                 const quarantine_rules& rules) {
    begin_trial(state, request.request, upstream, now, rules);
    for (const auto& part : request.parts) {
        const bool is_on_trial =
            evaluate_part(state, part, request, now, rules).what == verdict::trial;
        if (is_on_trial) {
            begin_trial(state, part, upstream, now, rules);
        }
    }
}

void end_trial(quarantine& state, const request_suspects& request) {
    end_trial(state, request.request);
    for (const auto& part : request.parts) {
        end_trial(state, part);
    }
}

void end_trial(quarantine& state, const base::request_digest& request) {
    const auto found = state.suspects.find(request);
    if (found != state.suspects.end()) {
        found->second.trial_until = {};
    }
}

void clear_suspicion(quarantine& state, const base::request_digest& request, base::instant now) {
    const auto found = state.suspects.find(request);
    if (found != state.suspects.end() && !is_quarantined(found->second, now)) {
        state.suspects.erase(found);
    }
}

clearance clear_prompt_part(quarantine& state, const base::request_digest& part, base::instant now,
                            const quarantine_rules& rules) {
    record_survival(state.survivals, part, now, rules);
    const auto found = state.suspects.find(part);
    if (found == state.suspects.end()) {
        return clearance::none;
    }
    const bool was_quarantined = is_quarantined(found->second, now);
    state.suspects.erase(found);
    return was_quarantined ? clearance::quarantine_lifted : clearance::suspicion_removed;
}

void record_completion(quarantine& state, const request_fingerprint& request, base::instant now,
                       const quarantine_rules& rules) {
    record_survival(state.completions, request, now, rules);
}

bool has_completed(const quarantine& state, const request_fingerprint& request, base::instant now,
                   const quarantine_rules& rules) {
    return has_survived_lately(state.completions, request, now, rules);
}

bool has_survived(const quarantine& state, const base::request_digest& digest, base::instant now,
                  const quarantine_rules& rules) {
    return has_survived_lately(state.survivals, digest, now, rules);
}

std::vector<base::upstream_id> upstreams_with_trials(const quarantine& state, base::instant now) {
    std::vector<base::upstream_id> found;
    for (const auto& [digest, record] : state.suspects) {
        if (now < record.trial_until) {
            found.push_back(record.trial_upstream);
        }
    }
    return found;
}

std::vector<quarantined_request> quarantined_requests(const quarantine& state, base::instant now) {
    std::vector<quarantined_request> found;
    for (const auto& [digest, record] : state.suspects) {
        if (is_quarantined(record, now)) {
            found.push_back({record.request, *record.quarantined_until - now, record.crashes.size(),
                             record.end_unknown});
        }
    }
    return found;
}

void expire(quarantine& state, base::instant now, const quarantine_rules& rules) {
    for (auto& [digest, record] : state.suspects) {
        if (record.quarantined_until && !is_quarantined(record, now)) {
            release(record, rules);
        }
    }
    std::erase_if(state.suspects, [&](const auto& each) {
        // A quarantined request is remembered for as long again after its quarantine.
        const auto lifetime = std::max(rules.suspicion_lifetime, each.second.duration);
        return !each.second.quarantined_until && now - each.second.last_event_at > lifetime;
    });
    std::erase_if(state.crashes, [&](const auto& each) {
        return now - each.second.at > rules.suspicion_lifetime;
    });
}

} // namespace camphorrail::quarantine
