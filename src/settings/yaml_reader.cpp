#include "settings/yaml_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace camphorrail::settings {

namespace {

constexpr int lowest_port = 1;
constexpr int highest_port = 65535;

bool is_ip_number(const std::string& host) {
    in6_addr scratch{};
    return inet_pton(AF_INET, host.c_str(), &scratch) == 1 ||
           inet_pton(AF_INET6, host.c_str(), &scratch) == 1;
}

bool is_address(const std::string& value) {
    const auto colon = value.rfind(':');
    if (colon == std::string::npos || !is_ip_number(value.substr(0, colon))) {
        return false;
    }
    int port = 0;
    const char* end = value.data() + value.size();
    const auto read = std::from_chars(value.data() + colon + 1, end, port);
    return read.ec == std::errc{} && read.ptr == end && port >= lowest_port && port <= highest_port;
}

} // namespace

std::string to_string(const fault& found, const std::string& file) {
    return file + ":" + std::to_string(found.line) + ": error " +
           std::to_string(static_cast<int>(found.number)) + ": " + found.text;
}

yaml_reader::yaml_reader(const YAML::Node& node, std::string path, std::vector<fault>& faults)
    : node(node), path(std::move(path)), faults(&faults) {
    if (this->node.IsDefined() && !this->node.IsNull() && !this->node.IsMap()) {
        this->report(base::code::settings_bad_value, this->node,
                     "'" + this->path + "' must be a mapping of keys");
        this->node = YAML::Node();
    }
}

std::string yaml_reader::text(const std::string& key) {
    if (!this->has(key)) {
        this->report(base::code::settings_missing_key, this->node,
                     "'" + this->path + key + "' is required");
        this->known.push_back(key);
        return {};
    }
    return this->text(key, {});
}

std::string yaml_reader::text(const std::string& key, const std::string& fallback) {
    const YAML::Node value = this->take(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    if (!value.IsScalar() || value.Scalar().empty()) {
        this->report(base::code::settings_bad_value, value,
                     "'" + this->path + key + "' must be a text that is not empty");
        return fallback;
    }
    return value.Scalar();
}

std::string yaml_reader::address(const std::string& key) {
    return this->checked_address(key, this->text(key));
}

std::string yaml_reader::address(const std::string& key, const std::string& fallback) {
    return this->checked_address(key, this->text(key, fallback));
}

std::vector<std::string> yaml_reader::addresses(const std::string& key) {
    std::vector<std::string> read;
    const YAML::Node value = this->take(key);
    if (!value.IsDefined()) {
        return read;
    }
    for (const auto& item : value) {
        if (!item.IsScalar() || !is_address(item.Scalar())) {
            this->report(base::code::settings_bad_value, item,
                         "'" + this->path + key + "' must be a list of IP:PORT");
            return read;
        }
        read.push_back(item.Scalar());
    }
    return read;
}

std::vector<std::string> yaml_reader::words(const std::string& key) {
    std::vector<std::string> read;
    const YAML::Node value = this->take(key);
    if (!value.IsDefined()) {
        return read;
    }
    for (const auto& item : value) {
        if (!item.IsScalar()) {
            this->report(base::code::settings_bad_value, item,
                         "'" + this->path + key + "' must be a list of words");
            return read;
        }
        read.push_back(item.Scalar());
    }
    return read;
}

std::string yaml_reader::checked_address(const std::string& key, const std::string& value) {
    if (!value.empty() && !is_address(value)) {
        this->report(base::code::settings_bad_value, this->node[key],
                     "'" + this->path + key + "' must be IP:PORT, with a port from 1 to 65535");
    }
    return value;
}

std::int64_t yaml_reader::number(const std::string& key, std::int64_t fallback,
                                 number_range allowed) {
    const YAML::Node value = this->take(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    std::int64_t number = 0;
    const std::string text = value.IsScalar() ? value.Scalar() : std::string();
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = read.ec == std::errc{} && read.ptr == text.data() + text.size();
    if (!whole || number < allowed.low || number > allowed.high) {
        this->report(base::code::settings_bad_value, value,
                     "'" + this->path + key + "' must be a whole number from " +
                         std::to_string(allowed.low) + " to " + std::to_string(allowed.high));
        return fallback;
    }
    return number;
}

double yaml_reader::fraction(const std::string& key, double fallback, double high) {
    const YAML::Node value = this->take(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    double number = 0.0;
    const std::string text = value.IsScalar() ? value.Scalar() : std::string();
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = read.ec == std::errc{} && read.ptr == text.data() + text.size();
    if (!whole || !(number >= 0.0 && number <= high)) {
        this->report(base::code::settings_bad_value, value,
                     "'" + this->path + key + "' must be a number from 0 to " +
                         std::to_string(high));
        return fallback;
    }
    return number;
}

bool yaml_reader::flag(const std::string& key, bool fallback) {
    const std::string text = this->text(key, fallback ? "true" : "false");
    if (text != "true" && text != "false") {
        this->report(base::code::settings_bad_value, this->node[key],
                     "'" + this->path + key + "' must be true or false");
        return fallback;
    }
    return text == "true";
}

yaml_reader yaml_reader::section(const std::string& key) {
    const YAML::Node value = this->take(key);
    return {value.IsDefined() ? value : YAML::Node(), this->path + key + ".", *this->faults};
}

void yaml_reader::finish() {
    if (!this->node.IsMap()) {
        return;
    }
    for (const auto& pair : this->node) {
        const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
        if (std::find(this->known.begin(), this->known.end(), key) == this->known.end()) {
            this->report(base::code::settings_unknown_key, pair.first,
                         "'" + this->path + key + "' is not a known key");
        }
    }
}

bool yaml_reader::has(const std::string& key) {
    return this->node.IsMap() && this->node[key].IsDefined();
}

YAML::Node yaml_reader::take(const std::string& key) {
    this->known.push_back(key);
    if (!this->node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return this->node[key];
}

void yaml_reader::report(base::code number, const YAML::Node& where, const std::string& text) {
    const int line = where.IsDefined() ? where.Mark().line + 1 : 0;
    this->faults->push_back({number, line, text});
}

} // namespace camphorrail::settings
