#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace camphorrail::adapters {

// The newest events of a process, kept in memory for the common time line.
class timeline {
public:
    timeline(std::string process, std::size_t most_events);

    // A point in time. `request` ties the events of one request together over all processes.
    void mark(const std::string& name, const std::string& request,
              nlohmann::json fields = nlohmann::json::object());
    // All kept events, as an array in the trace-event form.
    [[nodiscard]] nlohmann::json events() const;

private:
    std::string process;
    std::size_t most_events;
    std::deque<nlohmann::json> kept;
};

} // namespace camphorrail::adapters
