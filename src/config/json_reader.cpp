#include "config/json_reader.h"

#include <algorithm>

namespace camphorrail::config {

namespace {

constexpr std::size_t longest_name = 100;
constexpr double largest_weight = 1e6;

// Names become parts of the platform's keys, so a slash or a blank in one would lead to another
// item's place.
bool is_name(const std::string& value) {
    const auto allowed = [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.' ||
               letter == ':';
    };
    return !value.empty() && value.size() <= longest_name &&
           std::all_of(value.begin(), value.end(), allowed);
}

const nlohmann::json& empty_object() {
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

} // namespace

json_reader::json_reader(const nlohmann::json& object, std::string path,
                         std::vector<config_fault>& faults)
    : object(&object), path(std::move(path)), faults(&faults) {
    if (!object.is_object()) {
        this->report(base::code::config_malformed, "", "must be an object");
        this->object = &empty_object();
    }
}

std::string json_reader::name(const std::string& field) {
    std::string value = this->text(field, "");
    if (!is_name(value)) {
        this->report(base::code::config_bad_value, field,
                     "must be a name: 1 to 100 letters, digits or -_.:");
    }
    return value;
}

std::string json_reader::text(const std::string& field, const std::string& fallback) {
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        this->report(base::code::config_bad_value, field, "must be a text");
        return fallback;
    }
    return value->get<std::string>();
}

double json_reader::number(const std::string& field, double fallback, double low, double high) {
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return fallback;
    }
    const double number = value->is_number() ? value->get<double>() : low - 1;
    if (number < low || number > high) {
        this->report(base::code::config_bad_value, field,
                     "must be a number from " + std::to_string(low) + " to " +
                         std::to_string(high));
        return fallback;
    }
    return number;
}

bool json_reader::flag(const std::string& field, bool fallback) {
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        this->report(base::code::config_bad_value, field, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> json_reader::texts(const std::string& field) {
    std::vector<std::string> read;
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return read;
    }
    if (!value->is_array()) {
        this->report(base::code::config_bad_value, field, "must be a list of texts");
        return read;
    }
    for (const auto& item : *value) {
        if (!item.is_string()) {
            this->report(base::code::config_bad_value, field, "must be a list of texts");
            return read;
        }
        read.push_back(item.get<std::string>());
    }
    return read;
}

std::map<std::string, double> json_reader::weights(const std::string& field) {
    std::map<std::string, double> read;
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return read;
    }
    if (!value->is_object()) {
        this->report(base::code::config_bad_value, field, "must be an object of numbers");
        return read;
    }
    json_reader inner(*value, this->path + field + ".", *this->faults);
    for (const auto& [name, weight] : value->items()) {
        read[name] = inner.number(name, 1.0, 0.0, largest_weight);
    }
    return read;
}

std::vector<json_reader> json_reader::items(const std::string& field) {
    std::vector<json_reader> read;
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return read;
    }
    if (!value->is_array()) {
        this->report(base::code::config_bad_value, field, "must be a list");
        return read;
    }
    for (std::size_t index = 0; index < value->size(); ++index) {
        read.emplace_back((*value)[index], this->path + field + "[" + std::to_string(index) + "].",
                          *this->faults);
    }
    return read;
}

void json_reader::finish() {
    for (const auto& [field, value] : this->object->items()) {
        if (std::find(this->known.begin(), this->known.end(), field) == this->known.end()) {
            this->report(base::code::config_unknown_field, field, "is not a known field");
        }
    }
}

void json_reader::report(base::code number, const std::string& field, const std::string& text) {
    this->faults->push_back({number, this->path + field, text});
}

const nlohmann::json* json_reader::find(const std::string& field) {
    this->known.push_back(field);
    const auto found = this->object->find(field);
    return found == this->object->end() ? nullptr : &*found;
}

} // namespace camphorrail::config
