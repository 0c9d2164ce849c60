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

// How an upstream's answer arrives. After `failed` or `ended` nothing more comes.
struct response_handler {
    std::function<void(int status, std::string content_type)> started;
    std::function<void(std::string bytes)> received;
    // The answer's framing ended as HTTP says it must.
    std::function<void()> ended;
    // upstream_unreachable: the call never left. Any other code: it may have run.
    std::function<void(base::code)> failed;
};

// A call under way.
struct call_handle {
    std::function<void()> cancel;
    std::function<void()> pause;
    std::function<void()> resume;
};

// The back end beside an agent.
struct upstream {
    std::function<call_handle(upstream_call, response_handler)> send;
};

} // namespace camphorrail::ports
