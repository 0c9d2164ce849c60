#include "proxy/crash_watch.h"

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// A VM that is up refuses a connection within a round trip.
constexpr base::milliseconds probe_limit{250};
// A crashed upstream is replaced, or gone from the list, within this time.
constexpr base::seconds breakage_lifetime{6};

} // namespace

crash_watch::crash_watch(entry_context& context) : context(context) {}

void crash_watch::note_broken(const broken_attempt& broken_one) {
    auto& found = this->broken[broken_one.upstream];
    const bool first = found.attempts.empty();
    if (first) {
        found.first_at = this->context.now();
    }
    found.attempts.push_back(broken_one);
    if (first) {
        this->probe(broken_one.upstream);
    }
}

void crash_watch::probe(const base::upstream_instance& upstream) {
    auto& found = this->broken.at(upstream);
    found.probe = std::make_unique<adapters::address_probe>(
        this->context.loop.base(), found.attempts.front().address, probe_limit,
        [this, upstream](adapters::address_state state) { this->take_probe(upstream, state); });
}

void crash_watch::take_probe(const base::upstream_instance& upstream,
                             adapters::address_state state) {
    const auto found = this->broken.find(upstream);
    if (found == this->broken.end()) {
        return;
    }
    found->second.crashed = state == adapters::address_state::refused;
    if (!found->second.crashed) {
        return;
    }
    this->context.log.line(importance::keep, "upstream_crashed")
        .text("upstream", upstream.id.value)
        .number("incarnation", upstream.incarnation.value)
        .number("requests", static_cast<std::int64_t>(found->second.attempts.size()))
        .span("after_ms", this->context.now() - found->second.first_at);
    this->context.metrics.count("camphorrail_upstream_crashes_total");
}

void crash_watch::tick() {
    const base::instant now = this->context.now();
    std::erase_if(this->broken, [now](const auto& each) {
        return now - each.second.first_at > breakage_lifetime;
    });
}

} // namespace camphorrail::proxy
