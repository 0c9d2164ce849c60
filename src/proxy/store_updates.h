#pragma once

#include "peering/messages.h"
#include "proxy/context.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace camphorrail::proxy {

// Takes into the mirror what entries that follow the platform's store tell of it.
//
// A large value, as a configuration of many teams, is named and not told: its few tellers would
// fill their links with it. Each entry reads such a key itself, by a read that may be old and costs
// a tenth, and asks again where what came is older than what was told.
class store_updates {
public:
    store_updates(entry_context& context, ports::platform platform);

    enum class outcome { applied, reading, gap };
    // `missed`: something before it was not heard of, so it could not be taken.
    outcome receive(const peering::store_changes& message);
    // A large value is being read. Until it is there, a whole view would bring it over a link.
    [[nodiscard]] bool is_reading() const { return this->current.has_value(); }

    // Told after the mirror has changed, with the keys.
    std::function<void(const std::set<std::string>&)> changed;
    // A large value could not be read; other entries are to be asked.
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
    // What waits for its large values, and what was told meanwhile.
    std::optional<peering::store_changes> current;
    std::deque<peering::store_changes> pending;
};

} // namespace camphorrail::proxy
