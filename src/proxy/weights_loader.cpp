#include "proxy/weights_loader.h"

#include "adapters/http_client.h"
#include "proxy/control_call.h"

#include <algorithm>
#include <limits>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr base::milliseconds call_timeout{700};
constexpr std::size_t max_answer_bytes = 64U << 10U;
constexpr int status_ok = 200;
// Placeholder version while an upstream is queried for its state.
constexpr std::int64_t querying = std::numeric_limits<std::int64_t>::max() - 1;
// A command whose response was lost may still be executed; the upstream's state is queried after
// this time.
constexpr base::milliseconds unanswered_pause{1200};
// In-flight requests finish first, which takes up to some seconds, and then the weights are loaded.
constexpr base::milliseconds max_load_time{6000};
// The platform's list shows a finished load up to two seconds late. An upstream's own report is
// some hundred milliseconds old, and a state query costs next to nothing compared with a load.
constexpr base::micros first_state_query = base::milliseconds(450);
constexpr base::milliseconds state_query_period{200};
// Covers the time until the next state query, with a small margin.
constexpr base::milliseconds busy_extension{350};
// No new requests are sent to an upstream that is about to load for the usual duration of a load.
constexpr base::milliseconds load_time{900};
// From a new target version to the first commands: the watch and one tick.
constexpr base::seconds first_load_delay{1};

const char* name_of(ports::in_flight_policy running) {
    switch (running) {
    case ports::in_flight_policy::finish:
        return "finish";
    case ports::in_flight_policy::abort:
        return "cut";
    case ports::in_flight_policy::continue_on_new_weights:
        return "go_on";
    }
    return "finish";
}

const char* name_of(ports::load_command_result outcome) {
    switch (outcome) {
    case ports::load_command_result::accepted:
        return "accepted";
    case ports::load_command_result::already_done:
        return "already_done";
    case ports::load_command_result::conflict:
        return "conflict";
    case ports::load_command_result::wrong_instance:
        return "wrong_instance";
    case ports::load_command_result::refused:
        break;
    }
    return "refused";
}

} // namespace

weights_loader::weights_loader(entry_context& context, command_authority authority)
    : context(context), authority(std::move(authority)) {}

void weights_loader::tick() {
    if (!this->authority.may_issue_commands() || this->context.state.config == nullptr) {
        this->pending_loads.clear();
        this->accepted_commands.clear();
        return;
    }
    this->discard_previous_incarnations();
    this->discard_expired_loads();
    for (const auto& [model, history] : this->context.state.weights) {
        this->load_model(model, history);
    }
}

void weights_loader::discard_previous_incarnations() {
    for (const auto& [id, member] : this->context.state.fleet.members) {
        auto& incarnation = this->incarnations[id];
        if (incarnation != member.listed.incarnation) {
            incarnation = member.listed.incarnation;
            this->pending_loads.erase(id);
            this->accepted_commands.erase(id);
            this->loaded_at.erase(id);
        }
    }
}

// Ends loads whose model is not looked at any more, because its target or the upstream's report of
// it is gone. They would keep the upstream from loading other models.
void weights_loader::discard_expired_loads() {
    const base::instant now = this->context.now();
    const base::micros longest = weights::drain_rules{}.max_duration + max_load_time;
    std::erase_if(this->pending_loads,
                  [&](const auto& each) { return now - each.second.started_at > longest; });
}

