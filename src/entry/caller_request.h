#pragma once

#include "base/ids.h"
#include "config/directory.h"
#include "prefix/prefix_chain.h"
#include "process/problem.h"
#include "settings/settings.h"

#include <functional>
#include <string>
#include <variant>

namespace camphorrail::entry {

// A caller's HTTP request, apart from how it came in.
struct http_request {
    std::string method;
    std::string target;
    std::string path;
    std::function<std::string(const std::string& name)> header;
    std::string body;
};

// A caller's request, checked and ready to be routed.
struct caller_request {
    config::caller caller;
    base::pool_id pool;
    std::string method;
    // Path at the upstream.
    std::string path;
    std::string content_type;
    std::string traceparent;
    std::string body;
    // Set for a call that must not run twice, bound to the team.
    base::idempotency_key key;
    // The key was made here, since the caller gave none: no earlier request can have used it.
    bool key_is_ours = false;
    std::string fingerprint;
    prefix::prefix_chain chain;
    bool stream = false;
    bool hide_usage = false;
};

// Checks a request against the configuration. `own_key` is used for a call that may not be
// repeated and comes without a key of its caller's.
std::variant<caller_request, process::problem> read_request(const http_request& request,
                                                            const config::directory& tables,
                                                            const settings::limit_settings& limits,
                                                            const std::string& own_key);

} // namespace camphorrail::entry
