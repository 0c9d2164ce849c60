#include "entries/store_sync.h"

#include <algorithm>

namespace camphorrail::entries {

namespace {

// The retry delay stops growing after this many consecutive failures.
constexpr int max_counted_failures = 4;

base::micros retry_delay_for(const store_sync& sync, const store_sync_view& view,
                             const store_sync_rules& rules) {
    const auto failures = std::min(sync.failures, max_counted_failures);
    const auto steps = static_cast<std::int64_t>(view.rank) + std::max(failures, 1);
    return std::min(rules.retry_delay * steps, rules.max_retry_delay);
}

// Whether this entry should verify its mirror itself. Rank 0 always does; any other entry does if
// the latest verification received from its peers is too old.
bool needs_verification(const store_sync_view& view, const store_sync_rules& rules) {
    if (view.rank == 0 || !view.verification_age) {
        return true;
    }
    const auto steps_behind = static_cast<std::int64_t>(view.rank) - 1;
    const auto max_age = std::min(rules.first_takeover_age + rules.takeover_age_step * steps_behind,
                                  rules.max_takeover_age);
    return *view.verification_age > max_age;
}

bool should_watch(const store_sync& sync, const store_sync_view& view,
                  const store_sync_rules& rules) {
    return view.rank < rules.watchers || view.now < sync.extra_watch_until;
}

void start_watching(store_sync& sync, const store_sync_view& view) {
    sync.next_watch = view.now;
    sync.watch_suspected = false;
}

void record_failure(store_sync& sync, const store_sync_view& view, const store_sync_rules& rules) {
    ++sync.failures;
    const base::instant retry_at = view.now + retry_delay_for(sync, view, rules);
    sync.next_read = retry_at;
    sync.next_watch = retry_at;
    sync.next_verification = retry_at;
}

} // namespace

store_calls next_store_calls(store_sync& sync, const store_sync_view& view,
                             const store_sync_rules& rules) {
    store_calls due;
    if (sync.read_needed && !sync.reading && view.now >= sync.next_read) {
        sync.reading = true;
        due.read = true;
        return due;
    }
    if (!sync.read_once) {
        return due;
    }
    const bool watched_before = sync.watches_store;
    sync.watches_store = should_watch(sync, view, rules);
    if (sync.watches_store && !watched_before) {
        start_watching(sync, view);
    }
    // While the store is unreachable, only verifications probe for its return.
    due.watch =
        sync.watches_store && !sync.watching && sync.failures == 0 && view.now >= sync.next_watch;
    if (due.watch) {
        sync.watching = true;
        sync.watch_since = view.now;
    }
    due.verify = !sync.verifying && !sync.reading && view.now >= sync.next_verification &&
                 needs_verification(view, rules);
    sync.verifying = sync.verifying || due.verify;
    return due;
}

void record_store_read(store_sync& sync, bool answered, const store_sync_view& view,
                       const store_sync_rules& rules) {
    sync.reading = false;
    if (!answered) {
        record_failure(sync, view, rules);
        return;
    }
    sync.failures = 0;
    sync.read_once = true;
    sync.read_needed = false;
    sync.watch_suspected = false;
    // The connection of a watch that is still open may have been lost silently.
    sync.watching = false;
    sync.next_watch = view.now + rules.watch_interval;
    sync.next_verification = view.now + rules.verification_interval;
}

void record_watch_end(store_sync& sync, bool answered, bool history_lost,
                      const store_sync_view& view, const store_sync_rules& rules) {
    sync.watching = false;
    // A broken watch does not show whether the store is reachable; the next verification does.
    sync.next_watch = view.now + (answered ? rules.watch_interval : rules.retry_delay);
    sync.read_needed = sync.read_needed || (answered && history_lost);
}

void record_verification(store_sync& sync, const verification_result& outcome,
                         const store_sync_view& view, const store_sync_rules& rules) {
    sync.verifying = false;
    if (!outcome.answered) {
        record_failure(sync, view, rules);
        return;
    }
    if (sync.failures > 0) {
        sync.failures = 0;
        // The connection of the open watch may have been lost silently.
        sync.watching = false;
    }
    const bool has_changes = outcome.behind || !outcome.unchanged;
    const bool missed =
        has_changes && sync.watching && view.now - sync.watch_since > rules.max_watch_delay;
    sync.read_needed = sync.read_needed || outcome.restored;
    // The store is ahead of this entry for the second consecutive time, so the watch no longer
    // delivers changes.
    sync.read_needed = sync.read_needed || (missed && (sync.watch_suspected || !outcome.unchanged));
    sync.watch_suspected = missed;
    if (has_changes && view.rank >= rules.watchers) {
        // The peers no longer send changes to this entry.
        sync.extra_watch_until = view.now + rules.min_extra_watch;
    }
    if (has_changes && !sync.watching) {
        sync.next_watch = view.now;
    }
    sync.next_verification =
        view.now + (outcome.unchanged ? rules.verification_interval : rules.retry_delay);
}

} // namespace camphorrail::entries
