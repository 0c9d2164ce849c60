#include "proxy/leadership.h"

#include "base/hash.h"

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// A quarter of the shortest lease that survives two lost renewals.
constexpr base::milliseconds renewal_period{700};
constexpr base::milliseconds campaign_period{500};
// Entries that see the leader's key go at the same time ask one after the other.
constexpr std::uint64_t campaign_spread_ms = 300;
constexpr std::int64_t lease_seconds = 3;

} // namespace

leadership::leadership(entry_context& context, ports::platform platform)
    : context(context), platform(std::move(platform)) {}

std::string leadership::name() const {
    return this->context.settings.id.value + "@" + this->context.settings.peer_listen;
}

std::string leadership::leader_key() const {
    return this->context.words.own_prefix + "leader";
}

std::string leadership::last_leader_key() const {
    return this->context.words.own_prefix + "last-leader";
}

weights::term_rules leadership::rules() const {
    weights::term_rules rules;
    rules.lease = base::seconds(lease_seconds);
    rules.apart = this->context.settings.bounds.lease;
    return rules;
}

bool leadership::may_order() const {
    return this->held && !this->context.state.stopping &&
           weights::may_order(*this->held, this->context.now());
}

void leadership::tick() {
    const base::instant now = this->context.now();
    if (this->held && now >= this->held->until) {
        this->lose("lease_ran_out");
    }
    if (this->asking) {
        return;
    }
    if (this->held && now >= this->next_renewal) {
        this->renew();
    } else if (!this->held && !this->context.state.stopping && now >= this->next_campaign) {
        this->campaign();
    }
}

void leadership::campaign() {
    const base::instant now = this->context.now();
    const auto spread = base::milliseconds(
        base::stable_hash(this->name(), static_cast<std::uint64_t>(now.time_since_epoch().count())) %
        campaign_spread_ms);
    this->next_campaign = now + campaign_period + spread;
    const auto& store = this->context.state.store;
    if (store.revision == 0 || store.items.count(this->leader_key()) > 0) {
        return;
    }
    this->asking = true;
    this->platform.grant_lease(lease_seconds, [this, now](base::result<std::int64_t> lease) {
        this->asking = false;
        if (lease.has_value()) {
            this->claim(lease.value(), now);
        }
    });
}

void leadership::claim(std::int64_t lease, base::instant asked) {
    const auto& items = this->context.state.store.items;
    const auto last = items.find(this->last_leader_key());
    const std::int64_t last_revision = last == items.end() ? 0 : last->second.mod_revision;
    const bool other_before = last != items.end() && last->second.value != this->name();
    ports::transaction change;
    change.expectations = {{this->leader_key(), 0}, {this->last_leader_key(), last_revision}};
    change.writes = {{this->leader_key(), this->name(), false, lease},
                     {this->last_leader_key(), this->name(), false, 0}};
    this->asking = true;
    this->platform.commit(change, [this, lease, asked,
                                   other_before](base::result<ports::committed> done) {
        this->asking = false;
        if (!done.has_value() || !done.value().applied) {
            return;
        }
        const base::instant now = this->context.now();
        this->held = weights::begin_term(done.value().revision, lease, other_before, asked, now,
                                         this->rules());
        this->next_renewal = now + renewal_period;
        this->context.log.line(importance::keep, "leader")
            .number("fence", this->held->fence)
            .flag("other_before", other_before)
            .span("orders_after_ms", this->held->from - now);
    });
}

void leadership::renew() {
    const base::instant asked = this->context.now();
    this->next_renewal = asked + renewal_period;
    this->asking = true;
    this->platform.keep_lease(this->held->lease, [this, asked](base::result<bool> kept) {
        this->asking = false;
        if (!this->held) {
            return;
        }
        if (kept.has_value() && kept.value()) {
            weights::renew(*this->held, asked, this->rules());
        } else if (kept.has_value()) {
            this->lose("lease_ended");
        }
    });
}

void leadership::lose(const char* why) {
    this->context.log.line(importance::keep, "leader_no_more")
        .text("why", why)
        .number("fence", this->held->fence);
    this->held.reset();
}

void leadership::resign() {
    if (!this->held) {
        return;
    }
    const auto found = this->context.state.store.items.find(this->leader_key());
    this->lose("stopping");
    if (found == this->context.state.store.items.end()) {
        return;
    }
    ports::transaction change;
    change.expectations = {{this->leader_key(), found->second.mod_revision}};
    change.writes = {{this->leader_key(), "", true, 0}};
    this->platform.commit(change, [this](base::result<ports::committed> done) {
        if (!done.has_value()) {
            // The lease ends by itself; the next leader only waits longer.
            this->context.log.line(importance::keep, "leader_key_left");
        }
    });
}

} // namespace camphorrail::proxy
