#include "stream/assembler.h"

namespace camphorrail::stream {

void begin(assembler& state, const base::attempt_id& attempt) {
    state.current = attempt;
    state.next_sequence = 0;
}

verdict accept_piece(assembler& state, const base::attempt_id& attempt, std::int64_t sequence) {
    // A frame of an attempt given up on may still arrive, behind the new one's frames. Without this
    // check the caller would get pieces of two answers mixed.
    if (attempt != state.current || state.whole || sequence < state.next_sequence) {
        return verdict::drop;
    }
    if (sequence > state.next_sequence) {
        return verdict::cut;
    }
    ++state.next_sequence;
    ++state.delivered;
    return verdict::deliver;
}

verdict accept_end(assembler& state, const base::attempt_id& attempt, std::int64_t sequence) {
    if (attempt != state.current || state.whole) {
        return verdict::drop;
    }
    // An end mark that counts more pieces than came means that some were lost on the way: the
    // caller must not take what it has for the whole answer.
    if (sequence != state.next_sequence) {
        return verdict::cut;
    }
    state.whole = true;
    return verdict::deliver;
}

} // namespace camphorrail::stream
