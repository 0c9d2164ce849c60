#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace camphorrail::adapters {

using metric_labels = std::map<std::string, std::string>;

// A process's metrics, in the text form that scrapers read.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void count(const std::string& name, const metric_labels& labels = {}, double amount = 1);
    void set(const std::string& name, double value, const metric_labels& labels = {});
    // Puts a span in seconds into a histogram made for waiting times.
    void observe_seconds(const std::string& name, double value, const metric_labels& labels = {});
    [[nodiscard]] std::string text() const;

private:
    struct families;
    std::shared_ptr<prometheus::Registry> registry;
    std::unique_ptr<families> made;
};

} // namespace camphorrail::adapters
