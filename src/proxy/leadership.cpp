#include "proxy/leadership.h"

#include "base/hash.h"
#include "entries/duty_ranking.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// About a quarter of the lease, so that it survives two lost renewals.
constexpr base::milliseconds renewal_period{700};
constexpr base::milliseconds campaign_period{500};
// Candidates wait in a fixed order before they campaign, so that one does and the others see its
// success; campaigning all at once, a hundred entries took a lease each. The wait is limited, so
// that the last ones act in time even if all before them are cut off from the store.
constexpr base::milliseconds campaign_delay_per_rank{250};
constexpr base::milliseconds max_campaign_delay{3000};
// By then the links are open; before that, each entry would consider itself first in order.
constexpr base::milliseconds startup_delay{1000};
const std::string duty_name = "leader";
// Spreads the campaigns of entries that see the leader key vanish at the same time.
constexpr std::uint64_t campaign_jitter_ms = 300;
constexpr std::int64_t lease_seconds = 3;

} // namespace

leadership::leadership(entry_context& context, ports::platform platform,
                       std::function<std::vector<base::entry_id>()> connected_entries)
    : context(context), platform(std::move(platform)),
      connected_entries(std::move(connected_entries)),
      next_campaign(context.now() + startup_delay) {}

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

bool leadership::may_issue_commands() {
    if (!this->term || !weights::may_issue_orders(*this->term, this->context.now())) {
        return false;
    }
    if (!this->orderer_recorded) {
        this->record_orderer();
    }
    return this->orderer_recorded;
}

// A new leader waits for the end of the last term in which commands were sent, so that term must be
// recorded in the store before its first command.
void leadership::record_orderer() {
    if (this->recording_orderer) {
        return;
    }
    this->recording_orderer = true;
    ports::transaction change;
    change.preconditions = {{this->leader_key(), this->term->elected_in}};
    change.writes = {{this->orderer_key(), this->name(), false, 0}};
    const base::revision elected_in = this->term->elected_in;
    this->platform.commit(change, [this, elected_in](base::result<ports::commit_result> done) {
        this->recording_orderer = false;
        if (!this->term || this->term->elected_in != elected_in || !done.has_value()) {
            return;
        }
        if (done.value().revision.era != elected_in.era) {
            this->lose_leadership("store_restored");
        } else if (done.value().applied) {
            this->orderer_recorded = true;
        } else {
            this->lose_leadership("replaced", true);
        }
    });
}

void leadership::on_store_change() {
    this->follow_store_era();
    this->detect_replacement();
    this->detect_end_of_other_term();
}

// A restored store has lost leases, and its copy may name an earlier leader and an earlier orderer.
void leadership::follow_store_era() {
    const auto& store = this->context.state.store;
    if (store.revision == base::revision{} || this->store_era == store.revision.era) {
        return;
    }
    const bool first = !this->store_era;
    this->store_era = store.revision.era;
    if (first) {
        return;
    }
    if (this->term) {
        this->lose_leadership("store_restored");
    }
    const base::instant now = this->context.now();
    const auto rules = this->rules();
    const auto record = store.items.find(this->orderer_key());
    restoration seen;
    seen.seen_at = now;
    if (record != store.items.end()) {
        seen.record_at_return = record->second.mod_revision;
    }
    // Another entry would have had to wait for the end of this entry's lease, and then for the gap,
    // before its first command.
    seen.was_orderer =
        this->exclusive_until && now < *this->exclusive_until + rules.margin + rules.handover_gap;
    this->restored = seen;
    this->next_campaign = now;
}

// Detects that the store has given the leadership to another entry while this one thought it had
// it, as after a restoration that this entry has noticed late.
void leadership::detect_replacement() {
    const auto& store = this->context.state.store;
    if (!this->term || store.revision < this->term->elected_in) {
        return;
    }
    const auto held = store.items.find(this->leader_key());
    if (held != store.items.end() && held->second.mod_revision > this->term->elected_in) {
        this->lose_leadership("replaced", true);
    }
}

void leadership::detect_end_of_other_term() {
    const auto& items = this->context.state.store.items;
    const auto found = items.find(this->leader_key());
    const std::string holder = found == items.end() ? std::string() : found->second.value;
    if (holder == this->last_seen_holder) {
        return;
    }
    const auto orderer = items.find(this->orderer_key());
    if (orderer != items.end() && orderer->second.value == this->last_seen_holder) {
        this->orderer_ended = {orderer->second.mod_revision, this->context.now()};
    }
    this->last_seen_holder = holder;
}

// Whether commands may still be sent, or have been sent a moment ago, under a lease that the store
// has lost.
bool leadership::is_recently_restored() const {
    const auto rules = this->rules();
    return this->restored && this->context.now() < this->restored->seen_at + rules.lease_duration +
                                                       rules.handover_gap;
}

// The process that a new term has to wait for: the recorded one, corrected for commands whose
// record a restored store may have lost.
weights::last_order_issuer leadership::orderer_to_wait_for() const {
    auto before = this->recorded_orderer();
    if (!this->is_recently_restored()) {
        return before;
    }
    const auto record = this->context.state.store.items.find(this->orderer_key());
    const bool exists = record != this->context.state.store.items.end();
    const auto revision = exists ? std::optional(record->second.mod_revision) : std::nullopt;
    const bool is_unchanged = revision == this->restored->record_at_return;
    if (!this->restored->was_orderer) {
        // No lease of before the restoration outlasts this.
        before.unrecorded_until = this->restored->seen_at + this->rules().lease_duration;
    } else if (is_unchanged) {
        // Nobody has sent commands since this entry did, so there is nothing to wait for.
        return {};
    }
    return before;
}

