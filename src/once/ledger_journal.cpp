#include "once/ledger_journal.h"

#include "once/ownership.h"

#include <charconv>
#include <optional>

namespace camphorrail::once {

namespace {

// The agent, incarnation and number of a segment, parsed from its key in the store.
struct segment_name {
    base::upstream_id agent;
    base::incarnation incarnation;
    std::int64_t number = 0;
};

std::optional<segment_name> parse_segment_name(const std::string& rest) {
    const auto first = rest.find('/');
    const auto second = rest.find('/', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        return std::nullopt;
    }
    segment_name name{{rest.substr(0, first)}, {}, 0};
    const char* text = rest.data();
    const auto incarnation =
        std::from_chars(text + first + 1, text + second, name.incarnation.value);
    const auto number = std::from_chars(text + second + 1, text + rest.size(), name.number);
    if (incarnation.ec != std::errc{} || number.ec != std::errc{}) {
        return std::nullopt;
    }
    return name;
}

int precedence(outcome state) {
    switch (state) {
    case outcome::completed:
        return 2;
    case outcome::claimed:
        return 1;
    case outcome::released:
        break;
    }
    return 0;
}

void adopt_record(key_entry& entry, const journal_record& record) {
    entry.fingerprint = record.fingerprint;
    entry.claimed_at_ms = record.claimed_at_ms;
    entry.response = record.response;
    entry.phase = record.state == outcome::completed ? key_phase::completed : key_phase::unknown;
}

// Whether records of other agents take precedence over this incarnation's knowledge of the key.
// They do if this incarnation has not run the key or never learned its outcome. That includes a
// claim that is not recorded yet: a successor may have run the key while this agent still believed
// it was the owner.
bool defers_to_journal(const key_entry& entry) {
    return entry.phase == key_phase::released || entry.phase == key_phase::claiming ||
           (entry.phase == key_phase::unknown && !entry.segment);
}

journal_record to_record(const ledger& state, const base::idempotency_key& key,
                         const key_entry& entry) {
    journal_record record{key, entry.fingerprint, outcome::claimed, {}, entry.claimed_at_ms};
    if (entry.phase == key_phase::released) {
        record.state = outcome::released;
    } else if (entry.phase == key_phase::completed) {
        record.state = outcome::completed;
        record.response = entry.response;
        if (record.response.body.size() > state.rules.max_recorded_body) {
            record.response.body.clear();
            record.response.body_recorded = false;
        }
    }
    return record;
}

} // namespace

namespace detail {

bool has_prefix(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

journal_view read_journal(ledger& state, const ports::snapshot& answer, const event_time& at) {
    journal_view view;
    const std::string prefix = journal_prefix(state.pool);
    for (const auto& item : answer.values) {
        const auto name = has_prefix(item.key, prefix)
                              ? parse_segment_name(item.key.substr(prefix.size()))
                              : std::nullopt;
        auto records = name ? parse_segment(item.value) : base::code::platform_answer_malformed;
        if (!records.has_value()) {
            continue;
        }
        if (name->agent == state.self && name->incarnation == state.own_record.incarnation) {
            state.segment_revisions[name->number] = item.mod_revision;
            continue;
        }
        bool expired = true;
        for (const auto& record : records.value()) {
            expired = expired && record.claimed_at_ms + state.rules.retention_ms < at.wall_ms;
            const auto known = view.find(record.key);
            if (known == view.end() || precedence(known->second.state) < precedence(record.state)) {
                view[record.key] = record;
            }
        }
        if (expired) {
            state.expired_segments[item.key] = item.mod_revision;
        }
    }
    return view;
}

void merge_journal(ledger& state, const journal_view& view) {
    for (const auto& [key, record] : view) {
        const auto known = state.keys.find(key);
        const bool released = record.state == outcome::released;
        if (known == state.keys.end()) {
            if (!released && owns(state.self, key, state.own_record.owners)) {
                adopt_record(state.keys[key], record);
            }
            continue;
        }
        if (!defers_to_journal(known->second)) {
            continue;
        }
        if (!released) {
            state.pending_claims.erase(key);
            state.outcome_queries.insert(key);
            adopt_record(known->second, record);
        } else if (known->second.phase == key_phase::claiming) {
            continue;
        } else if (!known->second.segment && known->second.waiters.empty()) {
            // The previous owner has since recorded that the key did not run and will not run.
            state.keys.erase(known);
        }
    }
}

// Adds changed segments to a transaction. Each write expects the last known revision of its
// segment. Otherwise, a delayed write whose response was lost could overwrite a newer one, and
// erase claims of calls that have been sent.
void add_segments(ledger& state, ports::transaction& change, std::size_t max_segments) {
    for (const std::int64_t number : state.dirty_segments) {
        if (state.segments_in_flight.size() == max_segments) {
            break;
        }
        segment records;
        for (const auto& key : state.segments[number]) {
            const key_entry& entry = state.keys.at(key);
            records.push_back(to_record(state, key, entry));
            if (entry.phase == key_phase::claiming) {
                state.claims_in_flight.push_back(key);
            }
        }
        const std::string store_key =
            segment_key(state.pool, state.self, state.own_record.incarnation, number);
        change.preconditions.push_back({store_key, state.segment_revisions[number]});
        change.writes.push_back({store_key, to_text(records)});
        state.segments_in_flight.insert(number);
    }
    for (const std::int64_t number : state.segments_in_flight) {
        state.dirty_segments.erase(number);
    }
}

void add_expired(ledger& state, ports::transaction& change) {
    constexpr std::size_t max_erased = 16;
    std::size_t erased = 0;
    for (const auto& [store_key, revision] : state.expired_segments) {
        change.writes.push_back({store_key, "", true});
        if (++erased == max_erased) {
            break;
        }
    }
    state.expired_segments.clear();
}

void begin_incarnation(ledger& state, base::incarnation incarnation) {
    const auto dirty = state.dirty_segments;
    state.own_record.incarnation = incarnation;
    state.segments.clear();
    state.segment_revisions.clear();
    state.dirty_segments.clear();
    for (auto& [key, entry] : state.keys) {
        const bool unwritten = entry.segment && dirty.count(*entry.segment) != 0;
        entry.segment.reset();
        if (unwritten || entry.phase == key_phase::running || entry.phase == key_phase::claiming) {
            mark_dirty(state, key, entry);
        }
    }
}

void drop_expired_keys(ledger& state, const event_time& at) {
    for (auto found = state.keys.begin(); found != state.keys.end();) {
        const key_entry& entry = found->second;
        const bool settled =
            entry.phase != key_phase::running && entry.phase != key_phase::claiming;
        const bool expired = entry.claimed_at_ms + state.rules.retention_ms < at.wall_ms;
        if (!settled || !expired ||
            (entry.segment && state.segments_in_flight.count(*entry.segment) != 0)) {
            ++found;
            continue;
        }
        if (entry.segment) {
            std::erase(state.segments[*entry.segment], found->first);
            state.dirty_segments.insert(*entry.segment);
        }
        found = state.keys.erase(found);
    }
}

void requeue_segments_in_flight(ledger& state) {
    state.dirty_segments.insert(state.segments_in_flight.begin(), state.segments_in_flight.end());
    state.segments_in_flight.clear();
    state.claims_in_flight.clear();
}

void mark_segments_written(ledger& state, base::revision revision) {
    for (const std::int64_t number : state.segments_in_flight) {
        state.segment_revisions[number] = revision;
    }
    state.segments_in_flight.clear();
}

} // namespace detail

} // namespace camphorrail::once
