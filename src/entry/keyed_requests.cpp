#include "entry/request_flow.h"
#include "once/ownership.h"

#include <algorithm>

namespace camphorrail::entry {

namespace {

constexpr std::size_t most_owner_ranks = 3;
// How long a key's handover between owners is waited out before its caller is told to come back.
constexpr base::micros handover_patience = base::seconds(3);
constexpr base::micros keep_alive_after = base::seconds(15);

} // namespace

void request_flow::attempt_owner() {
    if (this->owner_rank >= std::min(this->owners.size(), most_owner_ranks)) {
        const bool never_sent = this->attempts == 0 && this->request.key_is_ours;
        this->give_up({never_sent ? base::code::no_upstream : base::code::once_outcome_unknown,
                       never_sent ? base::execution_state::not_run : base::execution_state::unknown,
                       soon});
        return;
    }
    this->send_order(this->owners[this->owner_rank]);
}

void request_flow::owner_refused(const wire::refused& message) {
    const auto number = static_cast<base::code>(message.code);
    const bool not_decided = number == base::code::once_not_owner ||
                             number == base::code::once_handover ||
                             number == base::code::once_wrong_incarnation;
    this->end_attempt();
    if (!not_decided) {
        this->give_up({number, static_cast<base::execution_state>(message.ran),
                       base::milliseconds(message.retry_after_ms)});
        return;
    }
    this->next_owner(number != base::code::once_not_owner);
}

// Goes on to the key's next owner, or after a pause begins with the first again: while a key is
// handed over, none of them takes it for a moment.
void request_flow::next_owner(bool wait_first) {
    const std::size_t ranks = std::min(this->owners.size(), most_owner_ranks);
    if (!wait_first && this->owner_rank + 1 < ranks) {
        ++this->owner_rank;
        this->attempt_next();
        return;
    }
    if (this->now() + handover_pause > this->arrived_at + handover_patience) {
        this->owner_rank = ranks;
        this->attempt_next();
        return;
    }
    this->owner_rank = 0;
    this->owners = once::ranked_owners(
        this->request.key, config::members(this->around->config->current(), this->request.pool));
    const std::weak_ptr<request_flow> weak = this->weak_from_this();
    this->around->loop->after(handover_pause, [weak] {
        if (const auto held = weak.lock()) {
            held->attempt_next();
        }
    });
}

void request_flow::handle_one(const wire::tombstoned& message) {
    if (message.attempt != this->attempt.value || !this->awaiting_tombstone) {
        return;
    }
    this->give_up({base::code::timed_out, static_cast<base::execution_state>(message.ran), soon});
}

void request_flow::keep_alive() {
    const base::instant now = this->now();
    if (this->answer_started && !this->is_over && now - this->last_piece_at > keep_alive_after) {
        this->last_piece_at = now;
        this->exchange->send(": keep-alive\n\n");
    }
}

} // namespace camphorrail::entry
