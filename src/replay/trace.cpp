#include "replay/trace.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace camphorrail::replay {

namespace {

using json = nlohmann::ordered_json;

json header_of(const trace& recorded) {
    json pools = json::array();
    for (const auto& pool : recorded.pools) {
        pools.push_back({{"name", pool.name},
                         {"engines", pool.engines.count},
                         {"cache_tokens", pool.engines.cache_tokens},
                         {"slots", pool.engines.slots},
                         {"prefill_us_per_token", pool.engines.prefill_us_per_token},
                         {"token_gap_us", pool.engines.token_gap.count()}});
    }
    return {{"trace", recorded.name},
            {"version", 1},
            {"entries", recorded.entries},
            {"pools", pools},
            {"outcomes",
             {{"least_hit_rate", recorded.outcomes.least_hit_rate},
              {"most_p99_first_token_ms", recorded.outcomes.most_p99_first_token_ms},
              {"least_on_time", recorded.outcomes.least_on_time}}}};
}

json line_of(const request& item) {
    json levels = json::array();
    for (const auto& level : item.chain) {
        levels.push_back({level.key, level.length.value});
    }
    return {{"at_us", item.at.count()},         {"pool", item.pool},
            {"team", item.team.value},          {"priority", item.priority},
            {"target_us", item.target.count()}, {"levels", levels},
            {"output", item.output_tokens}};
}

void read_header(const json& line, trace& recorded) {
    recorded.name = line.at("trace").get<std::string>();
    recorded.entries = line.at("entries").get<std::size_t>();
    for (const auto& pool : line.at("pools")) {
        recorded.pools.push_back(
            {pool.at("name").get<std::string>(),
             {pool.at("engines").get<std::int64_t>(), pool.at("cache_tokens").get<std::int64_t>(),
              pool.at("slots").get<std::int64_t>(), pool.at("prefill_us_per_token").get<double>(),
              base::micros(pool.at("token_gap_us").get<std::int64_t>())}});
    }
    const auto& outcomes = line.at("outcomes");
    recorded.outcomes = {outcomes.at("least_hit_rate").get<double>(),
                         outcomes.at("most_p99_first_token_ms").get<double>(),
                         outcomes.at("least_on_time").get<double>()};
}

request read_request(const json& line, const trace& recorded) {
    request item;
    item.at = base::micros(line.at("at_us").get<std::int64_t>());
    item.pool = line.at("pool").get<std::size_t>();
    (void)recorded.pools.at(item.pool);
    item.team.value = line.at("team").get<std::string>();
    item.priority = line.at("priority").get<int>();
    item.target = base::micros(line.at("target_us").get<std::int64_t>());
    for (const auto& level : line.at("levels")) {
        item.chain.push_back({level.at(0).get<std::uint64_t>(), {level.at(1).get<std::int64_t>()}});
    }
    item.output_tokens = line.at("output").get<std::int64_t>();
    return item;
}

crash read_crash(const json& line, const trace& recorded) {
    const crash item{base::micros(line.at("at_us").get<std::int64_t>()),
                     line.at("pool").get<std::size_t>(), line.at("crash").get<std::size_t>(),
                     base::micros(line.at("back_after_us").get<std::int64_t>())};
    if (static_cast<std::int64_t>(item.engine) >= recorded.pools.at(item.pool).engines.count) {
        throw std::out_of_range("engine");
    }
    return item;
}

} // namespace

parsed_trace parse_trace(const std::string& text) {
    parsed_trace parsed;
    std::istringstream input(text);
    int number = 0;
    for (std::string raw; std::getline(input, raw);) {
        ++number;
        try {
            const json line = json::parse(raw);
            if (number == 1) {
                read_header(line, parsed.recorded);
            } else if (line.contains("crash")) {
                parsed.recorded.crashes.push_back(read_crash(line, parsed.recorded));
            } else {
                parsed.recorded.requests.push_back(read_request(line, parsed.recorded));
            }
        } catch (const std::exception&) {
            parsed.bad_line = number;
            return parsed;
        }
    }
    parsed.bad_line = number == 0 ? 1 : 0;
    return parsed;
}

std::string to_text(const trace& recorded) {
    std::string text = header_of(recorded).dump() + "\n";
    for (const auto& item : recorded.requests) {
        text += line_of(item).dump() + "\n";
    }
    for (const auto& item : recorded.crashes) {
        text += json{{"at_us", item.at.count()},
                     {"pool", item.pool},
                     {"crash", item.engine},
                     {"back_after_us", item.back_after.count()}}
                    .dump() +
                "\n";
    }
    return text;
}

} // namespace camphorrail::replay
