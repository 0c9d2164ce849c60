#include "adapters/timeline.h"

#include <chrono>

namespace camphorrail::adapters {

timeline::timeline(std::string process, std::size_t most_events)
    : process(std::move(process)), most_events(most_events) {}

void timeline::mark(const std::string& name, const std::string& request, nlohmann::json fields) {
    if (this->most_events == 0) {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    fields["request"] = request;
    this->kept.push_back(
        {{"name", name},
         {"ph", "i"},
         {"s", "t"},
         {"ts", std::chrono::duration_cast<std::chrono::microseconds>(now).count()},
         {"pid", this->process},
         {"tid", request},
         {"args", std::move(fields)}});
    if (this->kept.size() > this->most_events) {
        this->kept.pop_front();
    }
}

nlohmann::json timeline::events() const {
    return this->kept;
}

} // namespace camphorrail::adapters
