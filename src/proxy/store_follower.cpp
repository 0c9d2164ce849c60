#include "proxy/store_follower.h"

#include "entries/duty_ranking.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// The store limits a watch to 30 s.
constexpr base::milliseconds watch_wait{20000};
// Larger values are named but not sent to other entries. A configuration of 70 teams takes 50 KB;
// sent by three entries to nineteen each, three of them in a row filled 10 Mbit/s links for two
// seconds.
constexpr std::size_t max_inline_bytes = 4096;
// The store's limit per transaction.
constexpr std::size_t max_preconditions = 32;
// Keys that do not exist are verified up to this number in all. Upstreams list as many models as
// they like.
constexpr std::size_t max_verified_keys = 32 * max_preconditions;
// The store's limit on the length of a key.
constexpr std::size_t max_key_bytes = 200;
// The empty prefix matches every key.
const std::string all_keys;

} // namespace

std::set<std::string> omit_large_values(ports::changes& changes) {
    std::set<std::string> keys;
    for (auto& each : changes.items) {
        if (each.item.value.size() > max_inline_bytes) {
            keys.insert(each.item.key);
            each.item.value.clear();
        }
    }
    return keys;
}

std::optional<peering::store_changes>
make_retained_documents_message(const mirror::store_mirror& store) {
    auto documents = mirror::retained_operators_documents(store);
    if (documents.empty()) {
        return std::nullopt;
    }
    return peering::store_changes{store.revision, {}, {store.revision, std::move(documents)}};
}

store_follower::store_follower(entry_context& context, ports::platform platform)
    : context(context), platform(std::move(platform)) {
    this->rules.verification_interval = context.settings.platform.poll;
}

void store_follower::start() {
    this->tick();
}

entries::store_sync_view store_follower::view() const {
    return {
        entries::duty_rank(this->connected_entries(), this->context.settings.id, store_duty_name),
        mirror::age(this->context.state.store, this->context.now()), this->context.now()};
}

bool store_follower::is_verifier() const {
    return this->view().rank == 0;
}

void store_follower::tick() {
    const auto lost = mirror::drop_lost_items(this->context.state.store, this->context.now());
    if (!lost.empty()) {
        this->changed(lost);
    }
    const bool was_following = this->sync_state.watches_store;
    const auto due = entries::next_store_calls(this->sync_state, this->view(), this->rules);
    this->log_following_change(was_following);
    if (due.read) {
        this->read_all();
    }
    if (due.watch) {
        this->watch();
    }
    if (due.verify) {
        this->verify();
    }
}

void store_follower::log_following_change(bool was_following) {
    if (this->sync_state.watches_store == was_following) {
        return;
    }
    this->context.log.line(importance::keep, was_following ? "store_left" : "store_followed")
        .number("revision", this->context.state.store.revision.number)
        .number("era", this->context.state.store.revision.era)
        .span("config_age_ms", logged_config_age(this->context));
}

void store_follower::publish(base::revision revision_before, const std::set<std::string>& keys) {
    log_store_restored(this->context, revision_before, "store");
    if (this->sync_state.watches_store) {
        this->broadcast_changes(revision_before);
    }
    if (!keys.empty()) {
        this->changed(keys);
    }
}

// Broadcasts everything newer than the previous revision, even if it was already known here: this
// entry may have read a large value that is newer than the mirror's revision. If it were left out,
// the other entries would adopt the new revision without that value and keep serving an old
// configuration.
//
// Changes can't be sent over a restoration of the store: the other entries notice it by themselves,
// and then ask for the complete contents. Operators' documents that the store has lost are sent,
// since an entry that has started meanwhile does not ask for them.
void store_follower::broadcast_changes(base::revision revision_before) const {
    const auto& store = this->context.state.store;
    if (revision_before.era != store.revision.era) {
        if (const auto documents = make_retained_documents_message(store)) {
            this->broadcast(*documents);
        }
        return;
    }
    auto since = mirror::changes_since(this->context.state.store, revision_before);
    if (!since || since->revision == revision_before) {
        return;
    }
    peering::store_changes message{revision_before, {}, std::move(*since)};
    message.omitted_keys = omit_large_values(message.changes);
    this->broadcast(message);
}

void store_follower::read_all() {
    const base::instant began = this->context.now();
    this->platform.read(all_keys, [this, began](base::result<ports::snapshot> read) {
        const bool first = !this->sync_state.read_once;
        // A response that was delayed over a restoration says nothing of the store as it is now.
        const bool is_current =
            read.has_value() && read.value().revision.era >= this->context.state.store.revision.era;
        if (is_current) {
            auto& store = this->context.state.store;
            const base::revision before = store.revision;
            if (before == base::revision{} && read.value().revision.era > 0) {
                // Only a store that has eras can have lost the newest configuration.
                mirror::await_peers(store);
            }
            const auto changed =
                mirror::apply_snapshot(store, read.value(), began, this->context.now());
            mirror::record_revision(store, read.value().revision, began);
            this->publish(before, changed);
        }
        entries::record_store_read(this->sync_state, is_current, this->view(), this->rules);
        this->update_reachability(read.has_value());
        if (is_current && first) {
            this->context.log.line(importance::keep, "store_read")
                .number("revision", read.value().revision.number)
                .number("era", read.value().revision.era)
                .number("items", static_cast<std::int64_t>(read.value().values.size()));
        }
    });
}

