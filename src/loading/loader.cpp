#include "loading/loader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace camphorrail::loading {

namespace {

using nlohmann::json;

struct slot_record {
    std::string nonce;
    std::int64_t until_ms = 0;
};

std::string to_text(const loader& state) {
    return json{{"agent", state.self.value},
                {"nonce", state.nonce},
                {"weights", state.wanted},
                {"until_ms", state.until_ms}}
        .dump();
}

// A record that can't be read is treated as taken: better one load later than a fourth at once.
std::optional<slot_record> parse(const std::string& text) {
    const json fields = json::parse(text, nullptr, false);
    if (!fields.is_object() || !fields.contains("until_ms") ||
        !fields["until_ms"].is_number_integer()) {
        return std::nullopt;
    }
    return slot_record{fields.value("nonce", ""), fields["until_ms"].get<std::int64_t>()};
}

std::string slot_key(std::size_t number) {
    return slots_prefix + std::to_string(number);
}

const ports::stored_value* find(const ports::snapshot& answer, const std::string& key) {
    const auto found = std::find_if(answer.values.begin(), answer.values.end(),
                                    [&key](const auto& item) { return item.key == key; });
    return found == answer.values.end() ? nullptr : &*found;
}

bool free_now(const loader& state, const ports::stored_value* held, const moment& at) {
    if (held == nullptr) {
        return true;
    }
    const auto record = parse(held->value);
    return record && record->until_ms + 2 * state.rules.wall_skew.count() < at.wall_ms;
}

void wait(loader& state, const moment& at) {
    state.state = phase::idle;
    state.next_try = at.now + state.rules.retry;
}

void give_back(loader& state, actions& out) {
    state.state = phase::giving_back;
    ports::transaction change;
    change.preconditions.push_back({state.slot, state.fence});
    change.writes.push_back({state.slot, "", true});
    out.push_back(commit_action{std::move(change)});
}

void begin(loader& state, const moment& at, actions& out) {
    // The slot may also have been taken by an earlier try of ours whose write arrived late.
    const auto begin_within =
        std::chrono::duration_cast<base::milliseconds>(state.rules.begin_within);
    const auto begin_by = state.until_ms - (state.rules.longest_load - begin_within).count();
    if (at.now > state.asked_at + state.rules.begin_within || at.wall_ms > begin_by) {
        give_back(state, out);
        return;
    }
    state.state = phase::loading;
    out.push_back(load_action{state.wanted, state.fence});
}

void take(loader& state, const std::string& slot, std::int64_t revision, const moment& at,
          actions& out) {
    state.state = phase::taking;
    state.slot = slot;
    state.asked_at = at.now;
    state.until_ms = at.wall_ms + state.rules.longest_load.count();
    ports::transaction change;
    change.preconditions.push_back({slot, revision});
    change.writes.push_back({slot, to_text(state)});
    out.push_back(commit_action{std::move(change)});
}

void advance(loader& state, const moment& at, actions& out) {
    if (state.state == phase::loading && state.wanted == state.loaded) {
        give_back(state, out);
    } else if (state.state == phase::idle && at.now >= state.next_try &&
               (state.wanted != state.loaded || !state.slot.empty())) {
        state.state = phase::reading;
        out.push_back(read_action{slots_prefix});
    }
}

} // namespace

actions on_weights(loader& state, const std::string& wanted, const std::string& loaded,
                   const moment& at) {
    actions out;
    if (state.state == phase::idle) {
        state.wanted = wanted;
    }
    state.loaded = loaded;
    advance(state, at, out);
    return out;
}

actions on_tick(loader& state, const moment& at) {
    actions out;
    advance(state, at, out);
    return out;
}

actions on_read(loader& state, const base::result<ports::snapshot>& answer, const moment& at) {
    actions out;
    if (!answer.has_value()) {
        wait(state, at);
        return out;
    }
    for (std::size_t number = 0; number < state.rules.slots; ++number) {
        const auto* held = find(answer.value(), slot_key(number));
        const auto record = held == nullptr ? std::nullopt : parse(held->value);
        if (!record || record->nonce != state.nonce) {
            continue;
        }
        // An earlier write of ours took effect and its answer was lost.
        state.slot = slot_key(number);
        state.fence = held->mod_revision;
        state.until_ms = record->until_ms;
        if (state.wanted == state.loaded) {
            give_back(state, out);
        } else {
            begin(state, at, out);
        }
        return out;
    }
    state.slot.clear();
    for (std::size_t number = 0; number < state.rules.slots && state.wanted != state.loaded;
         ++number) {
        const auto* held = find(answer.value(), slot_key(number));
        if (free_now(state, held, at)) {
            take(state, slot_key(number), held == nullptr ? 0 : held->mod_revision, at, out);
            return out;
        }
    }
    wait(state, at);
    return out;
}

actions on_committed(loader& state, const base::result<ports::commit_result>& answer,
                     const moment& at) {
    actions out;
    const bool applied = answer.has_value() && answer.value().applied;
    if (state.state == phase::giving_back) {
        if (applied) {
            state.slot.clear();
        }
        wait(state, at);
    } else if (applied) {
        state.fence = answer.value().revision;
        begin(state, at, out);
    } else {
        // Someone was faster, or the answer was lost: the next read tells which.
        wait(state, at);
    }
    return out;
}

} // namespace camphorrail::loading
