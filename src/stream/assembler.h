#pragma once

#include "base/ids.h"

#include <cstdint>

namespace camphorrail::stream {

// Where the answer to one request stands, over all attempts at it. Only frames of the attempt that
// is current count, and only in their order.
struct assembler {
    base::attempt_id current;
    std::int64_t next_sequence = 0;
    // Pieces delivered to the caller by all attempts; another engine goes on from here.
    std::int64_t delivered = 0;
    bool whole = false;
};

enum class verdict {
    deliver,
    // Not for this attempt, or seen before: nothing is delivered.
    drop,
    // The attempt lost a piece; its answer can't be completed.
    cut,
};

// Starts another attempt; frames of the earlier one no longer count.
void begin(assembler& state, const base::attempt_id& attempt);

// A piece has arrived.
verdict accept_piece(assembler& state, const base::attempt_id& attempt, std::int64_t sequence);

// The end mark has arrived; `sequence` is the number of pieces the attempt sent. `deliver` means
// that the answer is whole.
verdict accept_end(assembler& state, const base::attempt_id& attempt, std::int64_t sequence);

} // namespace camphorrail::stream
