#include "proxy/crash_detector.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// A VM that is up refuses a connection within one round trip.
constexpr base::milliseconds probe_timeout{250};
// A crashed upstream is replaced in the platform's list within this time.
constexpr base::seconds broken_upstream_ttl{6};
// All connections to a crashed upstream break within this time, so that one report covers all of
// them.
constexpr base::milliseconds victim_collection_time{20};
// Number of crashes reported at once; one more is allowed per tick. When a hundred upstreams lose
// power together, nothing can be learned from it, and reporting each would fill the links between
// the entries.
constexpr int max_report_burst = 10;
constexpr std::size_t max_reported_victims = 64;
constexpr std::size_t max_reported_survivals = 256;

} // namespace

crash_detector::crash_detector(entry_context& context)
    : context(context), report_timer(context.loop.base(), [this] { this->broadcast_crashes(); }),
      reports_left(max_report_burst) {}

void crash_detector::record_broken_attempt(const broken_attempt& broken) {
    auto& record = this->broken_upstreams[broken.upstream];
    if (record.crashed) {
        this->add_victims(broken.upstream, record.first_at, {broken.victim});
        return;
    }
    record.victims.push_back(broken.victim);
    if (record.victims.size() == 1) {
        record.address = broken.address;
        record.first_at = this->context.now();
        this->probe(broken.upstream, record);
    }
}

void crash_detector::probe(const base::upstream_instance& upstream, broken_upstream& record) {
    record.probe = std::make_unique<adapters::address_probe>(
        this->context.loop.base(), record.address, adapters::probe_limits{probe_timeout},
        [this, upstream](adapters::address_state state) {
            const auto known = this->broken_upstreams.find(upstream);
            if (known != this->broken_upstreams.end() &&
                state == adapters::address_state::refused) {
                this->record_crash(upstream, known->second, "connection_refused");
            }
        });
}

void crash_detector::record_ended(const base::upstream_instance& ended) {
    const auto known = this->broken_upstreams.find(ended);
    if (known != this->broken_upstreams.end()) {
        this->record_crash(ended, known->second, "replaced");
    }
}

void crash_detector::record_replaced(const base::upstream_id& replaced) {
    for (auto& [upstream, record] : this->broken_upstreams) {
        if (upstream.id == replaced) {
            this->record_crash(upstream, record, "replaced");
        }
    }
}

void crash_detector::record_crash(const base::upstream_instance& upstream, broken_upstream& record,
                                  const char* detected_by) {
    if (record.crashed) {
        return;
    }
    record.crashed = true;
    this->context.log.line(importance::keep, "upstream_crashed")
        .text("upstream", upstream.id.value)
        .number("incarnation", upstream.incarnation.value)
        .number("requests", static_cast<std::int64_t>(record.victims.size()))
        .text("seen_by", detected_by)
        .span("after_ms", this->context.now() - record.first_at);
    this->context.metrics.count("camphorrail_upstream_crashes_total");
    this->add_victims(upstream, record.first_at, std::exchange(record.victims, {}));
}

void crash_detector::add_victims(const base::upstream_instance& upstream, base::instant at,
                                 const std::vector<quarantine::crash_victim>& victims) {
    const quarantine::crash_report report{upstream, at, victims, this->find_survived(victims, at)};
    quarantine::record_crash(this->context.state.quarantine, report, this->context.now(), {});
    auto& pending = this->unreported[upstream];
    pending.upstream = upstream;
    pending.at = at;
    pending.victims.insert(pending.victims.end(), victims.begin(), victims.end());
    pending.survived.insert(pending.survived.end(), report.survived.begin(), report.survived.end());
    this->report_timer.set(victim_collection_time);
}

// The victims, and parts of their prompts, that upstreams had survived before, as this entry knows.
std::vector<base::request_digest>
crash_detector::find_survived(const std::vector<quarantine::crash_victim>& victims,
                              base::instant at) const {
    const auto& state = this->context.state.quarantine;
    std::set<base::request_digest> found;
    for (const auto& victim : victims) {
        if (victim.has_completed) {
            found.insert(victim.request.digest);
        }
        for (const auto& part : victim.parts) {
            if (quarantine::has_survived(state, part.digest, at, {})) {
                found.insert(part.digest);
            }
        }
    }
    return {found.begin(), found.end()};
}

void crash_detector::broadcast_crashes() {
    for (auto& [upstream, report] : this->unreported) {
        if (this->reports_left == 0) {
            this->context.metrics.count("camphorrail_upstream_crashes_untold_total");
            continue;
        }
        --this->reports_left;
        // Requests that had not begun to respond come first: only their parts may be to blame.
        std::stable_partition(report.victims.begin(), report.victims.end(),
                              [](const auto& each) { return !each.response_started_at; });
        report.victims.resize(std::min(report.victims.size(), max_reported_victims));
        report.survived.resize(std::min(report.survived.size(), max_reported_survivals));
        this->broadcast(peering::to_message(report, this->context.now()));
    }
    this->unreported.clear();
}

