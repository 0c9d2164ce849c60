#include "base/json_values.h"

namespace camphorrail::base {

namespace {

using nlohmann::json;

// Counts values, and gives up when there are too many or they are nested too deeply.
class value_counter : public json::json_sax_t {
public:
    explicit value_counter(const value_limits& limits) : limits(limits) {}

    bool null() override { return this->count(); }
    bool boolean(bool /*value*/) override { return this->count(); }
    bool number_integer(number_integer_t /*value*/) override { return this->count(); }
    bool number_unsigned(number_unsigned_t /*value*/) override { return this->count(); }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override {
        return this->count();
    }
    bool string(string_t& /*value*/) override { return this->count(); }
    bool binary(binary_t& /*value*/) override { return this->count(); }
    bool start_object(std::size_t /*elements*/) override { return this->open(); }
    bool key(string_t& /*value*/) override { return true; }
    bool end_object() override { return this->close(); }
    bool start_array(std::size_t /*elements*/) override { return this->open(); }
    bool end_array() override { return this->close(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const json::exception& /*error*/) override {
        return false;
    }
    [[nodiscard]] bool gave_up() const { return this->has_given_up; }

private:
    bool count() {
        this->has_given_up = this->has_given_up || ++this->values > this->limits.values;
        return !this->has_given_up;
    }
    bool open() {
        this->has_given_up = this->has_given_up || ++this->depth > this->limits.depth;
        return this->count();
    }
    bool close() {
        --this->depth;
        return true;
    }

    value_limits limits;
    std::size_t values = 0;
    std::size_t depth = 0;
    bool has_given_up = false;
};

} // namespace

bool exceeds(std::string_view document, json::input_format_t format, const value_limits& limits) {
    if (document.size() <= limits.values && document.size() <= limits.depth) {
        return false;
    }
    value_counter counter(limits);
    json::sax_parse(document, &counter, format);
    return counter.gave_up();
}

std::optional<json> parse_cbor(std::string_view document, const value_limits& limits) {
    if (exceeds(document, json::input_format_t::cbor, limits)) {
        return std::nullopt;
    }
    // The library throws for lengths that can't be, even where it is told not to: a few bytes that
    // announce 2^62 items would end the process.
    try {
        return json::from_cbor(document);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace camphorrail::base
