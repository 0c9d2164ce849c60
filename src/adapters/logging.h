#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace camphorrail::adapters {

enum class log_level { info, warning, error };

// Turns glog's output into JSON lines on standard error, one event a line.
void start_logging(const std::string& process);

// Logs one event with its fields.
void log(log_level level, const std::string& event, const nlohmann::json& fields);

} // namespace camphorrail::adapters
