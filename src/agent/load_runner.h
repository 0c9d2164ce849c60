#pragma once

#include "adapters/event_loop.h"
#include "adapters/timeline.h"
#include "loading/loader.h"
#include "ports/platform.h"

#include <string>

namespace camphorrail::agent {

// Has the engine load the weights that the configuration wants, when one of the fleet's slots for
// that is free: carries out what `loading` decides.
class load_runner {
public:
    load_runner(const base::upstream_id& self, const std::string& nonce, adapters::event_loop& loop,
                ports::platform platform, adapters::timeline& timeline, std::string engine);

    // What the configuration wants, and what the engine reports; to be told about once a second.
    void note(const std::string& wanted, const std::string& loaded);
    [[nodiscard]] bool loading() const;

private:
    [[nodiscard]] loading::event_time moment() const;
    void carry_out(const loading::actions& todo);
    void carry_out_one(const loading::read_action& todo);
    void carry_out_one(const loading::commit_action& todo);
    void carry_out_one(const loading::load_action& todo);

    adapters::event_loop* loop;
    ports::clock clock;
    ports::platform platform;
    adapters::timeline* timeline;
    std::string engine;
    loading::loader loader;
};

} // namespace camphorrail::agent