void crash_detector::receive(const base::entry_id& from, const peering::crash_report& message,
                             base::instant written) {
    const base::instant now = this->context.now();
    const auto report = peering::from_message(message, written);
    quarantine::record_crash(this->context.state.quarantine, report, now, {});
    this->context.log.line(importance::keep, "upstream_crash_told")
        .text("upstream", message.upstream.id.value)
        .text("entry", from.value)
        .number("requests", static_cast<std::int64_t>(message.victims.size()))
        .span("age_ms", now - report.at);
}

void crash_detector::receive(const base::entry_id& from, const peering::quarantine_notice& message,
                             base::instant written) {
    const base::micros max_span = quarantine::quarantine_rules{}.max_duration;
    const base::micros left = message.remaining - (this->context.now() - written);
    const bool is_valid = left > base::micros(0) && message.remaining <= max_span;
    if (is_valid) {
        this->apply_quarantine({message.request, left, 0}, from.value.c_str());
    }
}

bool crash_detector::clear(const base::request_digest& part, const char* source) {
    const auto done = quarantine::clear_prompt_part(this->context.state.quarantine, part,
                                                    this->context.now(), {});
    if (done == quarantine::clearance::quarantine_lifted) {
        this->context.log.line(importance::keep, "quarantine_lifted")
            .text("digest", part.value)
            .text("told_by", source);
    }
    return done != quarantine::clearance::none;
}

void crash_detector::record_survived(const std::vector<base::request_digest>& parts) {
    peering::cleared_prompt_parts message;
    for (const auto& part : parts) {
        if (this->clear(part, "")) {
            message.parts.push_back(part);
        }
    }
    if (!message.parts.empty()) {
        this->send_clearances(message);
    }
}

void crash_detector::receive(const base::entry_id& from,
                             const peering::cleared_prompt_parts& message) {
    for (const auto& part : message.parts) {
        this->clear(part, from.value.c_str());
    }
}

void crash_detector::restore_quarantine(const quarantine::quarantined_request& recorded) {
    auto quarantined = recorded;
    quarantined.end_unknown = true;
    this->apply_quarantine(quarantined, "store");
}

void crash_detector::apply_quarantine(const quarantine::quarantined_request& quarantined,
                                      const char* source) {
    auto& state = this->context.state.quarantine;
    const base::instant now = this->context.now();
    const auto digest = quarantined.request.digest;
    const bool known =
        quarantine::evaluate(state, digest, now, {}).what == quarantine::verdict::quarantined;
    const auto apply =
        quarantined.end_unknown ? quarantine::impose_from_record : quarantine::impose;
    apply(state, quarantined.request, quarantined.span, now, {});
    if (!known) {
        this->log_quarantine(quarantined, source);
        this->quarantine_started(quarantined, false);
    }
}

void crash_detector::log_quarantine(const quarantine::quarantined_request& quarantined,
                                    const char* source) {
    this->context.log.line(importance::keep, "request_quarantined")
        .text("digest", quarantined.request.digest.value)
        .number("body_bytes", static_cast<std::int64_t>(quarantined.request.body_bytes))
        .number("crashes", static_cast<std::int64_t>(quarantined.crashes))
        .span("for_ms", quarantined.span)
        .text("told_by", source);
}

std::vector<peering::message> crash_detector::initial_messages() const {
    std::vector<peering::message> all;
    for (const auto& quarantined :
         quarantine::quarantined_requests(this->context.state.quarantine, this->context.now())) {
        if (!quarantined.end_unknown) {
            all.emplace_back(peering::quarantine_notice{
                quarantined.request,
                std::chrono::duration_cast<base::milliseconds>(quarantined.span)});
        }
    }
    return all;
}

// The entries try quarantined parts one after the other, in the order of their ids.
base::micros crash_detector::trial_turn() const {
    const auto& own = this->context.settings.id;
    const auto others = this->connected_entries();
    const auto before = std::count_if(others.begin(), others.end(),
                                      [&own](const auto& each) { return each < own; });
    return before * quarantine::quarantine_rules{}.max_trial;
}

void crash_detector::tick() {
    const base::instant now = this->context.now();
    this->reports_left = std::min(this->reports_left + 1, max_report_burst);
    this->context.state.quarantine.trial_turn = this->trial_turn();
    std::erase_if(this->broken_upstreams, [now](const auto& each) {
        return now - each.second.first_at > broken_upstream_ttl;
    });
    auto& state = this->context.state.quarantine;
    for (const auto& quarantined : quarantine::decide_quarantines(state, now, {})) {
        this->log_quarantine(quarantined, "");
        this->context.metrics.count("camphorrail_requests_quarantined_total");
        this->broadcast(peering::quarantine_notice{
            quarantined.request, std::chrono::duration_cast<base::milliseconds>(quarantined.span)});
        this->quarantine_started(quarantined, true);
    }
    quarantine::expire(state, now, {});
}

} // namespace camphorrail::proxy
