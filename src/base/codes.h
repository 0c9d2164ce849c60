#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace camphorrail::base {

// Whether a rejected request was executed. `not_run` also guarantees that the attempt can no longer
// be executed later.
enum class execution_state { not_run, unknown, completed };

// Numbered result codes. docs/RESULT-CODES.md documents them for operators, and a unit test
// compares that table with code_table(). A number is never reused for another meaning.
enum class code {
    settings_unreadable = 101,
    settings_syntax = 102,
    settings_unknown_key = 103,
    settings_missing_key = 104,
    settings_bad_value = 105,

    body_too_large = 201,
    body_malformed = 202,
    unknown_path = 203,
    method_not_allowed = 204,
    key_missing_or_wrong = 205,
    unknown_model = 206,
    unknown_service = 207,
    bad_idempotency_key = 208,
    key_reused_for_other_request = 209,
    token_count_malformed = 210,

    no_upstream = 301,
    overloaded = 302,
    team_over_share = 303,
    target_out_of_reach = 304,
    retry_budget_spent = 305,
    shutting_down = 306,
    not_ready = 307,
    upstream_leaving = 308,
    caller_gone = 309,
    passed_on = 310,
    quarantined = 311,
    suspect_tried = 312,
    quota_spent = 313,
    stream_origin_unknown = 314,
    upstreams_limited = 315,
    beyond_share = 316,
    memory_exhausted = 317,

    upstream_unreachable = 401,
    upstream_failed = 402,
    stream_cut = 403,
    upstream_answer_malformed = 404,
    timed_out = 405,

    once_not_owner = 501,
    once_outcome_unknown = 502,
    once_in_progress = 503,
    once_cannot_record = 504,
    once_handover = 505,
    once_answer_not_kept = 506,
    once_wrong_incarnation = 507,
    once_tombstoned = 508,

    frame_malformed = 601,
    frame_too_large = 602,
    link_silent = 603,
    platform_unreachable = 604,
    platform_answer_malformed = 605,
    platform_conflict = 606,

    config_malformed = 701,
    config_unknown_field = 702,
    config_bad_value = 703,
    config_duplicate = 704,
    config_not_found = 705,
    config_preset_in_force = 706,

    trace_malformed = 801,
    outcome_missed = 802,
};

// The documentation of one code. `http_status` is 0 for codes that are never sent in a response.
struct code_entry {
    code number;
    std::string_view name;
    int http_status;
    std::string_view text;
};

// All codes, sorted by number.
std::span<const code_entry> code_table();

// The entry of a code in code_table(); an "unlisted" entry with status 500 if there is none.
const code_entry& describe(code number);

std::string_view to_string(execution_state value);

const std::error_category& code_category();
std::error_code make_error_code(code number);

// The code of an error made by make_error_code. Must not be called for other error categories.
code to_code(const std::error_code& error);

} // namespace camphorrail::base

template <>
struct std::is_error_code_enum<camphorrail::base::code> : std::true_type {};
