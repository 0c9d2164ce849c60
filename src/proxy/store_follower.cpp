#include "proxy/store_follower.h"

#include "entries/duty_ranking.h"

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// The longest that the store lets a watch wait is 30 s.
constexpr base::milliseconds watch_wait{20000};
// A configuration of 70 teams takes 50 KB. Told by three entries to nineteen each, three of them in
// a row filled links of 10 Mbit/s for two seconds.
constexpr std::size_t most_told_bytes = 4096;
// The store takes no more in one transaction.
constexpr std::size_t most_expectations = 32;
// The store takes no longer keys.
constexpr std::size_t longest_key_bytes = 200;
// Everything below the empty prefix.
const std::string all_keys;

} // namespace

store_follower::store_follower(entry_context& context, ports::platform platform)
    : context(context), platform(std::move(platform)) {
    this->rules.verification_interval = context.settings.platform.poll;
}

void store_follower::start() {
    this->tick();
}

entries::store_sync_view store_follower::view() const {
    return {entries::duty_rank(this->linked_entries(), this->context.settings.id, store_duty_name),
            mirror::age(this->context.state.store, this->context.now()), this->context.now()};
}

bool store_follower::proving() const {
    return this->view().rank == 0;
}

void store_follower::tick() {
    const bool before = this->duty.watches_store;
    const auto due = entries::next_store_calls(this->duty, this->view(), this->rules);
    this->note_following(before);
    if (due.read) {
        this->read_all();
    }
    if (due.watch) {
        this->watch();
    }
    if (due.verify) {
        this->prove();
    }
}

void store_follower::note_following(bool before) {
    if (this->duty.watches_store == before) {
        return;
    }
    this->context.log.line(importance::keep, before ? "store_left" : "store_followed")
        .number("revision", this->context.state.store.revision)
        .span("config_age_ms", logged_config_age(this->context));
}

void store_follower::apply(std::int64_t revision_before, const std::set<std::string>& keys) {
    if (this->duty.watches_store) {
        this->tell_changes(revision_before);
    }
    if (!keys.empty()) {
        this->changed(keys);
    }
}

// All that is newer than the revision before, and not only what was news here: a large value that
// this entry has read itself may be newer than its mirror's revision. Left out, others would take
// the later revision for theirs without it, and serve by an old configuration.
void store_follower::tell_changes(std::int64_t revision_before) const {
    auto since = mirror::changes_since(this->context.state.store, revision_before);
    if (!since || since->revision == revision_before) {
        return;
    }
    peering::store_changes told{revision_before, {}, std::move(*since)};
    for (auto& each : told.changes.items) {
        if (each.item.value.size() > most_told_bytes) {
            told.omitted_keys.insert(each.item.key);
            each.item.value.clear();
        }
    }
    this->tell(told);
}

void store_follower::read_all() {
    const base::instant began = this->context.now();
    this->platform.read(all_keys, [this, began](base::result<ports::snapshot> read) {
        const bool first = !this->duty.read_once;
        if (read.has_value()) {
            auto& store = this->context.state.store;
            const std::int64_t before = store.revision;
            const auto changed = mirror::apply_snapshot(store, read.value(), began);
            mirror::record_revision(store, read.value().revision, began);
            this->apply(before, changed);
        }
        entries::record_store_read(this->duty, read.has_value(), this->view(), this->rules);
        this->note_answer(read.has_value());
        if (read.has_value() && first) {
            this->context.log.line(importance::keep, "store_read")
                .number("revision", read.value().revision)
                .number("items", static_cast<std::int64_t>(read.value().values.size()));
        }
    });
}

void store_follower::watch() {
    const std::int64_t mine = ++this->generation;
    this->platform.watch(all_keys, this->context.state.store.revision, watch_wait,
                         [this, mine](base::result<ports::changes> told) {
                             const bool answered = told.has_value();
                             const bool forgotten = answered && told.value().compacted;
                             if (answered && !forgotten) {
                                 auto& store = this->context.state.store;
                                 const std::int64_t before = store.revision;
                                 this->apply(before, mirror::apply_changes(store, told.value()));
                             }
                             if (mine != this->generation) {
                                 return;
                             }
                             if (forgotten) {
                                 this->context.log.line(importance::keep, "store_history_lost")
                                     .number("revision", this->context.state.store.revision);
                             }
                             entries::record_watch_end(this->duty, answered, forgotten,
                                                       this->view(), this->rules);
                         });
}

ports::transaction store_follower::operators_part() const {
    ports::transaction check;
    const auto& items = this->context.state.store.items;
    const auto expect = [&check](const ports::stored_value& item) {
        check.preconditions.push_back({item.key, item.mod_revision});
    };
    const auto config = items.find(this->context.codec.operators_config_key);
    if (config != items.end()) {
        expect(config->second);
    } else {
        // Before the first configuration its absence is what is proved.
        check.preconditions.push_back({this->context.codec.operators_config_key, 0});
    }
    for (const auto& item : mirror::items_with_prefix(this->context.state.store,
                                                      this->context.codec.target_weights_prefix)) {
        expect(item);
    }
    for (const auto& key : this->unnamed_weights()) {
        if (check.preconditions.size() < most_expectations) {
            check.preconditions.push_back({key, 0});
        }
    }
    return check;
}

// The keys, missing so far, at which weights would be named for the models that upstreams hold.
// With proofs that leave them out, an entry whose watch has fallen silent would pass for up to
// date, and begin requests on weights that have been outdated for long.
std::set<std::string> store_follower::unnamed_weights() const {
    std::set<std::string> keys;
    for (const auto& [id, one] : this->context.state.fleet.members) {
        for (const auto& [model, version] : one.listed.models) {
            const std::string key = this->context.codec.target_weights_prefix + model.value;
            // The names come from upstreams, and one that no key can hold must fail no proof.
            const bool may_be_named = key.size() <= longest_key_bytes;
            if (may_be_named && this->context.state.store.items.count(key) == 0) {
                keys.insert(key);
            }
        }
    }
    return keys;
}

void store_follower::prove() {
    const base::instant began = this->context.now();
    this->platform.commit(
        this->operators_part(), [this, began](base::result<ports::commit_result> answer) {
            auto& store = this->context.state.store;
            entries::verification_result outcome;
            outcome.answered = answer.has_value();
            outcome.unchanged = outcome.answered && answer.value().applied;
            outcome.behind = outcome.unchanged && answer.value().revision > store.revision;
            if (outcome.unchanged) {
                mirror::mark_verified(store, began);
                mirror::record_revision(store, answer.value().revision, began);
            }
            entries::record_verification(this->duty, outcome, this->view(), this->rules);
            this->note_answer(outcome.answered);
        });
}

void store_follower::note_answer(bool answered) {
    if (answered == this->reachable) {
        return;
    }
    this->reachable = answered;
    this->context.log.line(importance::keep, answered ? "store_regained" : "store_lost")
        .number("revision", this->context.state.store.revision)
        .span("config_age_ms", logged_config_age(this->context));
}

} // namespace camphorrail::proxy
