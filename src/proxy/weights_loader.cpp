#include "proxy/weights_loader.h"

#include "adapters/http_client.h"
#include "proxy/control_call.h"

#include <algorithm>
#include <limits>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr base::milliseconds order_timeout{700};
constexpr std::size_t max_answer_bytes = 64U << 10U;
constexpr int status_ok = 200;
// Stands in place of a version while an upstream is asked what it holds.
constexpr std::int64_t asking = std::numeric_limits<std::int64_t>::max() - 1;
// An order whose answer was lost may still be carried out; the upstream is asked after this long.
constexpr base::milliseconds unanswered_pause{1200};
// Requests under way finish first, which takes some seconds at most; then the load itself.
constexpr base::milliseconds max_load_time{6000};
// The platform's list tells of a finished load up to two seconds late. An upstream's own report is
// some hundred milliseconds old, and asking for it costs next to nothing beside a load.
constexpr base::micros first_look = base::milliseconds(450);
constexpr base::milliseconds look_period{200};
// Until the next look and a little longer.
constexpr base::milliseconds still_busy{350};
// Nothing new is sent to an upstream that is about to load, for as long as a load usually takes.
constexpr base::milliseconds load_time{900};
// From the naming of a version to the first orders: the watch, and a tick.
constexpr base::seconds first_load{1};

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

weights_loader::weights_loader(entry_context& context, order_authority authority)
    : context(context), leader(std::move(authority)) {}

void weights_loader::tick() {
    if (!this->leader.may_order() || this->context.state.config == nullptr) {
        this->orders.clear();
        this->accepted_orders.clear();
        return;
    }
    this->forget_earlier_lives();
    for (const auto& [model, history] : this->context.state.weights) {
        this->load_model(model, history);
    }
}

void weights_loader::forget_earlier_lives() {
    for (const auto& [id, one] : this->context.state.fleet.members) {
        auto& life = this->lives[id];
        if (life != one.listed.incarnation) {
            life = one.listed.incarnation;
            this->orders.erase(id);
            this->accepted_orders.erase(id);
            this->loaded_at.erase(id);
        }
    }
}

weights::load_candidate weights_loader::candidate_of(const fleet::member& one,
                                                     const base::model_id& model,
                                                     const weights_history& history) {
    weights::load_candidate made;
    made.id = one.listed.id;
    made.version = fleet::weights_version_of(one, model);
    const base::instant now = this->context.now();
    const auto since = outdated_since(history, made.version);
    made.in_flight = fleet::total_work(one, now).in_flight;
    made.out_of_service =
        since < now && now - since >= max_outdated_weights_age(this->context.settings);
    made.lane = one.short_lane ? 1 : 0;
    made.load_duration = weights::drain_rules{}.min_duration + load_time;
    made.suspected = !membership::is_usable(one.health, now);
    if (const auto last = this->loaded_at.find(made.id); last != this->loaded_at.end()) {
        made.loaded_at = last->second;
    }
    const auto sent = this->orders.find(one.listed.id);
    if (sent == this->orders.end()) {
        return made;
    }
    auto& order = sent->second;
    if (order.drained_since) {
        made.loading = true;
        return made;
    }
    const auto waited = now - order.at;
    const bool done = order.accepted && made.version >= order.version;
    if (done) {
        made.loaded_at = now;
        this->loaded_at[made.id] = now;
    }
    if (done || waited > max_load_time) {
        this->orders.erase(sent);
        return made;
    }
    // An upstream that does not answer holds nobody up: it gets no further order for a while, and
    // others are loaded in its place.
    const bool unanswered = !order.accepted && waited > unanswered_pause;
    made.loading = !unanswered;
    made.suspected = made.suspected || unanswered;
    const auto due = order.accepted ? first_look : base::micros(unanswered_pause);
    if (waited > due && now >= order.next_look) {
        order.next_look = now + look_period;
        this->ask_state(made.id);
    }
    return made;
}

void weights_loader::load_model(const base::model_id& model, const weights_history& history) {
    std::vector<weights::load_candidate> all;
    for (const auto& [id, one] : this->context.state.fleet.members) {
        const bool is_ours = this->context.state.config->pools.count(one.listed.pool) > 0;
        if (is_ours && fleet::is_available(one) && fleet::weights_version_of(one, model) > 0) {
            all.push_back(this->candidate_of(one, model, history));
        }
    }
    const std::int64_t version = newest(history);
    this->order_the_drained(model, version);
    weights::load_rules rules;
    rules.rollout_duration = std::max<base::micros>(
        max_outdated_weights_age(this->context.settings) - first_load, first_load);
    for (const auto& id : weights::plan_loads(all, version, this->context.now(), rules)) {
        this->order(id, model, version);
    }
}

