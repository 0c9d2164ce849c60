#include "proxy/store_follower.h"

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// The longest that the store lets a watch wait is 30 s.
constexpr base::milliseconds watch_wait{20000};
constexpr base::milliseconds watch_retry{150};
// After a failed proof the next one comes sooner: each second without a proof counts against the
// age that requests may be served by.
constexpr base::milliseconds proof_retry{400};
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

void store_follower::apply(const std::set<std::string>& keys) {
    if (!keys.empty()) {
        this->changed(keys);
    }
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
        this->apply(mirror::take_snapshot(this->context.state.store, read.value(), began));
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
    const std::int64_t mine = ++this->generation;
    this->platform.watch(all_keys, this->context.state.store.revision, watch_wait,
                         [this, mine](base::result<ports::changes> told) {
                             if (told.has_value() && !told.value().forgotten) {
                                 this->apply(
                                     mirror::take_changes(this->context.state.store, told.value()));
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
    this->next_proof.set(delay);
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
