#include "agent/load_runner.h"

#include "adapters/http_client.h"
#include "adapters/logging.h"

#include <nlohmann/json.hpp>

namespace camphorrail::agent {

namespace {

constexpr base::milliseconds order_timeout{5000};
constexpr std::size_t most_answer_bytes = 1U << 20U;

} // namespace

load_runner::load_runner(const base::upstream_id& self, const std::string& nonce,
                         adapters::event_loop& loop, ports::platform platform,
                         adapters::timeline& timeline, std::string engine)
    : loop(&loop), clock(loop.clock()), platform(std::move(platform)), timeline(&timeline),
      engine(std::move(engine)) {
    this->loader.self = self;
    this->loader.nonce = nonce;
}

void load_runner::note(const std::string& wanted, const std::string& loaded) {
    this->carry_out(loading::on_weights(this->loader, wanted, loaded, this->moment()));
}

bool load_runner::loading() const {
    return this->loader.state == loading::phase::loading;
}

loading::event_time load_runner::moment() const {
    return {this->clock.now(), this->clock.wall_ms()};
}

void load_runner::carry_out(const loading::actions& todo) {
    for (const auto& action : todo) {
        std::visit([this](const auto& one) { this->carry_out_one(one); }, action);
    }
}

void load_runner::carry_out_one(const loading::read_action& todo) {
    this->platform.read(todo.prefix, [this](const base::result<ports::snapshot>& answer) {
        this->carry_out(loading::on_read(this->loader, answer, this->moment()));
    });
}

void load_runner::carry_out_one(const loading::commit_action& todo) {
    this->platform.commit(todo.change, [this](const base::result<ports::commit_result>& answer) {
        this->carry_out(loading::on_committed(this->loader, answer, this->moment()));
    });
}

// The order is given once. Whether it was taken shows in the engine's reports; one that was lost
// costs the slot's time, while giving it twice could have the engine load twice.
void load_runner::carry_out_one(const loading::load_action& todo) {
    adapters::log(adapters::log_level::info, "load_ordered",
                  {{"weights", todo.weights}, {"fencing_number", todo.fencing_number}});
    this->timeline->mark("load_ordered", "", {{"weights", todo.weights}});
    const nlohmann::json body{{"weights", todo.weights}};
    adapters::http_fetch(this->loop->base(), this->engine,
                         {"POST",
                          "/v1/load",
                          {{"Content-Type", "application/json"},
                           {"X-Fencing-Token", std::to_string(todo.fencing_number)}},
                          body.dump()},
                         {order_timeout, true}, most_answer_bytes,
                         [](const base::result<adapters::http_answer>&) {});
}

} // namespace camphorrail::agent
