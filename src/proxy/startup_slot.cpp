#include "proxy/startup_slot.h"

#include "base/hash.h"
#include "proxy/retry_shares.h"

#include <string>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// Beyond the settling time, in which retries are sent, and a window after it.
constexpr base::seconds lease_margin{2};
constexpr base::milliseconds call_retry{1000};

} // namespace

startup_slot::startup_slot(entry_context& context, ports::platform platform)
    : context(context), platform(std::move(platform)), started_at(context.now()) {}

// Whether no slot is needed any more, or none is left.
bool startup_slot::has_ended() const {
    const auto rules = retry_share_rules_of(this->context.settings);
    const auto slots =
        admission::startup_slot_count(this->context.settings.bounds.retry_slack, rules);
    return this->claimed || this->taken_count >= slots ||
           this->context.now() - this->started_at >= rules.settling_time;
}

void startup_slot::tick() {
    const bool may_call = !this->call_pending && this->context.now() >= this->next_call;
    if (may_call && !this->has_ended() && is_config_fresh(this->context)) {
        this->claim_next();
    }
}

void startup_slot::claim_next() {
    this->call_pending = true;
    this->next_call = this->context.now() + call_retry;
    const auto& settings = this->context.settings;
    const auto lease_time = std::chrono::ceil<base::seconds>(
        retry_share_rules_of(settings).settling_time + settings.bounds.retry_window + lease_margin);
    this->platform.grant_lease(lease_time.count(), [this](base::result<ports::lease> granted) {
        if (granted.has_value()) {
            this->claim(granted.value());
        } else {
            this->call_pending = false;
        }
    });
}

// Tries the slots in turn, beginning with one that depends on the entry, so that entries that start
// at the same time try different ones.
void startup_slot::claim(const ports::lease& lease) {
    const auto slots = admission::startup_slot_count(this->context.settings.bounds.retry_slack, {});
    const auto first = base::stable_hash(this->context.settings.id.value);
    const std::string key = this->context.codec.own_prefix + "startup-slots/" +
                            std::to_string((first + this->taken_count) % slots);
    ports::transaction change;
    change.preconditions = {{key, {}}};
    change.writes = {{key, this->context.settings.id.value, false, lease.id}};
    this->platform.commit(change,
                          [this, lease, slots](const base::result<ports::commit_result>& done) {
                              const bool is_taken = done.has_value() && !done.value().applied;
                              this->claimed = done.has_value() && done.value().applied;
                              this->taken_count += is_taken ? 1 : 0;
                              this->call_pending = false;
                              this->context.log.line(importance::keep, "startup_slot")
                                  .flag("claimed", this->claimed)
                                  .number("taken", static_cast<std::int64_t>(this->taken_count))
                                  .number("slots", static_cast<std::int64_t>(slots));
                              if (is_taken && !this->has_ended()) {
                                  this->call_pending = true;
                                  this->claim(lease);
                              }
                          });
}

} // namespace camphorrail::proxy
