#pragma once

#include "proxy/context.h"
#include "weights/drain.h"
#include "weights/load_plan.h"

#include <functional>
#include <map>
#include <optional>

namespace camphorrail::proxy {

// Who gives orders now, and under which name and fence.
struct order_authority {
    // Whether an order may be given now.
    std::function<bool()> may_order;
    std::function<std::string()> name;
    std::function<std::int64_t()> fence;
};

// Brings the upstreams to the weights that operators name, while this entry leads.
class weights_loader {
public:
    weights_loader(entry_context& context, order_authority authority);

    // Gives the orders that are due.
    void tick();

private:
    // An order that was sent.
    struct order_sent {
        std::int64_t version = 0;
        base::instant at;
        bool accepted = false;
        base::instant next_look{};
        // It is not sent yet: the upstream has been getting nothing new since then.
        std::optional<base::instant> drained_since;
    };

    // What is known of an upstream's orders, by its life. Its count of orders starts anew with
    // each.
    void forget_earlier_lives();
    // Takes what an upstream says of its own life; false where that is not the one that it is in as
    // far as is known here.
    bool take_incarnation(const base::upstream_instance& asked, base::upstream_incarnation said);
    void take_state(const base::upstream_instance& upstream, const ports::upstream_state& state);
    void load_model(const base::model_id& model, const weights_history& history);
    [[nodiscard]] weights::load_candidate candidate_of(const fleet::member& one,
                                                       const base::model_id& model,
                                                       const weights_history& history);
    void order(const base::upstream_id& id, const base::model_id& model, std::int64_t version);
    // What is under way in an upstream's pool, and what the others there can take.
    [[nodiscard]] weights::pool_load pool_load_beside(const fleet::member& changing) const;
    [[nodiscard]] ports::in_flight_policy running_requests_of(const fleet::member& one) const;
    void drain(fleet::member& one, std::int64_t version);
    void send_order(const fleet::member& one, const base::model_id& model, std::int64_t version,
                    std::int64_t expected_orders);
    void order_the_drained(const base::model_id& model, std::int64_t version);
    void keep_away(fleet::member& one, base::milliseconds span);
    void ask_state(const base::upstream_id& id);
    void note_answer(const base::upstream_instance& upstream, std::int64_t version,
                     ports::load_command_result outcome);

    entry_context& context;
    order_authority leader;
    std::map<base::upstream_id, order_sent> orders;
    // What upstreams said when asked, newer than the platform's list.
    std::map<base::upstream_id, std::int64_t> accepted_orders;
    std::map<base::upstream_id, base::instant> loaded_at;
    // The lives of upstreams that the above is about.
    std::map<base::upstream_id, base::upstream_incarnation> lives;
};

} // namespace camphorrail::proxy
