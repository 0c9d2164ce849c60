#pragma once

#include "soak/history.h"

#include <string>
#include <vector>

namespace camphorrail::soak {

// What the entries of a run were set to.
struct promised {
    base::milliseconds revoke{5000};
    base::milliseconds lease{3000};
    // A process that was paused, or whose way was held up, may have had an order under way.
    base::milliseconds thaw{300};
    // Around an orderly stop with nothing else broken this long before.
    base::milliseconds calm{4000};
    // A request that has crashed three engines reaches no more than this many later than the calm
    // after the third.
    std::size_t sends_after_crashes = 3;
    // The same for requests that share a part of their prompts, after so many crashes.
    std::size_t crashes_of_part = 5;
    // A back end that has said through an entry that it leaves gets no call of it sent later.
    base::milliseconds drain{2000};
    // A back end whose list entry has called it leaving, or is gone, for this long begins on
    // nothing.
    base::milliseconds listed_drain{2000};
    // Calls that may reach a back end from one entry within a pause, later than the first moment.
    std::size_t calls_in_a_pause = 2;
    base::milliseconds pause_begins{500};
    // A request may begin on weights that have been outdated for this long.
    base::milliseconds outdated_weights{8000};
    // The team with a quota: what its runs may add up to over all entries, in any window.
    std::string quota_team = "team-of-limited";
    double quota_rate_per_s = 4.0;
    double quota_burst = 8.0;
    base::milliseconds quota_window{8000};
    double quota_excess = 0.1;
    double quota_slack = 12.0;
    // What may reach the back ends of one service beyond the first of each call, in any window.
    double retry_ratio = 0.2;
    double retry_slack = 50.0;
    base::milliseconds retry_window{10000};
    // What may reach a back end that states a rate limit in any window from the settling time on,
    // from entries in touch that have passed on such an answer: this part of what the limit allows,
    // and so many more.
    base::milliseconds limit_window{4000};
    base::milliseconds limit_settles{3000};
    base::milliseconds limit_told{500};
    double limit_excess = 1.5;
    double limit_slack = 5.0;
    // From so many resumptions on, streams are resumed at least this often, relative to the share
    // of new ones that begin. Counted are calls through entries in touch, while two engines of the
    // stream's software serve.
    int least_resumptions = 12;
    double resumed_share = 0.5;
    // Share of calls that must be served once everything is sound again.
    double served_at_the_end = 0.95;
};

// Holds a run to the promises, from what callers and back ends saw alone. One line a violation.
std::vector<std::string> check(const history& seen, const promised& promises);

} // namespace camphorrail::soak
