#pragma once

#include "proxy/context.h"
#include "weights/drain.h"
#include "weights/load_plan.h"

#include <functional>
#include <map>
#include <optional>

namespace camphorrail::proxy {

// The leadership under which load commands are issued: the holder's name and its fencing token.
struct command_authority {
    // Whether a command may be issued now.
    std::function<bool()> may_issue_commands;
    std::function<std::string()> name;
    std::function<std::int64_t()> fencing_token;
};

// Loads the target weights set by operators on all upstreams while this entry is the leader.
class weights_loader {
public:
    weights_loader(entry_context& context, command_authority authority);

    // Issues the load commands that are due.
    void tick();

private:
    // A load command that is in progress.
    struct pending_load {
        // The model to load; empty if another leader has ordered the load.
        base::model_id model;
        std::int64_t version = 0;
        base::instant started_at;
        bool accepted = false;
        base::instant next_state_query{};
        // Set while the upstream is draining and the command has not been sent: the start of the
        // drain.
        std::optional<base::instant> drained_since;
    };

    // Discards what is known of commands to previous incarnations. An upstream's command counter
    // restarts with each incarnation.
    void discard_previous_incarnations();
    // Applies the incarnation an upstream reports for itself; returns false if that is not the
    // current one as far as known here.
    bool accept_incarnation(const base::upstream_instance& queried,
                            base::upstream_incarnation reported);
    void handle_state(const base::upstream_instance& upstream, const ports::upstream_state& state);
    void load_model(const base::model_id& model, const weights_history& history);
    [[nodiscard]] weights::load_candidate make_candidate(const fleet::member& member,
                                                         const base::model_id& model,
                                                         const weights_history& history);
    void begin_load(const base::upstream_id& id, const base::model_id& model, std::int64_t version);
    // The in-flight requests of an upstream's pool and the slots of its other members.
    [[nodiscard]] weights::pool_load pool_load_without(const fleet::member& changing) const;
    [[nodiscard]] ports::in_flight_policy
    choose_in_flight_policy(const fleet::member& member) const;
    void discard_expired_loads();
    void drain(fleet::member& member, const base::model_id& model, std::int64_t version);
    void send_load_command(const fleet::member& member, const base::model_id& model,
                           std::int64_t version, std::int64_t expected_commands);
    void load_drained(const base::model_id& model, std::int64_t version);
    void pause_requests(fleet::member& member, base::milliseconds span);
    void query_state(const base::upstream_id& id);
    void handle_answer(const base::upstream_instance& upstream, const base::model_id& model,
                       std::int64_t version, ports::load_command_result outcome);

    entry_context& context;
    command_authority authority;
    std::map<base::upstream_id, pending_load> pending_loads;
    // The command counters that upstreams reported, newer than the platform's list.
    std::map<base::upstream_id, std::int64_t> accepted_commands;
    std::map<base::upstream_id, base::instant> loaded_at;
    // The incarnations that the above state belongs to.
    std::map<base::upstream_id, base::upstream_incarnation> incarnations;
};

} // namespace camphorrail::proxy
