#include "proxy/store_updates.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

// Number of stale reads before the first linearizable one, which costs ten times as much.
constexpr int stale_attempts = 3;
constexpr int max_attempts = 5;
constexpr base::milliseconds attempt_pause{150};
// Broadcasts kept while a value is being read. Those beyond this limit are dropped, and the entry
// recovers by querying a peer.
constexpr std::size_t max_pending = 64;
// The pause after a read, in multiples of the time that it took: on a link that large values fill,
// reads take a third of the time.
constexpr int pause_per_read_time = 2;
// A change must be in force within two seconds, reading it included.
constexpr base::milliseconds max_read_pause{600};

} // namespace

store_updates::store_updates(entry_context& context, ports::platform platform)
    : context(context), platform(std::move(platform)),
      read_timer(context.loop.base(), [this] { this->read_next(); }) {}

store_updates::outcome store_updates::receive(const peering::store_changes& message,
                                              std::optional<base::instant> proved) {
    const auto& store = this->context.state.store;
    if (this->current) {
        const bool known =
            !proved && message.changes.revision <= this->current->message.changes.revision;
        if (!known && this->pending.size() < max_pending) {
            this->apply_inline(message);
            this->pending.push_back({message, proved});
        }
        return outcome::reading;
    }
    if (message.changes.revision <= store.revision && !proved) {
        // It may still hold operators' documents that the store has lost.
        this->apply_inline(message);
        return outcome::applied;
    }
    if (message.base_revision > store.revision) {
        return outcome::gap;
    }
    if (message.omitted_keys.empty()) {
        this->apply({message, proved});
        return outcome::applied;
    }
    this->apply_inline(message);
    this->current = received_changes{message, proved};
    this->read_next();
    return this->is_reading() ? outcome::reading : outcome::applied;
}

// Applies the included values without advancing the mirror's revision, since larger values are
// still missing. When an upstream's departure had to wait behind a large value, it took effect so
// late that requests were sent there beyond the drain bound. Single items may always be newer than
// the mirror's revision.
void store_updates::apply_inline(const peering::store_changes& message) {
    peering::store_changes small;
    small.changes.revision.era = message.changes.revision.era;
    for (const auto& each : message.changes.items) {
        if (message.omitted_keys.count(each.item.key) == 0) {
            small.changes.items.push_back(each);
        }
    }
    this->apply({small, {}});
}

void store_updates::apply(const received_changes& received) {
    auto& store = this->context.state.store;
    const auto& changes = received.message.changes;
    const auto keys = mirror::apply_changes(store, changes);
    if (received.proved && changes.revision.era == store.revision.era) {
        mirror::mark_verified(store, *received.proved);
    }
    if (!keys.empty()) {
        this->changed(keys);
    }
}

// A read for earlier changes may have returned a value that is new enough for these.
void store_updates::fill_in_known_values(peering::store_changes& message) const {
    const auto& items = this->context.state.store.items;
    for (auto& each : message.changes.items) {
        const auto known = items.find(each.item.key);
        if (message.omitted_keys.count(each.item.key) > 0 && known != items.end() &&
            known->second.mod_revision >= each.item.mod_revision) {
            each.item = known->second;
            message.omitted_keys.erase(each.item.key);
        }
    }
}

void store_updates::read_next() {
    if (!this->current) {
        return;
    }
    auto& message = this->current->message;
    this->fill_in_known_values(message);
    if (message.omitted_keys.empty()) {
        const auto complete = std::move(*this->current);
        this->current.reset();
        this->apply(complete);
        this->apply_pending();
        return;
    }
    const base::instant now = this->context.now();
    if (now < this->next_read_at) {
        this->read_timer.set(this->next_read_at - now);
        return;
    }
    this->read_began_at = now;
    this->read_value(*message.omitted_keys.begin(), 1);
}

void store_updates::read_value(const std::string& key, int attempt) {
    const auto wanted = attempt <= stale_attempts ? ports::read_consistency::stale_allowed
                                                  : ports::read_consistency::linearizable;
    this->platform.read_key(key, wanted, [this, key, attempt](const auto& read) {
        this->handle_value(key, attempt, read);
    });
}

void store_updates::handle_value(const std::string& key, int attempt,
                                 const base::result<std::optional<ports::stored_value>>& read) {
    auto& message = this->current->message;
    auto& items = message.changes.items;
    const auto named = std::find_if(items.begin(), items.end(),
                                    [&key](const auto& each) { return each.item.key == key; });
    const bool fresh = read.has_value() && read.value() && named != items.end() &&
                       read.value()->mod_revision >= named->item.mod_revision;
    if (fresh) {
        this->log_read_value(*read.value());
        named->item = *read.value();
        message.omitted_keys.erase(key);
        this->read_next();
        return;
    }
    if (attempt < max_attempts && read.has_value()) {
        this->context.loop.after(attempt_pause,
                                 [this, key, attempt] { this->read_value(key, attempt + 1); });
        return;
    }
    this->context.log.line(adapters::importance::keep, "store_value_unreadable")
        .text("key", key)
        .flag("answered", read.has_value())
        .number("revision", message.changes.revision.number);
    this->current.reset();
    this->pending.clear();
    this->read_failed();
}

// Also sets when the next read may begin, from the time that this one took.
void store_updates::log_read_value(const ports::stored_value& value) {
    const base::instant now = this->context.now();
    const base::micros taken = now - this->read_began_at;
    this->next_read_at = now + std::min<base::micros>(pause_per_read_time * taken, max_read_pause);
    this->context.log.line(adapters::importance::keep, "store_value_read")
        .text("key", value.key)
        .number("bytes", static_cast<std::int64_t>(value.value.size()))
        .number("revision", value.mod_revision.number)
        .span("after_ms", taken);
}

void store_updates::apply_pending() {
    const auto all = std::exchange(this->pending, {});
    for (const auto& each : all) {
        // Changes that need a read of their own make the rest wait again.
        this->receive(each.message, each.proved);
    }
}

} // namespace camphorrail::proxy