weights::load_candidate weights_loader::make_candidate(const fleet::member& member,
                                                       const base::model_id& model,
                                                       const weights_history& history) {
    weights::load_candidate candidate;
    candidate.id = member.listed.id;
    candidate.version = fleet::weights_version_of(member, model);
    const base::instant now = this->context.now();
    const auto since = outdated_since(history, candidate.version);
    candidate.in_flight = fleet::total_work(member, now).in_flight;
    candidate.out_of_service =
        since < now && now - since >= max_outdated_weights_age(this->context.settings);
    candidate.lane = member.short_lane ? 1 : 0;
    candidate.load_duration = weights::drain_rules{}.min_duration + load_time;
    candidate.suspected = !membership::is_usable(member.health, now);
    if (const auto last = this->loaded_at.find(candidate.id); last != this->loaded_at.end()) {
        candidate.loaded_at = last->second;
    }
    const auto sent = this->pending_loads.find(member.listed.id);
    if (sent == this->pending_loads.end()) {
        return candidate;
    }
    auto& load = sent->second;
    const bool is_of_other_model = !load.model.value.empty() && load.model != model;
    if (load.drained_since || is_of_other_model) {
        candidate.loading = true;
        return candidate;
    }
    const auto waited = now - load.started_at;
    const bool done = load.accepted && candidate.version >= load.version;
    if (done) {
        candidate.loaded_at = now;
        this->loaded_at[candidate.id] = now;
    }
    if (done || waited > max_load_time) {
        this->pending_loads.erase(sent);
        return candidate;
    }
    // An upstream that does not respond must not delay the others: it gets no further command for a
    // while, and others are loaded in its place.
    const bool unanswered = !load.accepted && waited > unanswered_pause;
    candidate.loading = !unanswered;
    candidate.suspected = candidate.suspected || unanswered;
    const auto due = load.accepted ? first_state_query : base::micros(unanswered_pause);
    if (waited > due && now >= load.next_state_query) {
        load.next_state_query = now + state_query_period;
        this->query_state(candidate.id);
    }
    return candidate;
}

void weights_loader::load_model(const base::model_id& model, const weights_history& history) {
    std::vector<weights::load_candidate> all;
    for (const auto& [id, member] : this->context.state.fleet.members) {
        const bool is_configured = this->context.state.config->pools.count(member.listed.pool) > 0;
        if (is_configured && fleet::is_available(member) &&
            fleet::weights_version_of(member, model) > 0) {
            all.push_back(this->make_candidate(member, model, history));
        }
    }
    const std::int64_t version = newest_version(history);
    this->load_drained(model, version);
    weights::load_rules rules;
    rules.rollout_duration = std::max<base::micros>(
        max_outdated_weights_age(this->context.settings) - first_load_delay, first_load_delay);
    for (const auto& id : weights::plan_loads(all, version, this->context.now(), rules)) {
        this->begin_load(id, model, version);
    }
}

void weights_loader::begin_load(const base::upstream_id& id, const base::model_id& model,
                                std::int64_t version) {
    const auto known = this->accepted_commands.find(id);
    if (known == this->accepted_commands.end()) {
        // Without the command counter, a command that is executed late could undo a newer one.
        this->pending_loads[id] = {model, querying, this->context.now(), false, {}, {}};
        this->query_state(id);
        return;
    }
    auto& member = this->context.state.fleet.members.at(id);
    const auto in_flight =
        fleet::estimated_load(member, this->context.now(), fleet_rules_of(this->context.settings));
    if (in_flight > 0 && !weights::is_crowded(this->pool_load_without(member), {})) {
        this->drain(member, model, version);
        return;
    }
    this->pause_requests(member, load_time);
    this->send_load_command(member, model, version, known->second);
}

weights::pool_load weights_loader::pool_load_without(const fleet::member& changing) const {
    const base::instant now = this->context.now();
    weights::pool_load found;
    for (const auto& [id, member] : this->context.state.fleet.members) {
        if (member.listed.pool != changing.listed.pool || !fleet::is_available(member)) {
            continue;
        }
        found.in_flight += fleet::total_work(member, now).in_flight;
        const bool serves =
            membership::is_usable(member.health, now) && now >= member.weights_change_until;
        if (serves && &member != &changing) {
            found.slots += member.listed.slots;
        }
    }
    return found;
}