void store_follower::watch() {
    const std::int64_t watch_generation = ++this->watch_generation;
    const base::revision after = this->context.state.store.revision;
    this->platform.watch(all_keys, after, watch_wait,
                         [this, watch_generation, after](base::result<ports::changes> update) {
                             this->handle_watch_result(update, after,
                                                       watch_generation == this->watch_generation);
                         });
}

void store_follower::handle_watch_result(const base::result<ports::changes>& update,
                                         base::revision after, bool is_latest) {
    auto& store = this->context.state.store;
    // After a restoration, changes with lower numbers than the requested one may be new too, and
    // the watch would not report them.
    const bool same_era = update.has_value() && update.value().revision.era == after.era;
    const bool has_history = same_era && !update.value().compacted;
    if (has_history && after.era == store.revision.era) {
        const base::revision before = store.revision;
        this->publish(before, mirror::apply_changes(store, update.value()));
    }
    if (!is_latest) {
        return;
    }
    const bool history_lost = update.has_value() && !has_history;
    if (history_lost) {
        this->context.log.line(importance::keep, "store_history_lost")
            .number("revision", after.number)
            .number("era", after.era)
            .number("store_era", update.value().revision.era);
    }
    entries::record_watch_end(this->sync_state, update.has_value(), history_lost, this->view(),
                              this->rules);
}

std::vector<ports::transaction> store_follower::make_verifications() const {
    std::vector<ports::precondition> expected;
    const auto& store = this->context.state.store;
    const auto& items = store.items;
    const auto expect = [&](const ports::stored_value& item) {
        expected.push_back({item.key, mirror::store_revision_of(store, item.key)});
    };
    const auto config = items.find(this->context.codec.operators_config_key);
    if (config != items.end()) {
        expect(config->second);
    } else {
        // Until a first configuration exists, its absence is what is verified.
        expected.push_back({this->context.codec.operators_config_key, 0});
    }
    for (const auto& item :
         mirror::items_with_prefix(store, this->context.codec.target_weights_prefix)) {
        expect(item);
    }
    for (const auto& key : this->missing_target_keys()) {
        if (expected.size() < max_verified_keys) {
            expected.push_back({key, 0});
        }
    }
    std::vector<ports::transaction> checks((expected.size() - 1) / max_preconditions + 1);
    for (std::size_t each = 0; each < expected.size(); ++each) {
        checks[each / max_preconditions].preconditions.push_back(std::move(expected[each]));
    }
    return checks;
}

// Returns the keys, absent so far, that would hold the target weights of models served by listed
// upstreams. If the check left them out, an entry whose watch is cut off would seem up to date and
// start requests on weights that have long been outdated.
std::set<std::string> store_follower::missing_target_keys() const {
    std::set<std::string> keys;
    for (const auto& [id, member] : this->context.state.fleet.members) {
        for (const auto& [model, version] : member.listed.models) {
            const std::string key = this->context.codec.target_weights_prefix + model.value;
            // Model names come from upstreams, so a name too long for a key must not make the whole
            // transaction fail.
            const bool fits_key = key.size() <= max_key_bytes;
            if (fits_key && this->context.state.store.items.count(key) == 0) {
                keys.insert(key);
            }
        }
    }
    return keys;
}

void store_follower::verify() {
    const auto checks = this->make_verifications();
    const auto state = std::make_shared<verification>();
    state->began = this->context.now();
    state->era = this->context.state.store.revision.era;
    state->unanswered = checks.size();
    state->outcome = {.answered = true, .unchanged = true};
    for (const auto& check : checks) {
        this->platform.commit(check,
                              [this, state](const base::result<ports::commit_result>& answer) {
                                  this->handle_verification(*state, answer);
                              });
    }
}

void store_follower::handle_verification(verification& state,
                                         const base::result<ports::commit_result>& answer) {
    const auto& store = this->context.state.store;
    auto& outcome = state.outcome;
    outcome.answered = outcome.answered && answer.has_value();
    if (answer.has_value()) {
        const auto& reached = answer.value().revision;
        outcome.restored = outcome.restored || reached.era > store.revision.era;
        // Conditions of one era may hold in another one by chance.
        const bool same_era = reached.era == state.era && store.revision.era == state.era;
        outcome.unchanged = outcome.unchanged && same_era && answer.value().applied;
        // What held at a later revision under the same numbers held at the earlier ones as well.
        state.reached = state.reached ? std::min(*state.reached, reached) : reached;
        state.newest = std::max(state.newest, reached);
    }
    if (--state.unanswered == 0) {
        this->end_verification(state);
    }
}

void store_follower::end_verification(const verification& state) {
    auto& store = this->context.state.store;
    auto outcome = state.outcome;
    outcome.unchanged = outcome.unchanged && outcome.answered;
    outcome.behind = outcome.unchanged && state.newest > store.revision;
    if (outcome.unchanged) {
        mirror::mark_verified(store, state.began);
        mirror::record_revision(store, *state.reached, state.began);
    }
    entries::record_verification(this->sync_state, outcome, this->view(), this->rules);
    this->update_reachability(outcome.answered);
}

void store_follower::update_reachability(bool answered) {
    if (answered == this->reachable) {
        return;
    }
    this->reachable = answered;
    this->context.log.line(importance::keep, answered ? "store_regained" : "store_lost")
        .number("revision", this->context.state.store.revision.number)
        .number("era", this->context.state.store.revision.era)
        .span("config_age_ms", logged_config_age(this->context));
}

} // namespace camphorrail::proxy
