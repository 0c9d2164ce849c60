#include "base/codes.h"

#include <algorithm>
#include <array>
#include <string>

namespace camphorrail::base {

namespace {

constexpr std::array table{
    code_entry{code::settings_unreadable, "settings_unreadable", 0,
               "The settings file can't be read."},
    code_entry{code::settings_syntax, "settings_syntax", 0, "The settings file is not valid YAML."},
    code_entry{code::settings_unknown_key, "settings_unknown_key", 0,
               "The settings hold a key that this process does not know."},
    code_entry{code::settings_missing_key, "settings_missing_key", 0, "A required key is missing."},
    code_entry{code::settings_bad_value, "settings_bad_value", 0,
               "A value has the wrong type or lies outside what is allowed."},
    code_entry{code::body_too_large, "body_too_large", 413,
               "The request body is larger than the entry's limit."},
    code_entry{code::body_malformed, "body_malformed", 400,
               "The request body is not the JSON that this path takes."},
    code_entry{code::unknown_path, "unknown_path", 404, "No such path."},
    code_entry{code::method_not_allowed, "method_not_allowed", 405,
               "The path does not take this method."},
    code_entry{code::key_missing_or_wrong, "key_missing_or_wrong", 401,
               "The bearer key is missing or belongs to no team."},
    code_entry{code::unknown_model, "unknown_model", 404, "No upstream serves this model."},
    code_entry{code::unknown_service, "unknown_service", 404, "No upstream serves this service."},
    code_entry{code::bad_idempotency_key, "bad_idempotency_key", 400,
               "An Idempotency-Key has 1 to 200 printable ASCII characters."},
    code_entry{code::key_reused_for_other_request, "key_reused_for_other_request", 422,
               "The Idempotency-Key was used before with another request."},
    code_entry{code::token_count_malformed, "token_count_malformed", 400,
               "Token-Count is not two whole numbers of tokens."},
    code_entry{code::no_upstream, "no_upstream", 503, "No upstream can take the request now."},
    code_entry{code::overloaded, "overloaded", 429, "All candidate upstreams are full."},
    code_entry{code::team_over_share, "team_over_share", 429,
               "The team is over its share while others wait."},
    code_entry{code::target_out_of_reach, "target_out_of_reach", 429,
               "The team's target for the first token can no longer be met."},
    code_entry{code::retry_budget_spent, "retry_budget_spent", 503,
               "The first attempt failed and the retry budget is spent."},
    code_entry{code::shutting_down, "shutting_down", 503, "The process is shutting down."},
    code_entry{code::not_ready, "not_ready", 503,
               "No configuration is known, or none was proved lately enough to serve by."},
    code_entry{code::upstream_leaving, "upstream_leaving", 503, "The upstream is leaving."},
    code_entry{code::caller_gone, "caller_gone", 499, "The caller closed its connection."},
    code_entry{code::passed_on, "passed_on", 0,
               "The home of the prompt's prefix names who holds it; between processes only."},
    code_entry{code::quarantined, "quarantined", 503,
               "Upstreams crashed under this request; it is held back for a while."},
    code_entry{code::suspect_tried, "suspect_tried", 503,
               "An upstream crashed under this request, and another copy of it is being tried."},
    code_entry{code::quota_spent, "quota_spent", 429,
               "The team has used up its quota over all entries; the request has not run."},
    code_entry{code::stream_origin_unknown, "stream_origin_unknown", 503,
               "It is not known which software began the stream; the request has not run."},
    code_entry{code::upstreams_limited, "upstreams_limited", 503,
               "The rate limits of all upstreams that could take the request are used up; the "
               "request has not run."},
    code_entry{code::beyond_share, "beyond_share", 429,
               "The team uses its share of an overloaded pool; the request has not run."},
    code_entry{
        code::memory_exhausted, "memory_exhausted", 503,
        "The entry's memory for requests and responses is used up; the request has not run."},
    code_entry{code::upstream_unreachable, "upstream_unreachable", 502,
               "The upstream takes no connection; nothing was sent to it."},
    code_entry{code::upstream_failed, "upstream_failed", 502,
               "The connection to the upstream failed after the request may have left."},
    code_entry{code::stream_cut, "stream_cut", 502, "The answer ended before its end mark."},
    code_entry{code::upstream_answer_malformed, "upstream_answer_malformed", 502,
               "The upstream's answer is not what its protocol allows."},
    code_entry{code::timed_out, "timed_out", 504, "The request's time ran out."},
    code_entry{code::once_not_owner, "once_not_owner", 503,
               "This agent does not own the key; its caller's configuration is older or newer."},
    code_entry{code::once_outcome_unknown, "once_outcome_unknown", 504,
               "The request may have run; its outcome can't be known now."},
    code_entry{code::once_in_progress, "once_in_progress", 409,
               "The request with this key is still running."},
    code_entry{code::once_cannot_record, "once_cannot_record", 503,
               "The claim can't be recorded on the platform; the request was not sent."},
    code_entry{code::once_handover, "once_handover", 503,
               "An earlier owner of the key has not handed it over yet."},
    code_entry{code::once_answer_not_kept, "once_answer_not_kept", 409,
               "The request ran to its end; its answer is no longer kept."},
    code_entry{code::once_wrong_incarnation, "once_wrong_incarnation", 503,
               "The order was meant for an earlier life of the agent."},
    code_entry{code::once_tombstoned, "once_tombstoned", 503,
               "The attempt was called off before it ran and can no longer run."},
    code_entry{code::frame_malformed, "frame_malformed", 0,
               "A frame between processes can't be decoded."},
    code_entry{code::frame_too_large, "frame_too_large", 0,
               "A frame between processes is over its limit."},
    code_entry{code::link_silent, "link_silent", 504,
               "The link to the agent went silent while the request was under way."},
    code_entry{code::platform_unreachable, "platform_unreachable", 503,
               "The platform's key-value service does not answer."},
    code_entry{code::platform_answer_malformed, "platform_answer_malformed", 502,
               "The platform's answer can't be understood."},
    code_entry{code::platform_conflict, "platform_conflict", 409,
               "Someone else changed the value first; nothing was written."},
    code_entry{code::config_malformed, "config_malformed", 0,
               "The configuration is not the JSON document expected."},
    code_entry{code::config_unknown_field, "config_unknown_field", 0,
               "The configuration holds a field that is not known."},
    code_entry{code::config_bad_value, "config_bad_value", 0,
               "A field of the configuration has the wrong type or a value not allowed."},
    code_entry{code::config_duplicate, "config_duplicate", 0,
               "Two items of the configuration have the same name."},
    code_entry{code::config_not_found, "config_not_found", 0, "No item has this name."},
    code_entry{code::config_preset_in_force, "config_preset_in_force", 0,
               "The preset is in force and can't be removed."},
    code_entry{code::trace_malformed, "trace_malformed", 0, "A line of the trace can't be read."},
    code_entry{code::outcome_missed, "outcome_missed", 0,
               "A replayed trace missed an outcome stated beside it."},
};

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "camphorrail"; }
    [[nodiscard]] std::string message(int number) const override {
        return std::string(describe(static_cast<code>(number)).text);
    }
};

} // namespace

std::span<const code_entry> code_table() {
    return table;
}

const code_entry& describe(code number) {
    const auto* found = std::find_if(table.begin(), table.end(), [number](const code_entry& entry) {
        return entry.number == number;
    });
    static constexpr code_entry unlisted{code{}, "unlisted", 500, "An unlisted code."};
    return found == table.end() ? unlisted : *found;
}

std::string_view to_string(execution_state value) {
    switch (value) {
    case execution_state::not_run:
        return "not_run";
    case execution_state::completed:
        return "completed";
    case execution_state::unknown:
        break;
    }
    return "unknown";
}

const std::error_category& code_category() {
    static const category instance;
    return instance;
}

std::error_code make_error_code(code number) {
    return {static_cast<int>(number), code_category()};
}

code to_code(const std::error_code& error) {
    return static_cast<code>(error.value());
}

} // namespace camphorrail::base
