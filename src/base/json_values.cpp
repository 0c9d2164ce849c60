#include "base/json_values.h"

#include <utility>

namespace camphorrail::base {

namespace {

using nlohmann::json;

// Builds a document, and gives up when it has too many values or they are nested too deeply. The
// document is read once: a separate pass that counts costs as much as half of the parser.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json> {
    using builder = nlohmann::detail::json_sax_dom_parser<json>;

public:
    bounded_builder(json& root, const value_limits& limits)
        : builder(root, false), limits(limits) {}

    bool null() { return this->count() && builder::null(); }
    bool boolean(bool value) { return this->count() && builder::boolean(value); }
    bool number_integer(json::number_integer_t value) {
        return this->count() && builder::number_integer(value);
    }
    bool number_unsigned(json::number_unsigned_t value) {
        return this->count() && builder::number_unsigned(value);
    }
    bool number_float(json::number_float_t value, const json::string_t& text) {
        return this->count() && builder::number_float(value, text);
    }
    bool string(json::string_t& value) { return this->count() && builder::string(value); }
    bool binary(json::binary_t& value) { return this->count() && builder::binary(value); }
    bool start_object(std::size_t size) { return this->open() && builder::start_object(size); }
    bool end_object() { return this->close() && builder::end_object(); }
    bool start_array(std::size_t size) { return this->open() && builder::start_array(size); }
    bool end_array() { return this->close() && builder::end_array(); }
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

parsed_values parse_values(std::string_view document, json::input_format_t format,
                           const value_limits& limits) {
    json root;
    bounded_builder builder(root, limits);
    // The library throws for lengths that can't be, even where it is told not to: a few bytes that
    // announce 2^62 items would end the process.
    try {
        if (json::sax_parse(document, &builder, format)) {
            return {std::move(root), false};
        }
    } catch (const json::exception&) {
        return {json(json::value_t::discarded), false};
    }
    return {json(json::value_t::discarded), builder.gave_up()};
}

} // namespace camphorrail::base
