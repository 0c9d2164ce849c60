#pragma once

#include "once/ledger.h"

#include <map>
#include <string>

// The journal functions of the ledger: what this agent writes, and what other agents have written.
// Internal to the ledger's source files.
namespace camphorrail::once::detail {

using journal_view = std::map<base::idempotency_key, journal_record>;

bool has_prefix(const std::string& text, const std::string& prefix);

// Collects the record of highest precedence for each key from all other agents and incarnations.
// Also updates the known revisions of this incarnation's own segments.
journal_view read_journal(ledger& state, const ports::snapshot& answer, const event_time& at);

// Merges the records of other agents and incarnations for keys that this agent owns.
void merge_journal(ledger& state, const journal_view& view);

// Adds at most `max_segments` changed segments to a transaction.
void add_segments(ledger& state, ports::transaction& change, std::size_t max_segments);

// Adds the removal of segments whose keys have all passed their retention time.
void add_expired(ledger& state, ports::transaction& change);

// Starts a new incarnation of the owner record. Segments of the previous incarnation must not be
// written any more.
void begin_incarnation(ledger& state, base::incarnation incarnation);

// Drops keys that have passed their retention time.
void drop_expired_keys(ledger& state, const event_time& at);

// Marks the segments in flight as dirty again, after the transaction failed or its result was lost.
void requeue_segments_in_flight(ledger& state);

// Records that the transaction in flight took effect at `revision`.
void mark_segments_written(ledger& state, base::revision revision);

} // namespace camphorrail::once::detail
