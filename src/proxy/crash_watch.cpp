#include "proxy/crash_watch.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// A VM that is up refuses a connection within a round trip.
constexpr base::milliseconds probe_limit{250};
// A crashed upstream is replaced in the list within this time.
constexpr base::seconds breakage_lifetime{6};
// All connections to a crashed upstream break within this time.
constexpr base::milliseconds gather_victims{20};
// Crashes told in a row, and one more at each tick. When a hundred upstreams lose power at once,
// nothing can be learned from it, and telling of each would fill the links between the entries.
constexpr int most_tells = 10;
constexpr std::size_t most_told_victims = 64;

} // namespace

crash_watch::crash_watch(entry_context& context)
    : context(context), tell_timer(context.loop.base(), [this] { this->tell_crashes(); }),
      tells_left(most_tells) {}

void crash_watch::note_broken(const broken_attempt& broken_one) {
    auto& found = this->broken[broken_one.upstream];
    if (found.crashed) {
        this->add_victims(broken_one.upstream, found.first_at, {broken_one.victim});
        return;
    }
    found.victims.push_back(broken_one.victim);
    if (found.victims.size() == 1) {
        found.address = broken_one.address;
        found.first_at = this->context.now();
        this->probe(broken_one.upstream, found);
    }
}

void crash_watch::probe(const base::upstream_instance& upstream, breakage& found) {
    found.probe = std::make_unique<adapters::address_probe>(
        this->context.loop.base(), found.address, probe_limit,
        [this, upstream](adapters::address_state state) {
            const auto known = this->broken.find(upstream);
            if (known != this->broken.end() && state == adapters::address_state::refused) {
                this->note_crash(upstream, known->second, "connection_refused");
            }
        });
}

void crash_watch::note_ended(const base::upstream_instance& ended) {
    const auto known = this->broken.find(ended);
    if (known != this->broken.end()) {
        this->note_crash(ended, known->second, "replaced");
    }
}

void crash_watch::note_replaced(const base::upstream_id& replaced) {
    for (auto& [upstream, found] : this->broken) {
        if (upstream.id == replaced) {
            this->note_crash(upstream, found, "replaced");
        }
    }
}

void crash_watch::note_crash(const base::upstream_instance& upstream, breakage& found,
                             const char* seen_by) {
    if (found.crashed) {
        return;
    }
    found.crashed = true;
    this->context.log.line(importance::keep, "upstream_crashed")
        .text("upstream", upstream.id.value)
        .number("incarnation", upstream.incarnation.value)
        .number("requests", static_cast<std::int64_t>(found.victims.size()))
        .text("seen_by", seen_by)
        .span("after_ms", this->context.now() - found.first_at);
    this->context.metrics.count("camphorrail_upstream_crashes_total");
    this->add_victims(upstream, found.first_at, std::exchange(found.victims, {}));
}

void crash_watch::add_victims(const base::upstream_instance& upstream, base::instant at,
                              const std::vector<quarantine::crash_victim>& victims) {
    const quarantine::crash_report report{upstream, at, victims};
    quarantine::record_crash(this->context.state.quarantine, report, this->context.now(), {});
    auto& told = this->untold[upstream];
    told.upstream = upstream;
    told.at = at;
    told.victims.insert(told.victims.end(), victims.begin(), victims.end());
    this->tell_timer.set(gather_victims);
}

void crash_watch::tell_crashes() {
    for (auto& [upstream, report] : this->untold) {
        if (this->tells_left == 0) {
            this->context.metrics.count("camphorrail_upstream_crashes_untold_total");
            continue;
        }
        --this->tells_left;
        report.victims.resize(std::min(report.victims.size(), most_told_victims));
        this->tell(peering::to_message(report, this->context.now()));
    }
    this->untold.clear();
}

void crash_watch::take(const base::entry_id& from, const peering::crash_report& told,
                       base::instant written) {
    const base::instant now = this->context.now();
    const auto report = peering::from_message(told, written);
    quarantine::record_crash(this->context.state.quarantine, report, now, {});
    this->context.log.line(importance::keep, "upstream_crash_told")
        .text("upstream", told.upstream.id.value)
        .text("entry", from.value)
        .number("requests", static_cast<std::int64_t>(told.victims.size()))
        .span("age_ms", now - report.at);
}

void crash_watch::take(const base::entry_id& from, const peering::quarantine_notice& told,
                       base::instant written) {
    const base::micros longest = quarantine::quarantine_rules{}.max_duration;
    const base::micros left = told.remaining - (this->context.now() - written);
    const bool makes_sense = left > base::micros(0) && told.remaining <= longest;
    if (makes_sense) {
        this->adopt({told.request, left, 0}, from.value.c_str());
    }
}

void crash_watch::take_written(const quarantine::quarantined_request& written) {
    auto given = written;
    given.end_unknown = true;
    this->adopt(given, "store");
}

void crash_watch::adopt(const quarantine::quarantined_request& given, const char* told_by) {
    auto& state = this->context.state.quarantine;
    const base::instant now = this->context.now();
    const auto digest = given.request.digest;
    const bool known =
        quarantine::evaluate(state, digest, now, {}).what == quarantine::verdict::quarantined;
    const auto hold_it = given.end_unknown ? quarantine::impose_from_record : quarantine::impose;
    hold_it(state, given.request, given.span, now, {});
    if (!known) {
        this->log_hold(given, told_by);
        this->held_back(given, false);
    }
}

void crash_watch::log_hold(const quarantine::quarantined_request& begun, const char* told_by) {
    this->context.log.line(importance::keep, "request_quarantined")
        .text("digest", begun.request.digest.value)
        .number("body_bytes", static_cast<std::int64_t>(begun.request.body_bytes))
        .number("crashes", static_cast<std::int64_t>(begun.crashes))
        .span("for_ms", begun.span)
        .text("told_by", told_by);
}

std::vector<peering::message> crash_watch::greeting() const {
    std::vector<peering::message> all;
    for (const auto& one :
         quarantine::quarantined_requests(this->context.state.quarantine, this->context.now())) {
        if (!one.end_unknown) {
            all.emplace_back(peering::quarantine_notice{
                one.request, std::chrono::duration_cast<base::milliseconds>(one.span)});
        }
    }
    return all;
}

void crash_watch::tick() {
    const base::instant now = this->context.now();
    this->tells_left = std::min(this->tells_left + 1, most_tells);
    std::erase_if(this->broken, [now](const auto& each) {
        return now - each.second.first_at > breakage_lifetime;
    });
    auto& state = this->context.state.quarantine;
    for (const auto& begun : quarantine::decide_quarantines(state, now, {})) {
        this->log_hold(begun, "");
        this->context.metrics.count("camphorrail_requests_quarantined_total");
        this->tell(peering::quarantine_notice{
            begun.request, std::chrono::duration_cast<base::milliseconds>(begun.span)});
        this->held_back(begun, true);
    }
    quarantine::expire(state, now, {});
}

} // namespace camphorrail::proxy
