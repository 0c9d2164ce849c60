#include "explain/story.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <sstream>
#include <string_view>

namespace camphorrail::explain {

namespace {

using json = nlohmann::ordered_json;

// Events that change what a process believes of the store or of its own fitness.
const std::set<std::string_view> process_beliefs{"config_in_force",
                                                 "store_lost",
                                                 "store_regained",
                                                 "store_history_lost",
                                                 "ready",
                                                 "not_ready",
                                                 "stop",
                                                 "start",
                                                 "reload",
                                                 "weights_named",
                                                 "weights_dated",
                                                 "quota_entry_silent",
                                                 "quota_entry_heard",
                                                 "shares_alone",
                                                 "shares_together"};
// Events that change what a process believes of one upstream; the field `upstream` names it.
const std::set<std::string_view> upstream_beliefs{"upstream_added",
                                                  "upstream_changed",
                                                  "upstream_unlisted",
                                                  "upstream_gone",
                                                  "upstream_ejected",
                                                  "upstream_weights",
                                                  "upstream_suspected_by_entry",
                                                  "upstream_commonly_suspected",
                                                  "upstream_suspicion_cleared",
                                                  "load_ordered",
                                                  "load_order_answered",
                                                  "upstream_crashed",
                                                  "upstream_leaves",
                                                  "upstream_wants_pause"};
// Events that change what a process believes of one pool; the field `pool` names it.
const std::set<std::string_view> pool_beliefs{"pool_overload"};
// Of several events about one thing the last counts: those of one group say the same thing.
const std::map<std::string_view, std::string_view> groups{
    {"store_regained", "store_lost"},
    {"store_history_lost", "store_lost"},
    {"not_ready", "ready"},
    {"quota_entry_heard", "quota_entry_silent"},
    {"shares_together", "shares_alone"}};

std::string group_of(const std::string& event) {
    const auto found = groups.find(event);
    return std::string(found == groups.end() ? event : found->second);
}

// What one process believes, by the thing that it is about.
using beliefs_by_thing = std::map<std::string, log_line>;

void note(std::map<std::string, beliefs_by_thing>& all, const log_line& line) {
    if (line.event == "start") {
        // A new life of the process knows nothing of what the one before believed.
        all[line.process].clear();
    }
    if (process_beliefs.count(line.event) > 0) {
        all[line.process][group_of(line.event)] = line;
    } else if (upstream_beliefs.count(line.event) > 0) {
        all[line.process]["upstream " + line.fields.value("upstream", "")] = line;
    } else if (pool_beliefs.count(line.event) > 0) {
        all[line.process]["pool " + line.fields.value("pool", "")] = line;
    }
}

std::vector<log_line> relevant(const beliefs_by_thing& beliefs, const log_line& step) {
    std::vector<log_line> found;
    const std::string upstream = "upstream " + step.fields.value("upstream", "");
    const std::string pool = "pool " + step.fields.value("pool", "");
    for (const auto& [thing, line] : beliefs) {
        const bool is_of_one = thing.starts_with("upstream ") || thing.starts_with("pool ");
        if (thing == upstream || thing == pool || !is_of_one) {
            found.push_back(line);
        }
    }
    return found;
}

void print_fields(std::ostream& out, const log_line& line) {
    static const std::set<std::string_view> shown_elsewhere{"time_ms", "process", "event",
                                                            "request"};
    for (const auto& [name, value] : line.fields.items()) {
        if (shown_elsewhere.count(name) == 0) {
            out << "  " << name << "="
                << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
}

} // namespace

void read_log(std::istream& input, log_records& into) {
    for (std::string text; std::getline(input, text);) {
        const auto begin = text.find('{');
        if (begin == std::string::npos) {
            into.unreadable += text.empty() ? 0 : 1;
            continue;
        }
        json fields = json::parse(text.substr(begin), nullptr, false);
        const bool is_event = fields.is_object() && fields.contains("time_ms") &&
                              fields["time_ms"].is_number_integer() && fields.contains("event") &&
                              fields["event"].is_string();
        if (!is_event) {
            ++into.unreadable;
            continue;
        }
        into.lines.push_back({fields["time_ms"].get<std::int64_t>(), fields.value("process", ""),
                              fields["event"].get<std::string>(), std::move(fields)});
    }
}

void sort_by_time(log_records& records) {
    std::stable_sort(
        records.lines.begin(), records.lines.end(),
        [](const log_line& left, const log_line& right) { return left.time_ms < right.time_ms; });
}

std::vector<story_step> tell_story(const log_records& records, const std::string& request) {
    std::vector<story_step> story;
    std::map<std::string, beliefs_by_thing> beliefs;
    for (const auto& line : records.lines) {
        if (line.fields.value("request", "") == request) {
            story.push_back({line, relevant(beliefs[line.process], line)});
        } else {
            note(beliefs, line);
        }
    }
    return story;
}

std::string to_text(const std::vector<story_step>& story) {
    std::ostringstream out;
    // A belief is printed at the first step that hangs on it, and again only once it has changed.
    std::set<std::string> printed;
    for (const auto& step : story) {
        out << step.line.time_ms << "  " << step.line.process << "  " << step.line.event;
        print_fields(out, step.line);
        out << "\n";
        for (const auto& belief : step.beliefs) {
            if (!printed.insert(belief.process + belief.fields.dump()).second) {
                continue;
            }
            out << "    " << step.line.time_ms - belief.time_ms << " ms before: " << belief.event;
            print_fields(out, belief);
            out << "\n";
        }
    }
    return out.str();
}

} // namespace camphorrail::explain