void weights_loader::order(const base::upstream_id& id, const base::model_id& model,
                           std::int64_t version) {
    const auto known = this->accepted_orders.find(id);
    if (known == this->accepted_orders.end()) {
        // Without the count an order that is carried out late could undo a newer one.
        this->orders[id] = {asking, this->context.now(), false, {}, {}};
        this->ask_state(id);
        return;
    }
    auto& one = this->context.state.fleet.members.at(id);
    const auto in_flight =
        fleet::estimated_load(one, this->context.now(), fleet_rules_of(this->context.settings));
    if (in_flight > 0 && !weights::is_crowded(this->pool_load_beside(one), {})) {
        this->drain(one, version);
        return;
    }
    this->keep_away(one, load_time);
    this->send_order(one, model, version, known->second);
}

weights::pool_load weights_loader::pool_load_beside(const fleet::member& changing) const {
    const base::instant now = this->context.now();
    weights::pool_load found;
    for (const auto& [id, one] : this->context.state.fleet.members) {
        if (one.listed.pool != changing.listed.pool || !fleet::is_available(one)) {
            continue;
        }
        found.in_flight += fleet::total_work(one, now).in_flight;
        const bool serves =
            membership::is_usable(one.health, now) && now >= one.weights_change_until;
        if (serves && &one != &changing) {
            found.slots += one.listed.slots;
        }
    }
    return found;
}

ports::in_flight_policy weights_loader::running_requests_of(const fleet::member& one) const {
    if (weights::is_crowded(this->pool_load_beside(one), {})) {
        return ports::in_flight_policy::continue_on_new_weights;
    }
    const bool may_cut = fleet::total_work(one, this->context.now()).non_retryable == 0;
    return may_cut ? ports::in_flight_policy::abort : ports::in_flight_policy::finish;
}

void weights_loader::drain(fleet::member& one, std::int64_t version) {
    const base::instant now = this->context.now();
    this->orders[one.listed.id] = {version, now, false, {}, now};
    this->keep_away(one,
                    std::chrono::ceil<base::milliseconds>(weights::drain_rules{}.max_duration));
}

void weights_loader::order_the_drained(const base::model_id& model, std::int64_t version) {
    const base::instant now = this->context.now();
    for (auto& [id, order] : this->orders) {
        const auto found = this->context.state.fleet.members.find(id);
        const auto known = this->accepted_orders.find(id);
        const bool there = found != this->context.state.fleet.members.end() &&
                           known != this->accepted_orders.end();
        if (!order.drained_since || !there) {
            continue;
        }
        auto& one = found->second;
        const auto unrepeatable = fleet::total_work(one, now).non_retryable;
        if (weights::is_drained({now - *order.drained_since, unrepeatable}, {})) {
            this->keep_away(one, load_time);
            this->send_order(one, model, version, known->second);
        }
    }
}

void weights_loader::send_order(const fleet::member& one, const base::model_id& model,
                                std::int64_t version, std::int64_t expected_orders) {
    const auto upstream = fleet::instance_of(one);
    const auto& id = upstream.id;
    const base::instant now = this->context.now();
    ports::load_command order{model, version, this->leader.name(), this->leader.fence(),
                              expected_orders};
    order.in_flight = this->running_requests_of(one);
    const auto beside = this->pool_load_beside(one);
    this->orders[id] = {version, now, false, {}, {}};
    this->context.log.line(importance::keep, "load_ordered")
        .text("upstream", id.value)
        .number("version", version)
        .number("from_version", fleet::weights_version_of(one, model))
        .number("fence", order.fencing_token)
        .number("expected_orders", order.expected_accepted_commands)
        .text("running", name_of(order.in_flight))
        .number("pool_in_flight", beside.in_flight)
        .number("pool_slots", beside.slots)
        .number("in_flight",
                fleet::estimated_load(one, now, fleet_rules_of(this->context.settings)));
    this->context.metrics.count("camphorrail_load_orders_total");
    adapters::http_fetch(
        this->context.loop.base(), one.listed.address,
        to_call(this->context.codec.make_load_request(order, id)), {order_timeout, false},
        max_answer_bytes, [this, upstream, version](base::result<adapters::http_answer> answer) {
            if (!answer.has_value()) {
                this->context.log.line(importance::keep, "load_order_unanswered")
                    .text("upstream", upstream.id.value)
                    .number("version", version);
                return;
            }
            this->note_answer(upstream, version,
                              this->context.codec.parse_load_response(answer.value().status));
        });
}

