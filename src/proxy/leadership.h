#pragma once

#include "adapters/timer.h"
#include "proxy/context.h"
#include "weights/term.h"

#include <functional>
#include <optional>

namespace camphorrail::proxy {

// One entry at a time gives orders to upstreams, by a lease in the platform's store.
class leadership {
public:
    leadership(entry_context& context, ports::platform platform);

    // Looks whether there is something to take over or to renew.
    void tick();
    // Gives the lease up, so that another entry need not wait for its end.
    void resign();
    // Whether an order may be given now.
    [[nodiscard]] bool may_order() const;
    [[nodiscard]] std::int64_t fence() const { return this->held ? this->held->fence : 0; }
    // What upstreams know this holder by.
    [[nodiscard]] std::string name() const;

private:
    void campaign();
    void claim(std::int64_t lease, base::instant asked);
    void renew();
    void lose(const char* why);
    [[nodiscard]] std::string leader_key() const;
    [[nodiscard]] std::string last_leader_key() const;
    [[nodiscard]] weights::term_rules rules() const;

    entry_context& context;
    ports::platform platform;
    std::optional<weights::term> held;
    bool asking = false;
    base::instant next_renewal{};
    base::instant next_campaign{};
};

} // namespace camphorrail::proxy
