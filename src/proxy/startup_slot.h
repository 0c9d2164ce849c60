#pragma once

#include "ports/platform.h"
#include "proxy/context.h"

namespace camphorrail::proxy {

// Claims one of the slots that allow a few retries to a process that has just started. The slots
// are keys in the platform's store: each belongs to one process for longer than that process uses
// it, also after the process has ended, so restarts in series can't add up.
class startup_slot {
public:
    startup_slot(entry_context& context, ports::platform platform);

    // Claims a slot once the store is known. To be called periodically.
    void tick();
    [[nodiscard]] bool is_claimed() const { return this->claimed; }

private:
    [[nodiscard]] bool has_ended() const;
    void claim_next();
    void claim(const ports::lease& lease);

    entry_context& context;
    ports::platform platform;
    base::instant started_at;
    bool claimed = false;
    bool call_pending = false;
    base::instant next_call{};
    // Slots that were found taken.
    std::size_t taken_count = 0;
};

} // namespace camphorrail::proxy
