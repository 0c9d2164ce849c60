#pragma once

#include "settings/fault.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrail::settings {

// Allowed range of a whole number, both ends included.
struct number_range {
    std::int64_t low = 0;
    std::int64_t high = 0;
};

// Reads the keys of one YAML mapping and collects every fault, so that an operator sees all of them
// at once. `finish` reports the keys that nobody asked for.
class yaml_reader {
public:
    yaml_reader(const YAML::Node& node, std::string path, std::vector<fault>& faults);

    std::string text(const std::string& key);
    std::string text(const std::string& key, const std::string& fallback);
    // An IP address and port, such as "10.0.0.7:8080".
    std::string address(const std::string& key);
    std::string address(const std::string& key, const std::string& fallback);
    std::vector<std::string> addresses(const std::string& key);
    // A list of words.
    std::vector<std::string> words(const std::string& key);
    std::int64_t number(const std::string& key, std::int64_t fallback, number_range allowed);
    // A number from 0 to `high` that need not be whole.
    double fraction(const std::string& key, double fallback, double high);
    bool flag(const std::string& key, bool fallback);
    yaml_reader section(const std::string& key);
    void finish();

private:
    bool has(const std::string& key);
    YAML::Node take(const std::string& key);
    std::string checked_address(const std::string& key, const std::string& value);
    void report(base::code number, const YAML::Node& where, const std::string& text);

    YAML::Node node;
    std::string path;
    std::vector<fault>* faults;
    std::vector<std::string> known;
};

} // namespace camphorrail::settings
