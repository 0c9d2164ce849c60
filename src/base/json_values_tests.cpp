#include "base/json_values.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace camphorrail;
using nlohmann::json;

namespace {

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
        CHECK(base::parse_cbor(cbor_of(document), limits) == document);
        CHECK_FALSE(base::exceeds(document.dump(), json::input_format_t::json, limits));
    }
    SECTION("not with more values") {
        const json document(std::vector<int>(1000, 1));
        CHECK_FALSE(base::parse_cbor(cbor_of(document), limits));
        CHECK(base::exceeds(document.dump(), json::input_format_t::json, limits));
    }
    SECTION("not with more levels") {
        std::string deep;
        deep.resize(10'000'000, '\x81');
        CHECK_FALSE(base::parse_cbor(deep, limits));
        CHECK(base::exceeds(std::string(17, '['), json::input_format_t::json, limits));
    }
    SECTION("nor if they are cut off") {
        CHECK_FALSE(base::parse_cbor("\x82\x01", limits));
        CHECK_FALSE(base::exceeds("[1", json::input_format_t::json, limits));
    }
}
