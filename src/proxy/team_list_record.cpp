#include "proxy/team_list_record.h"

#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr base::milliseconds call_pause{1000};
constexpr const char* record_key = "teams_listed";

} // namespace

team_list_record::team_list_record(entry_context& context, ports::platform platform_calls,
                                   std::function<bool()> is_leader)
    : context(context), platform(std::move(platform_calls)), is_leader(std::move(is_leader)) {}

std::string team_list_record::key() const {
    return this->context.codec.own_prefix + record_key;
}

void team_list_record::apply(const std::set<std::string>& keys) {
    auto& state = this->context.state;
    const std::string own_key = this->key();
    if (keys.count(own_key) > 0 && state.store.items.count(own_key) > 0) {
        state.has_had_teams = true;
    }
}

void team_list_record::tick() {
    const auto& state = this->context.state;
    const std::string own_key = this->key();
    const bool is_due = state.has_had_teams && state.store.items.count(own_key) == 0;
    if (!is_due || this->call_pending || this->context.now() < this->next_call ||
        !this->is_leader()) {
        return;
    }
    ports::transaction change;
    change.preconditions = {{own_key, 0}};
    change.writes = {{own_key, "{}", false, 0}};
    this->call_pending = true;
    this->platform.commit(change, [this](const base::result<ports::commit_result>& done) {
        this->call_pending = false;
        this->next_call = this->context.now() + call_pause;
        this->context.log.line(importance::keep, "teams_listed_written")
            .flag("done", done.has_value() && done.value().applied);
    });
}

} // namespace camphorrail::proxy
