#include "proxy/leadership.h"

#include "base/hash.h"
#include "entries/duty_ranking.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// A quarter of the shortest lease that survives two lost renewals.
constexpr base::milliseconds renewal_period{700};
constexpr base::milliseconds campaign_period{500};
// Entries ask for the vacant lead in the order of their line, so that one asks and the others hear
// of it; with all at once, a hundred took a lease each. The last ones do so in time even where all
// before them are cut off from the store.
constexpr base::milliseconds campaign_step{250};
constexpr base::milliseconds longest_campaign_wait{3000};
// Links stand by then; before, each entry takes itself for the first in line.
constexpr base::milliseconds first_campaign{1000};
const std::string duty = "leader";
// Entries that see the leader's key go at the same time ask one after the other.
constexpr std::uint64_t campaign_spread_ms = 300;
constexpr std::int64_t lease_seconds = 3;

} // namespace

leadership::leadership(entry_context& context, ports::platform platform,
                       std::function<std::vector<base::entry_id>()> linked_entries)
    : context(context), platform(std::move(platform)), linked_entries(std::move(linked_entries)),
      next_campaign(context.now() + first_campaign) {}

std::string leadership::name() const {
    return this->context.settings.id.value + "@" + this->context.settings.peer_listen;
}

std::string leadership::leader_key() const {
    return this->context.codec.own_prefix + "leader";
}

std::string leadership::orderer_key() const {
    return this->context.codec.own_prefix + "orderer";
}

weights::term_rules leadership::rules() const {
    weights::term_rules rules;
    rules.lease_duration = base::seconds(lease_seconds);
    rules.handover_gap = this->context.settings.bounds.lease;
    return rules;
}

bool leadership::may_order() {
    if (!this->held || !weights::may_issue_orders(*this->held, this->context.now())) {
        return false;
    }
    if (!this->written_down) {
        this->write_down_orderer();
    }
    return this->written_down;
}

// Others wait for the end of the last term in which orders were given; so that must be in the store
// before the first of them.
void leadership::write_down_orderer() {
    if (this->writing_down) {
        return;
    }
    this->writing_down = true;
    ports::transaction change;
    change.preconditions = {{this->leader_key(), this->held->fencing_token}};
    change.writes = {{this->orderer_key(), this->name(), false, 0}};
    const std::int64_t fence = this->held->fencing_token;
    this->platform.commit(change, [this, fence](base::result<ports::commit_result> done) {
        this->writing_down = false;
        if (!this->held || this->held->fencing_token != fence || !done.has_value()) {
            return;
        }
        if (done.value().applied) {
            this->written_down = true;
        } else {
            this->lose("replaced");
        }
    });
}

void leadership::note_store_change() {
    const auto& items = this->context.state.store.items;
    const auto found = items.find(this->leader_key());
    const std::string holder = found == items.end() ? std::string() : found->second.value;
    if (holder == this->holder_seen) {
        return;
    }
    const auto orderer = items.find(this->orderer_key());
    if (orderer != items.end() && orderer->second.value == this->holder_seen) {
        this->orderer_ended = {orderer->second.mod_revision, this->context.now()};
    }
    this->holder_seen = holder;
}

weights::last_order_issuer leadership::last_orderer() const {
    const auto& items = this->context.state.store.items;
    const auto last = items.find(this->orderer_key());
    weights::last_order_issuer before;
    if (last == items.end() || last->second.value == this->name()) {
        return before;
    }
    before.is_other_process = true;
    const auto& ended = this->orderer_ended;
    if (ended && ended->orderer_revision == last->second.mod_revision) {
        before.ended_at = ended->at;
    }
    return before;
}

void leadership::tick() {
    const base::instant now = this->context.now();
    if (this->held && now >= this->held->valid_until) {
        this->lose("lease_ran_out");
    }
    if (this->asking) {
        return;
    }
    this->note_vacancy();
    if (this->held && now >= this->next_renewal) {
        this->renew();
    } else if (!this->held && !this->context.state.stopping && now >= this->next_campaign) {
        this->campaign();
    }
}

void leadership::note_vacancy() {
    const auto& store = this->context.state.store;
    const bool now_vacant = store.revision > 0 && store.items.count(this->leader_key()) == 0;
    if (!now_vacant) {
        this->vacant_since.reset();
    } else if (!this->vacant_since) {
        this->vacant_since = this->context.now();
    }
}

// Whether all that come before this entry in line have had their turn to take the vacant lead.
bool leadership::is_our_turn() const {
    const auto place = static_cast<std::int64_t>(
        entries::duty_rank(this->linked_entries(), this->context.settings.id, duty));
    const auto wait = std::min(campaign_step * place, longest_campaign_wait);
    return this->vacant_since && this->context.now() - *this->vacant_since >= wait;
}

void leadership::campaign() {
    const base::instant now = this->context.now();
    if (!this->is_our_turn()) {
        return;
    }
    const auto spread = base::milliseconds(
        base::stable_hash(this->name(),
                          static_cast<std::uint64_t>(now.time_since_epoch().count())) %
        campaign_spread_ms);
    this->next_campaign = now + campaign_period + spread;
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
    const auto last = items.find(this->orderer_key());
    const std::int64_t last_revision = last == items.end() ? 0 : last->second.mod_revision;
    const auto before = this->last_orderer();
    ports::transaction change;
    // What is known of the last one that ordered must be up to date.
    change.preconditions = {{this->leader_key(), 0}, {this->orderer_key(), last_revision}};
    change.writes = {{this->leader_key(), this->name(), false, lease}};
    this->asking = true;
    this->platform.commit(change,
                          [this, lease, asked, before](base::result<ports::commit_result> done) {
                              this->asking = false;
                              if (!done.has_value() || !done.value().applied) {
                                  return;
                              }
                              const base::instant now = this->context.now();
                              this->held = weights::begin_term(done.value().revision, lease, before,
                                                               asked, now, this->rules());
                              this->written_down = false;
                              this->next_renewal = now + renewal_period;
                              this->context.log.line(importance::keep, "leader")
                                  .number("fence", this->held->fencing_token)
                                  .flag("other_before", before.is_other_process)
                                  .span("orders_after_ms", this->held->valid_from - now);
                          });
}

void leadership::renew() {
    const base::instant asked = this->context.now();
    this->next_renewal = asked + renewal_period;
    this->asking = true;
    this->platform.renew_lease(this->held->lease_id, [this, asked](base::result<bool> kept) {
        this->asking = false;
        if (!this->held) {
            return;
        }
        if (kept.has_value() && kept.value()) {
            weights::renew_term(*this->held, asked, this->rules());
        } else if (kept.has_value()) {
            this->lose("lease_ended");
        }
    });
}

void leadership::lose(const char* why) {
    this->context.log.line(importance::keep, "leader_no_more")
        .text("why", why)
        .number("fence", this->held->fencing_token);
    this->held.reset();
    this->written_down = false;
}

void leadership::resign() {
    if (!this->held) {
        return;
    }
    ports::transaction change;
    change.preconditions = {{this->leader_key(), this->held->fencing_token}};
    this->lose("stopping");
    change.writes = {{this->leader_key(), "", true, 0}};
    this->platform.commit(change, [this](base::result<ports::commit_result> done) {
        if (!done.has_value()) {
            // The lease ends by itself; the next leader only waits longer.
            this->context.log.line(importance::keep, "leader_key_left");
        }
    });
}

} // namespace camphorrail::proxy
