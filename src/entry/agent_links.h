#pragma once

#include "adapters/event_loop.h"
#include "adapters/metrics.h"
#include "base/ids.h"
#include "process/config_keeper.h"
#include "process/wire_link.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorrail::entry {

// An entry's links to agents: opened when needed, replaced when silent, closed when long unused.
// A few are kept open at all times, so that configuration and load reports keep coming.
class agent_links {
public:
    agent_links(adapters::event_loop& loop, base::entry_id self, process::config_keeper& config,
                adapters::metrics& metrics);

    // Sends a message to an upstream's agent; opens the link first where needed. `lost` follows if
    // that fails.
    void send(const base::upstream_id& to, const wire::message& message);
    // Asks agents named in the settings for the configuration while there is none.
    void ask(const std::vector<std::string>& addresses);
    // Sends heartbeats and looks for silent links.
    void beat();
    [[nodiscard]] std::size_t count() const { return this->links.size(); }

    sigc::signal<void(const base::upstream_id&, const wire::message&)> received;
    // The link failed. Whatever was sent over it and not answered may have run, or be lost.
    sigc::signal<void(const base::upstream_id&)> lost;

private:
    struct agent_link;
    using agent_link_ptr = std::shared_ptr<agent_link>;

    agent_link_ptr open(const base::upstream_id& to, const std::string& address);
    void handle(const agent_link_ptr& from, const wire::message& message);
    void drop(agent_link_ptr link);
    [[nodiscard]] std::vector<base::upstream_id> steady() const;

    adapters::event_loop* loop;
    ports::clock clock;
    base::entry_id self;
    process::config_keeper* config;
    adapters::metrics* metrics;
    std::unordered_map<base::upstream_id, agent_link_ptr> links;
};

} // namespace camphorrail::entry