ports::in_flight_policy weights_loader::choose_in_flight_policy(const fleet::member& member) const {
    if (weights::is_crowded(this->pool_load_without(member), {})) {
        return ports::in_flight_policy::continue_on_new_weights;
    }
    const bool may_cut = fleet::total_work(member, this->context.now()).non_retryable == 0;
    return may_cut ? ports::in_flight_policy::abort : ports::in_flight_policy::finish;
}

void weights_loader::drain(fleet::member& member, const base::model_id& model,
                           std::int64_t version) {
    const base::instant now = this->context.now();
    this->pending_loads[member.listed.id] = {model, version, now, false, {}, now};
    this->pause_requests(
        member, std::chrono::ceil<base::milliseconds>(weights::drain_rules{}.max_duration));
}

void weights_loader::load_drained(const base::model_id& model, std::int64_t version) {
    const base::instant now = this->context.now();
    for (auto& [id, load] : this->pending_loads) {
        const auto found = this->context.state.fleet.members.find(id);
        const auto known = this->accepted_commands.find(id);
        const bool exists = found != this->context.state.fleet.members.end() &&
                            known != this->accepted_commands.end();
        if (!load.drained_since || load.model != model || !exists) {
            continue;
        }
        auto& member = found->second;
        const auto unrepeatable = fleet::total_work(member, now).non_retryable;
        if (weights::is_drained({now - *load.drained_since, unrepeatable}, {})) {
            this->pause_requests(member, load_time);
            this->send_load_command(member, model, version, known->second);
        }
    }
}

void weights_loader::send_load_command(const fleet::member& member, const base::model_id& model,
                                       std::int64_t version, std::int64_t expected_commands) {
    const auto upstream = fleet::instance_of(member);
    const auto& id = upstream.id;
    const base::instant now = this->context.now();
    ports::load_command command{model, version, this->authority.name(),
                                this->authority.fencing_token(), expected_commands};
    command.in_flight = this->choose_in_flight_policy(member);
    const auto rest_of_pool = this->pool_load_without(member);
    this->pending_loads[id] = {model, version, now, false, {}, {}};
    this->context.log.line(importance::keep, "load_ordered")
        .text("upstream", id.value)
        .text("model", model.value)
        .number("version", version)
        .number("from_version", fleet::weights_version_of(member, model))
        .number("fence", command.fencing_token)
        .number("expected_orders", command.expected_accepted_commands)
        .text("running", name_of(command.in_flight))
        .number("pool_in_flight", rest_of_pool.in_flight)
        .number("pool_slots", rest_of_pool.slots)
        .number("in_flight",
                fleet::estimated_load(member, now, fleet_rules_of(this->context.settings)));
    this->context.metrics.count("camphorrail_load_orders_total");
    adapters::http_fetch(
        this->context.loop.base(), member.listed.address,
        to_call(this->context.codec.make_load_request(command, id)), {call_timeout, false},
        max_answer_bytes,
        [this, upstream, model, version](base::result<adapters::http_answer> answer) {
            if (!answer.has_value()) {
                this->context.log.line(importance::keep, "load_order_unanswered")
                    .text("upstream", upstream.id.value)
                    .text("model", model.value)
                    .number("version", version);
                return;
            }
            this->handle_answer(upstream, model, version,
                                this->context.codec.parse_load_response(answer.value().status));
        });
}

// Stops new requests to an upstream that changes weights, from here and from all other entries.
void weights_loader::pause_requests(fleet::member& member, base::milliseconds span) {
    const base::instant until = this->context.now() + span;
    member.busy_until = std::max<base::instant>(member.busy_until, until);
    member.weights_change_until = std::max<base::instant>(member.weights_change_until, until);
    this->context.broadcast_weights_change(fleet::instance_of(member), span);
}

