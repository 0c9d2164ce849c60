#pragma once

#include "adapters/event_loop.h"
#include "adapters/http_platform.h"
#include "base/result.h"

#include <functional>
#include <optional>
#include <string>

namespace camphorrail::app {

// For commands that do one thing after the other: starts a call and runs the loop until its answer
// is there.
template <class Value>
base::result<Value>
wait_for(adapters::event_loop& loop,
         const std::function<void(std::function<void(base::result<Value>)>)>& start) {
    std::optional<base::result<Value>> answer;
    start([&](base::result<Value> got) {
        answer = std::move(got);
        loop.stop();
    });
    while (!answer) {
        loop.run();
    }
    return *answer;
}

// Reads a path of a process's operators' port.
base::result<std::string> fetch_text(adapters::event_loop& loop, const std::string& address,
                                     const std::string& path);

} // namespace camphorrail::app
