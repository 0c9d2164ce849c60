#include "report/trace_maker.h"

#include "base/hash.h"
#include "base/random.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace camphorrail::comparison {

namespace {

using base::micros;
using base::random_source;
using base::seconds;

constexpr double microseconds_a_second = 1e6;

// A number from 0 to count - 1; low ones far more often, by Zipf's law.
std::size_t zipf(random_source& random, std::size_t count, double exponent) {
    double total = 0;
    for (std::size_t rank = 1; rank <= count; ++rank) {
        total += 1.0 / std::pow(static_cast<double>(rank), exponent);
    }
    double left = base::random_unit(random) * total;
    for (std::size_t rank = 1; rank <= count; ++rank) {
        left -= 1.0 / std::pow(static_cast<double>(rank), exponent);
        if (left <= 0) {
            return rank - 1;
        }
    }
    return count - 1;
}

std::int64_t between(random_source& random, std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(
                     base::random_below(random, static_cast<std::uint64_t>(high - low + 1)));
}

std::uint64_t key_of(const std::string& text) {
    return base::stable_hash(text) >> 12U;
}

// Requests a second over time: a base rate, bursts, and one peak above what the engines can do.
struct rate_curve {
    double base = 0;
    double peak = 0;
    micros peak_from{0};
    micros peak_to{0};

    [[nodiscard]] double at(micros when) const {
        if (when >= this->peak_from && when < this->peak_to) {
            return this->peak;
        }
        const double slow = std::sin(static_cast<double>(when.count()) / 7e6);
        return this->base * (1.0 + 0.25 * slow);
    }
};

void sort_by_time(replay::trace& made) {
    std::stable_sort(made.requests.begin(), made.requests.end(),
                     [](const replay::request& left, const replay::request& right) {
                         return left.at < right.at;
                     });
}

} // namespace

replay::trace make_blue_mahoe(std::uint64_t seed) {
    random_source random{seed};
    replay::trace made;
    made.name = "blue-mahoe";
    made.entries = 4;
    made.pools = {{"pool", {18, 60000, 16, 100, micros(20000)}},
                  {"booking", {3, 40000, 16, 80, micros(20000)}}};
    made.outcomes = {0.78, 1100, 0.93};
    const rate_curve rate{65, 150, seconds(40), seconds(45)};
    constexpr std::size_t teams = 8;
    constexpr std::size_t agencies = 40;
    constexpr std::size_t histories = 600;
    const micros shift = seconds(30);
    for (micros when{0}; when < seconds(60);) {
        when += micros(static_cast<std::int64_t>(
            base::random_exponential(random, microseconds_a_second / rate.at(when))));
        // The hot agencies change once: a cruise ship comes in where a flight has just left.
        const std::size_t rank = zipf(random, agencies, 1.1);
        const std::size_t agency = when < shift ? rank : (rank + 13) % agencies;
        const std::size_t history = zipf(random, histories / agencies, 0.6);
        const std::string name = "agency-" + std::to_string(agency);
        const std::string history_name =
            name + "/history-" + std::to_string(history) + "/" + std::to_string(when / seconds(20));
        replay::request item;
        item.at = when;
        item.pool = base::random_below(random, 8) == 0 ? 1 : 0;
        const std::string scope = std::to_string(item.pool) + "/";
        item.team.value = "team-" + std::to_string(agency % teams);
        item.priority = item.pool == 1 ? 9 : 5;
        item.target = base::milliseconds(620);
        const std::int64_t shared = 2500 + static_cast<std::int64_t>(key_of(name) % 2500);
        const std::int64_t own =
            shared + 600 + static_cast<std::int64_t>(key_of(history_name) % 1400);
        item.chain = {{key_of(scope + name), {shared}},
                      {key_of(scope + history_name), {own}},
                      {base::random_bits(random) >> 12U, {own + between(random, 40, 200)}}};
        item.output_tokens = between(random, 10, 40);
        made.requests.push_back(std::move(item));
    }
    made.crashes = {{seconds(20), 0, 3, seconds(4)},
                    {seconds(20) + micros(500000), 0, 11, seconds(6)},
                    {seconds(52), 1, 1, seconds(3)}};
    return made;
}

replay::trace make_ikawa(std::uint64_t seed) {
    random_source random{seed};
    replay::trace made;
    made.name = "ikawa";
    made.entries = 3;
    made.pools = {{"batch", {18, 120000, 16, 60, micros(20000)}},
                  {"line", {3, 60000, 16, 60, micros(20000)}}};
    made.outcomes = {0.82, 1500, 0.98};
    const rate_curve rate{6.0, 14, seconds(60), seconds(66)};
    constexpr std::size_t recipes = 6;
    const micros shift = seconds(50);
    int log_number = 0;
    for (micros when{0}; when < seconds(90);) {
        when += micros(static_cast<std::int64_t>(
            base::random_exponential(random, microseconds_a_second / rate.at(when))));
        // One batch: its log is read against the recipe's notes, and asked about several times.
        const std::size_t rank = zipf(random, recipes, 1.3);
        const std::size_t recipe = when < shift ? rank : (rank + 2) % recipes;
        const std::string name = "recipe-" + std::to_string(recipe);
        const std::string log = name + "/log-" + std::to_string(++log_number);
        const bool line = base::random_below(random, 10) == 0;
        const std::string scope = line ? "line/" : "batch/";
        const std::int64_t notes = 5000 + static_cast<std::int64_t>(key_of(name) % 3000);
        const std::int64_t length = notes + between(random, 4000, 12000);
        const auto questions = static_cast<int>(between(random, 3, 8));
        micros ask = when;
        for (int question = 0; question < questions; ++question) {
            replay::request item;
            item.at = ask;
            item.pool = line ? 1 : 0;
            item.team.value = "team-" + std::to_string(recipe);
            item.priority = line ? 9 : 5;
            item.target = seconds(2);
            item.chain = {{key_of(scope + name), {notes}},
                          {key_of(scope + log), {length}},
                          {base::random_bits(random) >> 12U, {length + between(random, 30, 120)}}};
            item.output_tokens = between(random, 5, 30);
            made.requests.push_back(std::move(item));
            ask += base::milliseconds(between(random, 800, 4000));
        }
    }
    sort_by_time(made);
    made.crashes = {{seconds(25), 0, 2, seconds(5)},
                    {seconds(26), 0, 9, seconds(5)},
                    {seconds(70), 0, 5, seconds(8)}};
    return made;
}

} // namespace camphorrail::comparison