void weights_loader::handle_answer(const base::upstream_instance& upstream,
                                   const base::model_id& model, std::int64_t version,
                                   ports::load_command_result outcome) {
    const auto& id = upstream.id;
    auto* member = fleet::find_instance(this->context.state.fleet, upstream);
    this->context.log.line(importance::keep, "load_order_answered")
        .text("upstream", id.value)
        .text("model", model.value)
        .number("version", version)
        .text("outcome", name_of(outcome))
        .flag("of_this_life", member != nullptr);
    const auto sent = this->pending_loads.find(id);
    if (member == nullptr || sent == this->pending_loads.end() || sent->second.model != model ||
        sent->second.version != version) {
        return;
    }
    if (outcome == ports::load_command_result::accepted) {
        sent->second.accepted = true;
        ++this->accepted_commands[id];
        return;
    }
    this->pending_loads.erase(sent);
    this->accepted_commands.erase(id);
    member->busy_until = this->context.now();
    this->query_state(id);
}

// Queries an upstream that did not follow a command for its state, since the platform's list may
// lag.
void weights_loader::query_state(const base::upstream_id& id) {
    const auto found = this->context.state.fleet.members.find(id);
    if (found == this->context.state.fleet.members.end()) {
        return;
    }
    const auto upstream = fleet::instance_of(found->second);
    adapters::http_fetch(
        this->context.loop.base(), found->second.listed.address,
        to_call(this->context.codec.state_request), {call_timeout, false}, max_answer_bytes,
        [this, upstream](base::result<adapters::http_answer> answer) {
            if (!answer.has_value() || answer.value().status != status_ok) {
                return;
            }
            const auto state = this->context.codec.parse_state(answer.value().body);
            if (state.has_value()) {
                this->handle_state(upstream, state.value());
            }
        });
}

// An upstream may report a restart before the platform's list does, which invalidates everything
// known of its previous incarnation. Reports from an incarnation that has ended, or that the list
// has replaced meanwhile, are ignored: their command counter would let a command through that was
// meant for another incarnation.
bool weights_loader::accept_incarnation(const base::upstream_instance& queried,
                                        base::upstream_incarnation reported) {
    auto* member = fleet::find_instance(this->context.state.fleet, queried);
    if (member == nullptr) {
        return false;
    }
    if (reported == queried.incarnation) {
        return true;
    }
    if (reported == base::upstream_incarnation{} || fleet::incarnation_ended(*member, reported)) {
        return false;
    }
    fleet::start_incarnation(*member, reported);
    discard_previous_incarnation(this->context, fleet::instance_of(*member));
    this->discard_previous_incarnations();
    return true;
}

void weights_loader::handle_state(const base::upstream_instance& upstream,
                                  const ports::upstream_state& state) {
    const auto& id = upstream.id;
    if (!this->accept_incarnation(upstream, state.incarnation)) {
        this->context.log.line(importance::keep, "upstream_state_dropped")
            .text("upstream", id.value)
            .number("incarnation", state.incarnation.value);
        if (const auto sent = this->pending_loads.find(id);
            sent != this->pending_loads.end() && sent->second.version == querying) {
            this->pending_loads.erase(sent);
        }
        return;
    }
    auto& member = this->context.state.fleet.members.at(id);
    const auto load = this->pending_loads.find(id);
    for (const auto& [model, version] : state.models) {
        this->context.broadcast_weights(fleet::instance_of(member), model, version);
    }
    this->accepted_commands[id] = state.accepted_commands;
    const bool accepted_here = load != this->pending_loads.end() && load->second.accepted;
    if (state.loading) {
        // It rejects all requests meanwhile, and each rejection would cost a client time and a
        // retry.
        this->pause_requests(member, busy_extension);
    }
    if (state.loading && load == this->pending_loads.end()) {
        // A command of another leader, or a late one of this entry.
        this->pending_loads[id] = {{}, querying, this->context.now(), true, {}, {}};
    } else if (!state.loading && load != this->pending_loads.end() && !accepted_here) {
        this->pending_loads.erase(load);
    }
    this->context.log.line(importance::keep, "upstream_state")
        .text("upstream", id.value)
        .number("incarnation", state.incarnation.value)
        .number("orders", state.accepted_commands)
        .flag("busy", state.loading);
}

} // namespace camphorrail::proxy