// The last orderer by the store's record and by what this entry has observed.
weights::last_order_issuer leadership::recorded_orderer() const {
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
    this->follow_store_era();
    if (this->term && now >= this->term->valid_until) {
        this->lose_leadership("lease_ran_out");
    }
    if (this->call_pending) {
        return;
    }
    this->update_vacancy();
    if (this->term && now >= this->next_renewal) {
        this->renew();
    } else if (!this->term && !this->context.state.stopping && now >= this->next_campaign) {
        this->campaign();
    }
}

void leadership::update_vacancy() {
    const auto& store = this->context.state.store;
    const bool is_vacant =
        store.revision > base::revision{} && store.items.count(this->leader_key()) == 0;
    if (!is_vacant) {
        this->vacant_since.reset();
    } else if (!this->vacant_since) {
        this->vacant_since = this->context.now();
    }
}

// Whether the store names this entry as the leader although a restoration has ended its term, and
// nobody else can have sent commands since. It then campaigns at once.
bool leadership::may_reclaim_leader_key() const {
    const auto& items = this->context.state.store.items;
    const auto held = items.find(this->leader_key());
    return !this->term && this->is_recently_restored() && this->restored->was_orderer &&
           held != items.end() && held->second.value == this->name();
}

// Whether this entry may campaign: it still holds the leader key, or every entry before it in order
// has had its chance.
bool leadership::is_our_turn() const {
    if (this->may_reclaim_leader_key()) {
        return true;
    }
    const auto rank = static_cast<std::int64_t>(
        entries::duty_rank(this->connected_entries(), this->context.settings.id, duty_name));
    const auto wait = std::min(campaign_delay_per_rank * rank, max_campaign_delay);
    return this->vacant_since && this->context.now() - *this->vacant_since >= wait;
}

void leadership::campaign() {
    const base::instant now = this->context.now();
    if (!this->is_our_turn()) {
        return;
    }
    const auto jitter = base::milliseconds(
        base::stable_hash(this->name(),
                          static_cast<std::uint64_t>(now.time_since_epoch().count())) %
        campaign_jitter_ms);
    this->next_campaign = now + campaign_period + jitter;
    this->call_pending = true;
    this->platform.grant_lease(lease_seconds, [this, now](base::result<ports::lease> lease) {
        this->call_pending = false;
        // A lease of another era shows that the mirror is of a store that no longer exists. The
        // conditions of a claim could hold by chance.
        const bool same_era = lease.has_value() && lease.value().era == this->store_era;
        if (same_era) {
            this->claim(lease.value(), now);
        }
    });
}

void leadership::claim(const ports::lease& lease, base::instant requested_at) {
    const auto& store = this->context.state.store;
    const auto last_revision = mirror::store_revision_of(store, this->orderer_key());
    const auto before = this->orderer_to_wait_for();
    ports::transaction change;
    // The claim fails if the record of the last entry that sent commands has changed.
    const base::revision held = this->may_reclaim_leader_key()
                                    ? mirror::store_revision_of(store, this->leader_key())
                                    : base::revision{};
    change.preconditions = {{this->leader_key(), held}, {this->orderer_key(), last_revision}};
    change.writes = {{this->leader_key(), this->name(), false, lease.id}};
    this->call_pending = true;
    this->platform.commit(change, [this, lease, requested_at,
                                   before](base::result<ports::commit_result> done) {
        this->call_pending = false;
        if (!done.has_value() || !done.value().applied || done.value().revision.era != lease.era) {
            return;
        }
        const base::instant now = this->context.now();
        this->term = weights::begin_term(done.value().revision, lease.id, before, requested_at, now,
                                         this->rules());
        this->orderer_recorded = false;
        this->next_renewal = now + renewal_period;
        this->context.log.line(importance::keep, "leader")
            .number("fence", this->fencing_token())
            .number("era", this->term->elected_in.era)
            .flag("other_before", before.is_other_process)
            .span("orders_after_ms", this->term->valid_from - now);
    });
}

void leadership::renew() {
    const base::instant requested_at = this->context.now();
    this->next_renewal = requested_at + renewal_period;
    this->call_pending = true;
    const ports::lease held{this->term->lease_id, this->term->elected_in.era};
    this->platform.renew_lease(held, [this, held, requested_at](const auto& renewed) {
        this->call_pending = false;
        if (!this->term || !renewed.has_value()) {
            return;
        }
        if (ports::was_extended(held, renewed.value())) {
            weights::renew_term(*this->term, requested_at, this->rules());
        } else if (renewed.value().era != held.era) {
            this->lose_leadership("store_restored");
        } else {
            this->lose_leadership("lease_ended", true);
        }
    });
}

void leadership::lose_leadership(const char* why, bool lost_early) {
    this->context.log.line(importance::keep, "leader_no_more")
        .text("why", why)
        .number("fence", this->fencing_token())
        .number("era", this->term->elected_in.era);
    if (lost_early) {
        this->exclusive_until.reset();
    } else if (this->orderer_recorded) {
        this->exclusive_until = this->term->valid_until;
    }
    this->term.reset();
    this->orderer_recorded = false;
}

void leadership::resign() {
    if (!this->term) {
        return;
    }
    ports::transaction change;
    change.preconditions = {{this->leader_key(), this->term->elected_in}};
    this->lose_leadership("stopping");
    change.writes = {{this->leader_key(), "", true, 0}};
    this->platform.commit(change, [this](base::result<ports::commit_result> done) {
        if (!done.has_value()) {
            // The lease expires by itself; the next leader only waits longer.
            this->context.log.line(importance::keep, "leader_key_left");
        }
    });
}

} // namespace camphorrail::proxy
