#pragma once

#include "proxy/context.h"
#include "weights/drain.h"
#include "weights/load_plan.h"

#include <functional>
#include <map>
#include <optional>

namespace camphorrail::proxy {

// Who gives orders now, and under which name and fence.
struct command_authority {
    // Whether an order may be given now.
    std::function<bool()> may_issue_commands;
    std::function<std::string()> name;
    std::function<std::int64_t()> fencing_token;
};

// Brings the upstreams to the weights that operators name, while this entry leads.
class weights_loader {
public:
    weights_loader(entry_context& context, command_authority authority);

    // Gives the orders that are due.
    void tick();

private:
    // An order that was sent.
    struct pending_load {
        std::int64_t version = 0;
        base::instant started_at;
        bool accepted = false;
        base::instant next_state_query{};
        // It is not sent yet: the upstream has been getting nothing new since then.
        std::optional<base::instant> drained_since;
    };

    // What is known of an upstream's orders, by its life. Its count of orders starts anew with
    // each.
    void discard_previous_incarnations();
    // Takes what an upstream says of its own life; false where that is not the one that it is in as
    // far as is known here.
    bool accept_incarnation(const base::upstream_instance& queried,
                            base::upstream_incarnation reported);
    void handle_state(const base::upstream_instance& upstream, const ports::upstream_state& state);
    void load_model(const base::model_id& model, const weights_history& history);
    [[nodiscard]] weights::load_candidate make_candidate(const fleet::member& member,
                                                         const base::model_id& model,
                                                         const weights_history& history);
    void begin_load(const base::upstream_id& id, const base::model_id& model, std::int64_t version);
    // What is under way in an upstream's pool, and what the others there can take.
    [[nodiscard]] weights::pool_load pool_load_without(const fleet::member& changing) const;
    [[nodiscard]] ports::in_flight_policy
    choose_in_flight_policy(const fleet::member& member) const;
    void drain(fleet::member& member, std::int64_t version);
    void send_load_command(const fleet::member& member, const base::model_id& model,
                           std::int64_t version, std::int64_t expected_commands);
    void load_drained(const base::model_id& model, std::int64_t version);
    void pause_requests(fleet::member& member, base::milliseconds span);
    void query_state(const base::upstream_id& id);
    void handle_answer(const base::upstream_instance& upstream, std::int64_t version,
                       ports::load_command_result outcome);

    entry_context& context;
    command_authority authority;
    std::map<base::upstream_id, pending_load> pending_loads;
    // What upstreams said when asked, newer than the platform's list.
    std::map<base::upstream_id, std::int64_t> accepted_commands;
    std::map<base::upstream_id, base::instant> loaded_at;
    // The lives of upstreams that the above is about.
    std::map<base::upstream_id, base::upstream_incarnation> incarnations;
};

} // namespace camphorrail::proxy
