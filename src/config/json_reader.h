#pragma once

#include "config/configuration.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace camphorrail::config {

// Reads the fields of one JSON object and collects every fault with its path. A missing field keeps
// the fallback; `finish` reports fields that nobody asked for.
class json_reader {
public:
    json_reader(const nlohmann::json& object, std::string path, std::vector<config_fault>& faults);

    std::string name(const std::string& field);
    std::string text(const std::string& field, const std::string& fallback);
    double number(const std::string& field, double fallback, double low, double high);
    bool flag(const std::string& field, bool fallback);
    std::vector<std::string> texts(const std::string& field);
    std::map<std::string, double> weights(const std::string& field);
    // The items of an array field, each with its path.
    std::vector<json_reader> items(const std::string& field);
    void finish();
    void report(base::code number, const std::string& field, const std::string& text);

private:
    const nlohmann::json* find(const std::string& field);

    const nlohmann::json* object;
    std::string path;
    std::vector<config_fault>* faults;
    std::vector<std::string> known;
};

} // namespace camphorrail::config
