#include "proxy/store_follower.h"

#include "proxy/line_up.h"

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// The longest that the store lets a watch wait is 30 s.
constexpr base::milliseconds watch_wait{20000};
constexpr base::milliseconds watch_retry{150};
// After a failed proof the next one comes sooner: each second without a proof counts against the
// age that requests may be served by.
constexpr base::milliseconds proof_retry{400};
// So many entries follow the store. One may be cut off and another one ending.
constexpr std::size_t followers = 3;
// Without a proof for so long an entry follows the store itself, and for a while after: well below
// the age that ends service, and above what a proof takes over another entry.
constexpr base::milliseconds too_old{2200};
constexpr base::seconds follow_at_least{5};
const std::string duty = "store";
// A configuration of 70 teams takes 50 KB. Told by three entries to nineteen each, three of them in
// a row filled links of 10 Mbit/s for two seconds.
constexpr std::size_t most_told_bytes = 4096;
// Everything below the empty prefix.
const std::string all_keys;

} // namespace

store_follower::store_follower(entry_context& context, ports::platform platform)
    : context(context), platform(std::move(platform)),
      next_proof(context.loop.base(), [this] { this->prove(); }),
      next_watch(context.loop.base(), [this] { this->watch(); }) {}

void store_follower::start() {
    this->read_all();
}

bool store_follower::is_our_turn() const {
    const auto age = mirror::age(this->context.state.store, this->context.now());
    const bool stale = !age || *age > too_old;
    return stale ||
           place_in_line(this->linked_entries(), this->context.settings.id, duty) < followers;
}

void store_follower::tick() {
    if (!this->read_once) {
        return;
    }
    const base::instant now = this->context.now();
    if (this->is_our_turn()) {
        this->follow_until = now + follow_at_least;
    }
    const bool follow = now < this->follow_until;
    if (follow == this->is_following) {
        return;
    }
    this->is_following = follow;
    this->context.log.line(importance::keep, follow ? "store_followed" : "store_left")
        .number("revision", this->context.state.store.revision)
        .span("config_age_ms", logged_config_age(this->context));
    if (follow) {
        this->read_all();
    } else {
        // The watch under way tells once more, late perhaps, but nothing wrong.
        ++this->generation;
        this->next_watch.clear();
        this->next_proof.clear();
    }
}

void store_follower::apply(std::int64_t revision_before, const std::set<std::string>& keys) {
    if (keys.empty()) {
        return;
    }
    if (this->is_following) {
        this->tell_changes(revision_before, keys);
    }
    this->changed(keys);
}

void store_follower::tell_changes(std::int64_t revision_before,
                                  const std::set<std::string>& keys) const {
    const auto& store = this->context.state.store;
    peer_store_changes told{revision_before, false, {store.revision, {}}};
    std::size_t bytes = 0;
    for (const auto& key : keys) {
        const auto found = store.items.find(key);
        const bool deleted = found == store.items.end();
        told.changes.items.push_back(
            {deleted ? ports::stored_value{key, "", store.revision} : found->second, deleted});
        bytes += told.changes.items.back().item.value.size();
    }
    if (bytes > most_told_bytes) {
        told.large = true;
        told.changes.items.clear();
    }
    this->tell(told);
}

void store_follower::read_all() {
    if (this->reading) {
        return;
    }
    this->reading = true;
    const base::instant began = this->context.now();
    this->platform.read(all_keys, [this, began](base::result<ports::snapshot> read) {
        this->reading = false;
        this->note_answer(read.has_value());
        if (!read.has_value()) {
            this->prove_later(proof_retry);
            return;
        }
        const bool first = !this->read_once;
        this->read_once = true;
        auto& store = this->context.state.store;
        const std::int64_t before = store.revision;
        this->apply(before, mirror::take_snapshot(store, read.value(), began));
        this->watch_suspected = false;
        if (first) {
            this->context.log.line(importance::keep, "store_read")
                .number("revision", read.value().revision)
                .number("items", static_cast<std::int64_t>(read.value().values.size()));
        }
        this->watch();
        this->prove_later(this->context.settings.platform.poll);
    });
}

void store_follower::watch() {
    if (!this->is_following) {
        return;
    }
    const std::int64_t mine = ++this->generation;
    this->platform.watch(all_keys, this->context.state.store.revision, watch_wait,
                         [this, mine](base::result<ports::changes> told) {
                             if (told.has_value() && !told.value().forgotten) {
                                 auto& store = this->context.state.store;
                                 const std::int64_t before = store.revision;
                                 this->apply(before, mirror::take_changes(store, told.value()));
                             }
                             if (mine != this->generation) {
                                 return;
                             }
                             if (!told.has_value()) {
                                 this->next_watch.set(watch_retry);
                             } else if (told.value().forgotten) {
                                 this->context.log.line(importance::keep, "store_history_lost")
                                     .number("revision", this->context.state.store.revision);
                                 this->read_all();
                             } else {
                                 this->watch();
                             }
                         });
}

ports::transaction store_follower::operators_part() const {
    ports::transaction check;
    const auto& items = this->context.state.store.items;
    const auto expect = [&check](const ports::stored_value& item) {
        check.expectations.push_back({item.key, item.mod_revision});
    };
    const auto config = items.find(this->context.words.operators_config_key);
    if (config != items.end()) {
        expect(config->second);
    }
    for (const auto& item :
         mirror::items_below(this->context.state.store, this->context.words.named_weights_prefix)) {
        expect(item);
    }
    return check;
}

void store_follower::prove_later(base::micros delay) {
    if (this->is_following) {
        this->next_proof.set(delay);
    }
}

void store_follower::prove() {
    const auto check = this->operators_part();
    if (check.expectations.empty()) {
        this->read_all();
        return;
    }
    const base::instant began = this->context.now();
    this->platform.commit(check, [this, began](base::result<ports::committed> answer) {
        this->note_answer(answer.has_value());
        if (!answer.has_value()) {
            this->prove_later(proof_retry);
            return;
        }
        auto& store = this->context.state.store;
        const bool unchanged = answer.value().applied;
        if (unchanged) {
            mirror::prove(store, began);
        }
        // The store is ahead of us for a second time in a row: the watch tells nothing any more.
        const bool behind = unchanged && answer.value().revision > store.revision;
        if (!unchanged || (behind && this->watch_suspected)) {
            this->read_all();
            return;
        }
        this->watch_suspected = behind;
        this->prove_later(this->context.settings.platform.poll);
    });
}

void store_follower::note_answer(bool answered) {
    const bool before = this->reachable();
    this->failures = answered ? 0 : this->failures + 1;
    if (answered == before) {
        return;
    }
    this->context.log.line(importance::keep, answered ? "store_regained" : "store_lost")
        .number("revision", this->context.state.store.revision)
        .span("config_age_ms", logged_config_age(this->context));
    if (answered && this->read_once) {
        // The watch may have been cut without a sign.
        this->watch();
    }
    if (this->reachable_changed) {
        this->reachable_changed(answered);
    }
}

} // namespace camphorrail::proxy
