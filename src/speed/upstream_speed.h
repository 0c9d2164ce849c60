#pragma once

#include "base/units.h"
#include "latency/first_byte.h"

#include <optional>
#include <vector>

// How fast each upstream of a pool works compared with the others, learned from observed requests,
// and how much longer than usual it says that work currently takes.
namespace camphorrail::speed {

struct speed_rules {
    // Evidence is the number of samples, of which each loses half of its weight in this time. An
    // upstream that is overloaded for some seconds is not taken for a slow one, and one that has
    // become slow is known within half a minute.
    base::micros evidence_half_life = base::seconds(30);
    // Weight of the assumption that an upstream is as fast as the others, in samples.
    double prior_evidence = 4.0;
    // Limit of the evidence, so that an upstream with many samples still follows a change.
    double max_evidence = 60.0;
    // Nothing is learned from samples before the pool's model has this many of its own.
    double min_model_weight = 8.0;
    // The most that one sample deviates from what is known, as a natural logarithm. A sample of an
    // upstream that stalled for seconds has no more influence than one that took 1.5 times as long.
    double max_deviation = 0.4;
    // Limits of a factor. Observed upstreams of one pool differ by less.
    double min_factor = 0.25;
    double max_factor = 4.0;
    // Factors in force are powers of this ratio; see `hysteresis`.
    double step_ratio = 1.15;
    // A factor in force changes when the learned one is nearer to another step by this part of a
    // step. Each change moves the homes of some prompts, and entries whose samples differ slightly
    // have to agree.
    double hysteresis = 0.25;
    // Time in which the effect of a stated slowdown falls to nothing. Upstreams were observed to be
    // slow for some 600 ms at a time, and a statement is a round trip old when it is read.
    base::micros statement_lifetime = base::milliseconds(600);
    // Weight of one statement in the average of what an upstream states.
    double usual_statement_weight = 0.02;
    // How long a statement shows that the upstreams of a pool state slowdowns.
    base::micros stating_lifetime = base::minutes(1);
};

// A slowdown that an upstream has stated; 1.0 is usual.
struct stated_slowdown {
    double value = 1.0;
    // The part of it that the learned factor did not cover when it was stated.
    double unlearned = 1.0;
    base::instant stated_at{};
};

// What an entry knows about the speed of one incarnation of an upstream. A factor is a processing
// time relative to the pool's usual one: 2.0 means half as fast.
struct upstream_speed {
    // Decayed number of samples, and the average logarithm of the ratios of observed to expected
    // times.
    double evidence = 0.0;
    double mean_log = 0.0;
    base::instant sampled_at{};
    // The latest statement, and the average logarithm of all.
    std::optional<stated_slowdown> stated;
    double usual_stated_log = 0.0;
    // Whether factors are in force, which they are only in a pool whose upstreams state slowdowns,
    // and the factor in force, rounded.
    bool in_force = false;
    double factor = 1.0;
    double capacity = 1.0;
    // The learned factor as of the latest update, so that decisions need not compute it.
    double learned = 1.0;
    // The average logarithm over the pool, so that the pool's factors are around 1.0.
    double pool_log = 0.0;
    // An unreadable statement of this incarnation has been logged.
    bool unreadable_logged = false;
};

// Records the time to the first byte of a request at the upstream: learns the upstream's factor
// from it, and fits the pool's model to what it would be at an upstream of factor 1.0.
void record_first_byte(upstream_speed& state, latency::first_byte_model& model,
                       const latency::first_byte_sample& sample, base::instant now,
                       const speed_rules& rules);

// Records a slowdown that the upstream has stated.
void record_statement(upstream_speed& state, double slowdown, base::instant now,
                      const speed_rules& rules);

// Whether a pool is one whose upstreams state slowdowns, given when one was last stated.
bool is_stating(base::instant last_stated, base::instant now, const speed_rules& rules);

// The learned factor: close to 1.0 if there is little evidence.
double learned_factor(const upstream_speed& state, base::instant now, const speed_rules& rules);

// How much longer work takes at the moment than the learned factor says, by the latest statement.
// Decays towards 1.0 with the age of the statement.
double current_slowdown(const upstream_speed& state, base::instant now, const speed_rules& rules);

// The factor of the upstream's processing times at the moment; 1.0 if factors are not in force.
double time_factor(const upstream_speed& state, base::instant now, const speed_rules& rules);

// The upstream's share of work compared with one of factor 1.0. Rounded, and independent of the
// latest statement, so that what depends on it rarely moves.
double capacity(const upstream_speed& state);

// Puts the factors of a pool's upstreams in force if `stating`, and otherwise resets them to 1.0.
void update_pool(const std::vector<upstream_speed*>& pool, bool stating, base::instant now,
                 const speed_rules& rules);

} // namespace camphorrail::speed