// Nothing new goes to an upstream in change, from here and from other entries.
void weights_loader::keep_away(fleet::member& one, base::milliseconds span) {
    const base::instant until = this->context.now() + span;
    one.busy_until = std::max<base::instant>(one.busy_until, until);
    one.weights_change_until = std::max<base::instant>(one.weights_change_until, until);
    this->context.broadcast_weights_change(fleet::instance_of(one), span);
}

void weights_loader::note_answer(const base::upstream_instance& upstream, std::int64_t version,
                                 ports::load_command_result outcome) {
    const auto& id = upstream.id;
    auto* one = fleet::find_instance(this->context.state.fleet, upstream);
    this->context.log.line(importance::keep, "load_order_answered")
        .text("upstream", id.value)
        .number("version", version)
        .text("outcome", name_of(outcome))
        .flag("of_this_life", one != nullptr);
    const auto sent = this->orders.find(id);
    if (one == nullptr || sent == this->orders.end() || sent->second.version != version) {
        return;
    }
    if (outcome == ports::load_command_result::accepted) {
        sent->second.accepted = true;
        ++this->accepted_orders[id];
        return;
    }
    this->orders.erase(sent);
    this->accepted_orders.erase(id);
    one->busy_until = this->context.now();
    this->ask_state(id);
}

// An upstream that does not do as ordered is asked what it holds: the platform's list may lag.
void weights_loader::ask_state(const base::upstream_id& id) {
    const auto found = this->context.state.fleet.members.find(id);
    if (found == this->context.state.fleet.members.end()) {
        return;
    }
    const auto upstream = fleet::instance_of(found->second);
    adapters::http_fetch(
        this->context.loop.base(), found->second.listed.address,
        to_call(this->context.codec.state_request), {order_timeout, false}, max_answer_bytes,
        [this, upstream](base::result<adapters::http_answer> answer) {
            if (!answer.has_value() || answer.value().status != status_ok) {
                return;
            }
            const auto state = this->context.codec.parse_state(answer.value().body);
            if (state.has_value()) {
                this->take_state(upstream, state.value());
            }
        });
}

// An upstream that has started again may say so before the platform's list does: beliefs of its
// earlier life are void from then on. What comes from a life that is over, or from one that the
// list has replaced meanwhile, is not believed: its count of orders would let an order through that
// was meant for another life.
bool weights_loader::take_incarnation(const base::upstream_instance& asked,
                                      base::upstream_incarnation said) {
    auto* one = fleet::find_instance(this->context.state.fleet, asked);
    if (one == nullptr) {
        return false;
    }
    if (said == asked.incarnation) {
        return true;
    }
    if (said == base::upstream_incarnation{} || fleet::incarnation_ended(*one, said)) {
        return false;
    }
    fleet::start_incarnation(*one, said);
    discard_previous_incarnation(this->context, fleet::instance_of(*one));
    this->forget_earlier_lives();
    return true;
}

void weights_loader::take_state(const base::upstream_instance& upstream,
                                const ports::upstream_state& state) {
    const auto& id = upstream.id;
    if (!this->take_incarnation(upstream, state.incarnation)) {
        this->context.log.line(importance::keep, "upstream_state_dropped")
            .text("upstream", id.value)
            .number("incarnation", state.incarnation.value);
        if (const auto sent = this->orders.find(id);
            sent != this->orders.end() && sent->second.version == asking) {
            this->orders.erase(sent);
        }
        return;
    }
    auto& one = this->context.state.fleet.members.at(id);
    const auto asked = this->orders.find(id);
    for (const auto& [model, version] : state.models) {
        this->context.broadcast_weights(fleet::instance_of(one), model, version);
    }
    this->accepted_orders[id] = state.accepted_commands;
    const bool ours = asked != this->orders.end() && asked->second.accepted;
    if (state.loading) {
        // It refuses whatever comes; each refusal would cost a caller time and a retry.
        this->keep_away(one, still_busy);
    }
    if (state.loading && asked == this->orders.end()) {
        // Another leader's order, or one of ours that came late.
        this->orders[id] = {asking, this->context.now(), true, {}, {}};
    } else if (!state.loading && asked != this->orders.end() && !ours) {
        this->orders.erase(asked);
    }
    this->context.log.line(importance::keep, "upstream_state")
        .text("upstream", id.value)
        .number("incarnation", state.incarnation.value)
        .number("orders", state.accepted_commands)
        .flag("busy", state.loading);
}

} // namespace camphorrail::proxy
