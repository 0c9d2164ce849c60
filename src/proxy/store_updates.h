#pragma once

#include "peering/messages.h"
#include "proxy/context.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace camphorrail::proxy {

// Applies the store changes broadcast by entries that watch the platform's store to the local
// mirror.
//
// A large value, such as a configuration of many teams, is named but not included, since it would
// fill the links of the few entries that broadcast it. Each entry reads such a key from the store
// itself, first by stale reads at a tenth of the cost, and repeats the read if the result is older
// than the announced revision.
class store_updates {
public:
    store_updates(entry_context& context, ports::platform platform);

    enum class outcome { applied, reading, gap };
    // Applies a broadcast. Returns `gap`, without applying it, if an earlier change was missed.
    outcome receive(const peering::store_changes& message);
    // Whether a large value is being read. A complete store view requested meanwhile would transfer
    // that value over a peer link.
    [[nodiscard]] bool is_reading() const { return this->current.has_value(); }

    // Called with the changed keys after the mirror has been updated.
    std::function<void(const std::set<std::string>&)> changed;
    // Called if a large value could not be read, so that other entries are queried.
    std::function<void()> read_failed;

private:
    void apply(const peering::store_changes& message);
    void apply_inline(const peering::store_changes& message);
    void read_next();
    void handle_value(const std::string& key, int attempt,
                      const base::result<std::optional<ports::stored_value>>& read);
    void read_value(const std::string& key, int attempt);
    void apply_pending();

    entry_context& context;
    ports::platform platform;
    // The broadcast whose large values are being read, and the ones received since.
    std::optional<peering::store_changes> current;
    std::deque<peering::store_changes> pending;
};

} // namespace camphorrail::proxy
