#pragma once

#include "once/ledger.h"

#include <map>
#include <string>

// The journal's part of the ledger: what is written to it, and what others wrote. For the ledger's
// own files.
namespace camphorrail::once::detail {

using journal_view = std::map<base::idempotency_key, journal_record>;

bool has_prefix(const std::string& text, const std::string& prefix);

// The strongest word of all other lives and agents on each key. Revisions of our own segments are
// noted on the way.
journal_view read_journal(ledger& state, const ports::snapshot& answer, const event_time& at);

// Takes what others wrote of the keys we own.
void merge_journal(ledger& state, const journal_view& view);

// Adds changed segments to a transaction, at most so many.
void add_segments(ledger& state, ports::transaction& change, std::size_t most);

// Adds the removal of segments in which every key is beyond its retention.
void add_expired(ledger& state, ports::transaction& change);

// A new life of the owner record: segments of the last one are not ours to write any more.
void begin_incarnation(ledger& state, base::incarnation incarnation);

// Forgets keys beyond their retention.
void drop_expired_keys(ledger& state, const event_time& at);

// The transaction under way failed, or its fate is not known: its segments are still to be written.
void requeue_segments_in_flight(ledger& state);

// It took effect.
void mark_segments_written(ledger& state, std::int64_t revision);

} // namespace camphorrail::once::detail
