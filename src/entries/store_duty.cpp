#include "entries/store_duty.h"

#include <algorithm>

namespace camphorrail::entries {

namespace {

// After so many failures in a row the pause grows no longer.
constexpr int most_counted_failures = 4;

base::micros retry_pause(const store_duty& duty, const store_duty_view& view,
                         const store_duty_rules& rules) {
    const auto failures = std::min(duty.failures, most_counted_failures);
    const auto steps = static_cast<std::int64_t>(view.place) + std::max(failures, 1);
    return std::min(rules.retry * steps, rules.longest_retry);
}

// Whether a proof by this entry is wanted: always by the first in line, by the others where none
// has reached them for too long.
bool needs_proof(const store_duty_view& view, const store_duty_rules& rules) {
    if (view.place == 0 || !view.proof_age) {
        return true;
    }
    const auto beyond = static_cast<std::int64_t>(view.place) - 1;
    const auto patience =
        std::min(rules.first_help + rules.help_step * beyond, rules.longest_unproved);
    return *view.proof_age > patience;
}

bool follows(const store_duty& duty, const store_duty_view& view, const store_duty_rules& rules) {
    return view.place < rules.watchers || view.now < duty.help_until;
}

void begin_to_follow(store_duty& duty, const store_duty_view& view) {
    duty.next_watch = view.now;
    duty.watch_suspected = false;
}

void note_failure(store_duty& duty, const store_duty_view& view, const store_duty_rules& rules) {
    ++duty.failures;
    const base::instant again = view.now + retry_pause(duty, view, rules);
    duty.next_read = again;
    duty.next_watch = again;
    duty.next_proof = again;
}

} // namespace

store_calls next_store_calls(store_duty& duty, const store_duty_view& view,
                             const store_duty_rules& rules) {
    store_calls due;
    if (duty.read_wanted && !duty.reading && view.now >= duty.next_read) {
        duty.reading = true;
        due.read = true;
        return due;
    }
    if (!duty.read_once) {
        return due;
    }
    const bool was_following = duty.following;
    duty.following = follows(duty, view, rules);
    if (duty.following && !was_following) {
        begin_to_follow(duty, view);
    }
    // While the store does not answer, proofs alone look for its return.
    due.watch =
        duty.following && !duty.watching && duty.failures == 0 && view.now >= duty.next_watch;
    if (due.watch) {
        duty.watching = true;
        duty.watch_since = view.now;
    }
    due.prove =
        !duty.proving && !duty.reading && view.now >= duty.next_proof && needs_proof(view, rules);
    duty.proving = duty.proving || due.prove;
    return due;
}

void note_store_read(store_duty& duty, bool answered, const store_duty_view& view,
                     const store_duty_rules& rules) {
    duty.reading = false;
    if (!answered) {
        note_failure(duty, view, rules);
        return;
    }
    duty.failures = 0;
    duty.read_once = true;
    duty.read_wanted = false;
    duty.watch_suspected = false;
    // A watch that is still open may have been cut without a sign.
    duty.watching = false;
    duty.next_watch = view.now + rules.watch_rest;
    duty.next_proof = view.now + rules.proof_period;
}

void note_watch_end(store_duty& duty, bool answered, bool forgotten, const store_duty_view& view,
                    const store_duty_rules& rules) {
    duty.watching = false;
    // A watch that is cut says nothing of the store; the next proof does.
    duty.next_watch = view.now + (answered ? rules.watch_rest : rules.retry);
    duty.read_wanted = duty.read_wanted || (answered && forgotten);
}

void note_proof(store_duty& duty, const proof_outcome& outcome, const store_duty_view& view,
                const store_duty_rules& rules) {
    duty.proving = false;
    if (!outcome.answered) {
        note_failure(duty, view, rules);
        return;
    }
    if (duty.failures > 0) {
        duty.failures = 0;
        // The one that is open may have been cut without a sign.
        duty.watching = false;
    }
    const bool has_news = outcome.behind || !outcome.unchanged;
    const bool missed =
        has_news && duty.watching && view.now - duty.watch_since > rules.watch_delay;
    // The store is ahead of us for a second time in a row: the watch tells nothing any more.
    duty.read_wanted = duty.read_wanted || (missed && (duty.watch_suspected || !outcome.unchanged));
    duty.watch_suspected = missed;
    if (has_news && view.place >= rules.watchers) {
        // Nobody tells this entry of changes any more.
        duty.help_until = view.now + rules.help_at_least;
    }
    if (has_news && !duty.watching) {
        duty.next_watch = view.now;
    }
    duty.next_proof = view.now + (outcome.unchanged ? rules.proof_period : rules.retry);
}

} // namespace camphorrail::entries
