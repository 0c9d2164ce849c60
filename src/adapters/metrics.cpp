#include "adapters/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace camphorrail::adapters {

namespace {

const char* help_of(const std::string& name) {
    static const std::map<std::string, const char*> texts{
        {"camphorrail_requests_total", "Requests received, by pool."},
        {"camphorrail_answers_total", "Answers completed, by pool."},
        {"camphorrail_refusals_total", "Refusals, by code and by whether the request ran."},
        {"camphorrail_first_token_seconds", "Time from a request's arrival to its first token."},
        {"camphorrail_token_gap_seconds", "Time between two tokens of a stream."},
        {"camphorrail_prompt_tokens_total", "Prompt tokens of completed requests."},
        {"camphorrail_cached_tokens_total", "Prompt tokens found in an engine's cache."},
        {"camphorrail_retries_total", "Attempts after the first."},
        {"camphorrail_links", "Links that stand."},
        {"camphorrail_links_replaced_total", "Links replaced because they went silent or broke."},
        {"camphorrail_config_version", "Version of the configuration in force here."},
        {"camphorrail_platform_calls", "Calls made to the platform, by kind."},
        {"camphorrail_platform_calls_failed", "Calls that the platform did not answer."},
        {"camphorrail_platform_calls_held_back", "Calls that had to wait for the budget."},
        {"camphorrail_running", "Orders running."},
        {"camphorrail_waiting", "Orders waiting."},
        {"camphorrail_once_keys", "Idempotency keys held."},
        {"camphorrail_first_byte_seconds", "Time from a request's arrival to its first byte."},
        {"camphorrail_ejections_total", "Ejections of upstreams, by cause."},
        {"camphorrail_retries_denied_total", "Retries that the budget did not allow."},
        {"camphorrail_retry_tokens", "Retries that the budget allows now, by pool."},
        {"camphorrail_load_orders_total", "Orders to load weights."},
        {"camphorrail_upstreams", "Upstreams known, by state."},
        {"camphorrail_upstream_weights", "Engines, by whether they hold the newest weights."},
        {"camphorrail_prompt_tokens_placed_total",
         "Prompt tokens sent, by whether the engine was expected to hold them."},
        {"camphorrail_config_age_seconds", "Age of the proof behind the configuration."},
        {"camphorrail_connections_opened", "Connections opened to upstreams."},
        {"camphorrail_log_lines_left_out", "Log lines left out to hold the bound."},
        {"camphorrail_unreadable_requests_total", "Requests refused before they were read."},
        {"camphorrail_open_requests", "Requests of callers under way."},
    };
    const auto found = texts.find(name);
    return found == texts.end() ? "" : found->second;
}

const prometheus::Histogram::BucketBoundaries& span_buckets() {
    static const prometheus::Histogram::BucketBoundaries bounds{
        0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.2, 0.4, 0.62, 1, 2, 5, 10, 30};
    return bounds;
}

} // namespace

struct metrics::families {
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

metrics::metrics()
    : registry(std::make_shared<prometheus::Registry>()), made(std::make_unique<families>()) {}

metrics::~metrics() = default;

void metrics::count(const std::string& name, const metric_labels& labels, double amount) {
    auto*& family = this->made->counters[name];
    if (family == nullptr) {
        family =
            &prometheus::BuildCounter().Name(name).Help(help_of(name)).Register(*this->registry);
    }
    family->Add(labels).Increment(amount);
}

void metrics::set(const std::string& name, double value, const metric_labels& labels) {
    auto*& family = this->made->gauges[name];
    if (family == nullptr) {
        family = &prometheus::BuildGauge().Name(name).Help(help_of(name)).Register(*this->registry);
    }
    family->Add(labels).Set(value);
}

void metrics::observe_seconds(const std::string& name, double value, const metric_labels& labels) {
    auto*& family = this->made->histograms[name];
    if (family == nullptr) {
        family =
            &prometheus::BuildHistogram().Name(name).Help(help_of(name)).Register(*this->registry);
    }
    family->Add(labels, span_buckets()).Observe(value);
}

std::string metrics::text() const {
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace camphorrail::adapters
