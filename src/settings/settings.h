#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "settings/fault.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorrail::settings {

// How a process reaches the platform's key-value service.
struct platform_settings {
    std::string endpoint;
    // How often this process reads the configuration's version.
    base::milliseconds poll{1000};
    base::milliseconds timeout{2000};
    // What the platform has agreed with its customers, as it spells it. Decides which features are
    // on besides those that are set.
    std::vector<std::string> agreements;
};

// Memory that a process may use where its settings do not say, in MiB.
inline constexpr std::int64_t default_memory_mb = 88;

// Bounds on what one caller may take up, and on what all of them do.
struct limit_settings {
    std::int64_t max_body_bytes = 4 << 20;
    std::int64_t max_header_bytes = 16 << 10;
    // Bytes of one answer held for a caller that reads slowly.
    std::int64_t caller_buffer_bytes = 64 << 10;
    base::milliseconds request_timeout{60000};
    // A caller's connection on which nothing moves for this long is closed.
    base::seconds idle_timeout{75};
    // Memory that the process may use, in MiB; 0 for no bounds. Requests are refused before more is
    // used for them.
    std::int64_t memory_mb = default_memory_mb;
};

// How much a process keeps of its events for the common time line. They stay in memory, since the
// VMs keep nothing, and are read from the operators' port.
struct timeline_settings {
    std::int64_t events = 4096;
};

// Settings of `camphorrail entry`.
struct entry_settings {
    base::entry_id id;
    base::availability_zone zone;
    std::string listen;
    std::string operators_listen;
    // The platform's list of VMs; empty for none.
    std::string vm_list;
    // Links of agents asked for the configuration at the start, beside the platform.
    std::vector<std::string> bootstrap;
    platform_settings platform;
    limit_settings limits;
    timeline_settings timeline;
};

// Settings of `camphorrail agent`.
struct agent_settings {
    base::upstream_id id;
    base::availability_zone zone;
    std::string listen;
    std::string operators_listen;
    std::string upstream;
    // The VM this runs on, as the platform's list of VMs names it.
    std::string vm;
    // Orders given to the upstream at once, and how many of them before their first token.
    std::int64_t max_running = 16;
    std::int64_t max_prefilling = 2;
    std::int64_t max_waiting = 64;
    platform_settings platform;
    limit_settings limits;
    timeline_settings timeline;
};

// Figures that the platform's operators hold an entry to.
struct bound_settings {
    // After a key's removal is acknowledged, no entry may honour it for longer than this.
    base::milliseconds revoke{5000};
    // An upstream that leaves gets nothing new after this long.
    base::milliseconds drain{2000};
    // From SIGTERM to the end of the process.
    base::seconds grace{8};
    // Calls beyond the first of each request that all entries together may send to one pool: this
    // share of the requests, and so many more, in any window of this length.
    double retry_ratio = 0.2;
    double retry_slack = 50;
    base::seconds retry_window{10};
    // How far the sum over all entries may go above a team's quota in any window of this length: by
    // this part of the quota, and by so many units on top.
    base::seconds quota_window{8};
    double quota_excess = 0.0;
    double quota_slack = 0.0;
    // Two entries that order upstreams keep at least this far apart.
    base::milliseconds lease{3000};
    // A request may begin on outdated weights for this long.
    base::milliseconds outdated_weights{8000};
};

// Decisions that an entry makes only where they are asked for.
struct feature_settings {
    // A team may use no more than its share of a pool while that is overloaded.
    bool team_shares = false;
    // Prompts wait only behind prompts that are at least as urgent.
    bool rank_queueing = false;
    // Entries exclude together the upstreams that several of them have found to be failing.
    bool shared_suspicion = false;
    // Responses are read from upstreams for as long as the process's memory allows, also where
    // their clients read slowly.
    bool memory_budget = false;
};

// The features that are on in either.
feature_settings combine(const feature_settings& left, const feature_settings& right);

// Settings of `camphorrail proxy`: an entry whose upstreams have no agents.
struct proxy_settings {
    base::entry_id id;
    base::availability_zone zone;
    std::string listen;
    // Where the balancer asks whether this entry takes callers.
    std::string ready_listen;
    std::string operators_listen;
    // Where other entries link to this one.
    std::string peer_listen;
    platform_settings platform;
    bound_settings bounds;
    feature_settings features;
    // As in `limit_settings`.
    std::int64_t memory_mb = 0;
    timeline_settings timeline;
};

using any_settings = std::variant<entry_settings, agent_settings, proxy_settings>;

// What reading a settings file gives: settings that hold only where there are no faults.
struct parsed_settings {
    any_settings settings;
    std::vector<fault> faults;
};

// Reads settings from YAML text. Its key `role` says whether they are an entry's or an agent's.
parsed_settings parse_settings(const std::string& text);

// The same from a file.
parsed_settings load_settings(const std::string& file);

} // namespace camphorrail::settings
