#include "adapters/logging.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>

namespace camphorrail::adapters {

namespace {

constexpr int above_fatal = google::NUM_SEVERITIES;

const char* name_of(google::LogSeverity severity) {
    switch (severity) {
    case google::GLOG_INFO:
        return "info";
    case google::GLOG_WARNING:
        return "warning";
    default:
        return "error";
    }
}

class json_sink : public google::LogSink {
public:
    explicit json_sink(std::string process) : process(std::move(process)) {}

    void send(google::LogSeverity severity, const char* /*full_filename*/,
              const char* base_filename, int line, const google::LogMessageTime& /*time*/,
              const char* message, size_t message_len) override {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        nlohmann::ordered_json out{
            {"time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()},
            {"level", name_of(severity)},
            {"process", this->process}};
        const std::string text(message, message_len);
        const auto fields = nlohmann::ordered_json::parse(text, nullptr, false);
        if (fields.is_object()) {
            out.update(fields);
        } else {
            out["event"] = "message";
            out["text"] = text;
            out["at"] = std::string(base_filename) + ":" + std::to_string(line);
        }
        const auto replace = nlohmann::ordered_json::error_handler_t::replace;
        std::cerr << out.dump(-1, ' ', false, replace) << std::endl;
    }

private:
    std::string process;
};

} // namespace

void start_logging(const std::string& process) {
    google::InitGoogleLogging("camphorrail");
    for (const auto severity :
         {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(severity, "");
    }
    FLAGS_stderrthreshold = above_fatal;
    static json_sink sink(process);
    google::AddLogSink(&sink);
}

void log(log_level level, const std::string& event, const nlohmann::json& fields) {
    nlohmann::ordered_json line{{"event", event}};
    for (const auto& [name, value] : fields.items()) {
        line[name] = value;
    }
    const std::string text =
        line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    switch (level) {
    case log_level::info:
        LOG(INFO) << text;
        break;
    case log_level::warning:
        LOG(WARNING) << text;
        break;
    case log_level::error:
        LOG(ERROR) << text;
        break;
    }
}

} // namespace camphorrail::adapters
