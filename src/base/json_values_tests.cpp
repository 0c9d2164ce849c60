#include "base/json_values.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace camphorrail;
using nlohmann::json;

namespace {

constexpr auto cbor = json::input_format_t::cbor;
constexpr auto text = json::input_format_t::json;

bool is_refused(const base::parsed_values& parsed) {
    return parsed.exceeds_limits && parsed.document.is_discarded();
}

std::string cbor_of(const json& document) {
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

} // namespace

// Guards against documents of a few megabytes that take up hundreds once they are parsed, and
// against ones that are nested so deeply that the parser exhausts the stack.
TEST_CASE("documents are bounded by their values and by how deeply they are nested", "[base]") {
    constexpr base::value_limits limits{1000, 16};

    SECTION("up to the limits they are parsed") {
        const json document(std::vector<int>(999, 1));
        CHECK(base::parse_values(cbor_of(document), cbor, limits).document == document);
        CHECK(base::parse_values(document.dump(), text, limits).document == document);
    }
    SECTION("not with more values") {
        const json document(std::vector<int>(1000, 1));
        CHECK(is_refused(base::parse_values(cbor_of(document), cbor, limits)));
        CHECK(is_refused(base::parse_values(document.dump(), text, limits)));
    }
    SECTION("not with more levels") {
        std::string deep;
        deep.resize(10'000'000, '\x81');
        CHECK(is_refused(base::parse_values(deep, cbor, limits)));
        CHECK(is_refused(base::parse_values(std::string(17, '['), text, limits)));
    }
    SECTION("nor if they are cut off or announce what can't be") {
        for (const auto& [document, format] : {std::pair("\x82\x01", cbor),
                                               {"\x9b\x40\x01\x01\x01\x01\x01\x01\x01", cbor},
                                               {"[1", text}}) {
            const auto parsed = base::parse_values(document, format, limits);
            CHECK(parsed.document.is_discarded());
            CHECK_FALSE(parsed.exceeds_limits);
        }
    }
}
