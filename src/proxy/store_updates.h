#pragma once

#include "adapters/timer.h"
#include "peering/messages.h"
#include "proxy/context.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace camphorrail::proxy {

// Applies the store changes sent by other entries to the local mirror.
//
// A large value, such as a configuration of many teams, is named but not included, since it would
// fill the links of the few entries that send it. Each entry reads such a key from the store
// itself, first by stale reads at a tenth of the cost, and repeats the read if the result is older
// than the announced revision. Reads are spaced so that they leave most of this entry's own link to
// requests, even if operators change a large value several times a second.
class store_updates {
public:
    store_updates(entry_context& context, ports::platform platform);

    enum class outcome { applied, reading, gap };
    // Applies changes. Returns `gap`, without applying them, if an earlier change was missed.
    // `proved` is when the changes were verified to be all there were; empty for a broadcast. The
    // mirror counts as verified then once it holds the large values as well.
    outcome receive(const peering::store_changes& message,
                    std::optional<base::instant> proved = {});
    // Whether a large value is being read or about to be.
    [[nodiscard]] bool is_reading() const { return this->current.has_value(); }

    // Called with the changed keys after the mirror has been updated.
    std::function<void(const std::set<std::string>&)> changed;
    // Called if a large value could not be read, so that other entries are queried.
    std::function<void()> read_failed;

private:
    struct received_changes {
        peering::store_changes message;
        std::optional<base::instant> proved;
    };

    void apply(const received_changes& received);
    void apply_inline(const peering::store_changes& message);
    void fill_in_known_values(peering::store_changes& message) const;
    void read_next();
    void log_read_value(const ports::stored_value& value);
    void handle_value(const std::string& key, int attempt,
                      const base::result<std::optional<ports::stored_value>>& read);
    void read_value(const std::string& key, int attempt);
    void apply_pending();

    entry_context& context;
    ports::platform platform;
    // The changes whose large values are being read, and the ones received since.
    std::optional<received_changes> current;
    std::deque<received_changes> pending;
    // When the read of the current value began, and when the next one may.
    base::instant read_began_at{};
    base::instant next_read_at{};
    adapters::timer read_timer;
};

} // namespace camphorrail::proxy
