#pragma once

#include "base/result.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace camphorrail::ports {

using headers = std::vector<std::pair<std::string, std::string>>;

struct upstream_call {
    std::string method;
    std::string path;
    headers fields;
    std::string body;
};

// Callbacks for an upstream's response. None is called after `failed` or `ended`.
struct response_handler {
    std::function<void(int status, std::string content_type)> started;
    std::function<void(std::string bytes)> received;
    // The response is complete according to HTTP message framing.
    std::function<void()> ended;
    // upstream_unreachable: the call was not sent. Any other code: it may have been executed.
    std::function<void(base::code)> failed;
    // Called with all header fields before `started`.
    std::function<void(headers)> fields;
};

// Controls a call in flight. `pause` and `resume` apply to receiving its response.
struct call_handle {
    std::function<void()> cancel;
    std::function<void()> pause;
    std::function<void()> resume;
};

// The back end that an agent sends calls to.
struct upstream {
    std::function<call_handle(upstream_call, response_handler)> send;
};

} // namespace camphorrail::ports
