#include "loading/loader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace camphorrail::loading {

namespace {

using nlohmann::json;

struct slot_record {
    std::string nonce;
    std::int64_t expires_ms = 0;
};

std::string to_text(const loader& state) {
    return json{{"agent", state.self.value},
                {"nonce", state.nonce},
                {"weights", state.desired_weights},
                {"until_ms", state.expires_ms}}
        .dump();
}

// An unreadable record counts as an occupied slot: delaying one load is better than a fourth
// concurrent load.
std::optional<slot_record> parse(const std::string& text) {
    const json fields = json::parse(text, nullptr, false);
    if (!fields.is_object() || !fields.contains("until_ms") ||
        !fields["until_ms"].is_number_integer()) {
        return std::nullopt;
    }
    return slot_record{fields.value("nonce", ""), fields["until_ms"].get<std::int64_t>()};
}

std::string slot_key(std::size_t number) {
    return slot_key_prefix + std::to_string(number);
}

const ports::stored_value* find(const ports::snapshot& answer, const std::string& key) {
    const auto found = std::find_if(answer.values.begin(), answer.values.end(),
                                    [&key](const auto& item) { return item.key == key; });
    return found == answer.values.end() ? nullptr : &*found;
}

bool is_free(const loader& state, const ports::stored_value* stored, const event_time& at) {
    if (stored == nullptr) {
        return true;
    }
    const auto record = parse(stored->value);
    return record && record->expires_ms + 2 * state.rules.max_clock_skew.count() < at.wall_ms;
}

void schedule_retry(loader& state, const event_time& at) {
    state.state = phase::idle;
    state.retry_at = at.now + state.rules.retry_delay;
}

void release_slot(loader& state, actions& out) {
    state.state = phase::releasing;
    ports::transaction change;
    change.preconditions.push_back({state.slot, state.slot_revision});
    change.writes.push_back({state.slot, "", true});
    out.push_back(commit_action{std::move(change)});
}

void begin_load(loader& state, const event_time& at, actions& out) {
    // The slot may have been acquired by an earlier attempt of this agent whose write arrived late.
    const auto max_start_delay =
        std::chrono::duration_cast<base::milliseconds>(state.rules.max_start_delay);
    const auto start_by_ms =
        state.expires_ms - (state.rules.max_load_time - max_start_delay).count();
    if (at.now > state.requested_at + state.rules.max_start_delay || at.wall_ms > start_by_ms) {
        release_slot(state, out);
        return;
    }
    state.state = phase::loading;
    out.push_back(load_action{state.desired_weights, base::fencing_token(state.slot_revision)});
}

void acquire_slot(loader& state, const std::string& slot, base::revision revision,
                  const event_time& at, actions& out) {
    state.state = phase::acquiring;
    state.slot = slot;
    state.requested_at = at.now;
    state.expires_ms = at.wall_ms + state.rules.max_load_time.count();
    ports::transaction change;
    change.preconditions.push_back({slot, revision});
    change.writes.push_back({slot, to_text(state)});
    out.push_back(commit_action{std::move(change)});
}

void advance(loader& state, const event_time& at, actions& out) {
    if (state.state == phase::loading && state.desired_weights == state.loaded_weights) {
        release_slot(state, out);
    } else if (state.state == phase::idle && at.now >= state.retry_at &&
               (state.desired_weights != state.loaded_weights || !state.slot.empty())) {
        state.state = phase::reading;
        out.push_back(read_action{slot_key_prefix});
    }
}

} // namespace

actions on_weights(loader& state, const std::string& desired_weights,
                   const std::string& loaded_weights, const event_time& at) {
    actions out;
    if (state.state == phase::idle) {
        state.desired_weights = desired_weights;
    }
    state.loaded_weights = loaded_weights;
    advance(state, at, out);
    return out;
}

actions on_tick(loader& state, const event_time& at) {
    actions out;
    advance(state, at, out);
    return out;
}

actions on_read(loader& state, const base::result<ports::snapshot>& answer, const event_time& at) {
    actions out;
    if (!answer.has_value()) {
        schedule_retry(state, at);
        return out;
    }
    for (std::size_t number = 0; number < state.rules.slots; ++number) {
        const auto* stored = find(answer.value(), slot_key(number));
        const auto record = stored == nullptr ? std::nullopt : parse(stored->value);
        if (!record || record->nonce != state.nonce) {
            continue;
        }
        // An earlier write of this agent took effect, but the response to it was lost.
        state.slot = slot_key(number);
        state.slot_revision = stored->mod_revision;
        state.expires_ms = record->expires_ms;
        if (state.desired_weights == state.loaded_weights) {
            release_slot(state, out);
        } else {
            begin_load(state, at, out);
        }
        return out;
    }
    state.slot.clear();
    for (std::size_t number = 0;
         number < state.rules.slots && state.desired_weights != state.loaded_weights; ++number) {
        const auto* stored = find(answer.value(), slot_key(number));
        if (is_free(state, stored, at)) {
            acquire_slot(state, slot_key(number),
                         stored == nullptr ? base::revision{} : stored->mod_revision, at, out);
            return out;
        }
    }
    schedule_retry(state, at);
    return out;
}

actions on_committed(loader& state, const base::result<ports::commit_result>& answer,
                     const event_time& at) {
    actions out;
    const bool applied = answer.has_value() && answer.value().applied;
    if (state.state == phase::releasing) {
        if (applied) {
            state.slot.clear();
        }
        schedule_retry(state, at);
    } else if (applied) {
        state.slot_revision = answer.value().revision;
        begin_load(state, at, out);
    } else {
        // Another agent acquired the slot first, or the response was lost; the next read shows
        // which.
        schedule_retry(state, at);
    }
    return out;
}

} // namespace camphorrail::loading
