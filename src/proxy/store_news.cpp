#include "proxy/store_news.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

// A read that may be old is asked for so often before the newest, which costs ten times as much.
constexpr int cheap_attempts = 3;
constexpr int most_attempts = 5;
constexpr base::milliseconds attempt_pause{150};
// Told meanwhile; beyond this an entry asks another one for all.
constexpr std::size_t most_waiting = 64;

} // namespace

store_news::store_news(entry_context& context, ports::platform platform)
    : context(context), platform(std::move(platform)) {}

store_news::outcome store_news::take(const peering::store_changes& told) {
    const auto& store = this->context.state.store;
    if (this->current) {
        const bool known = told.changes.revision <= this->current->changes.revision;
        if (!known && this->waiting.size() < most_waiting) {
            this->apply_small(told);
            this->waiting.push_back(told);
        }
        return outcome::reading;
    }
    if (told.changes.revision <= store.revision) {
        return outcome::taken;
    }
    if (told.base_revision > store.revision) {
        return outcome::missed;
    }
    if (told.omitted_keys.empty()) {
        this->apply(told);
        return outcome::taken;
    }
    this->current = told;
    this->apply_small(told);
    this->read_next();
    return outcome::reading;
}

// Takes what was told with its value, and not the revision, up to which something is still missing.
// Behind a large value, an upstream's leaving came so late that requests went there beyond the
// bound. Items may always be newer than the mirror's revision.
void store_news::apply_small(const peering::store_changes& told) {
    peering::store_changes small;
    for (const auto& each : told.changes.items) {
        if (told.omitted_keys.count(each.item.key) == 0) {
            small.changes.items.push_back(each);
        }
    }
    this->apply(small);
}

void store_news::apply(const peering::store_changes& told) {
    const auto keys = mirror::apply_changes(this->context.state.store, told.changes);
    if (!keys.empty()) {
        this->changed(keys);
    }
}

void store_news::read_next() {
    if (!this->current->omitted_keys.empty()) {
        this->read(*this->current->omitted_keys.begin(), 1);
        return;
    }
    const auto whole = std::move(*this->current);
    this->current.reset();
    this->apply(whole);
    this->take_waiting();
}

void store_news::read(const std::string& key, int attempt) {
    const auto wanted = attempt <= cheap_attempts ? ports::read_consistency::stale_allowed
                                                  : ports::read_consistency::linearizable;
    this->platform.read_key(key, wanted, [this, key, attempt](const auto& read) {
        this->take_value(key, attempt, read);
    });
}

void store_news::take_value(const std::string& key, int attempt,
                            const base::result<std::optional<ports::stored_value>>& read) {
    auto& items = this->current->changes.items;
    const auto named = std::find_if(items.begin(), items.end(),
                                    [&key](const auto& each) { return each.item.key == key; });
    const bool fresh = read.has_value() && read.value() && named != items.end() &&
                       read.value()->mod_revision >= named->item.mod_revision;
    if (fresh) {
        named->item = *read.value();
        this->current->omitted_keys.erase(key);
        this->read_next();
        return;
    }
    if (attempt < most_attempts && read.has_value()) {
        this->context.loop.after(attempt_pause,
                                 [this, key, attempt] { this->read(key, attempt + 1); });
        return;
    }
    this->context.log.line(adapters::importance::keep, "store_value_unreadable")
        .text("key", key)
        .flag("answered", read.has_value())
        .number("revision", this->current->changes.revision);
    this->current.reset();
    this->waiting.clear();
    this->unreadable();
}

void store_news::take_waiting() {
    const auto told = std::exchange(this->waiting, {});
    for (const auto& each : told) {
        // One that needs a read of its own makes the rest wait again.
        this->take(each);
    }
}

} // namespace camphorrail::proxy
