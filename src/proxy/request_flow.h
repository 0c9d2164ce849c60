#pragma once

#include "adapters/timer.h"
#include "proxy/admission.h"
#include "proxy/caller_server.h"
#include "proxy/context.h"
#include "proxy/silence.h"
#include "proxy/stream_relay.h"
#include "proxy/upstream_choice.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// One request of a caller, from its arrival to its final answer: over one upstream, or several in
// turn where it may be sent again.
class request_flow : public std::enable_shared_from_this<request_flow> {
public:
    request_flow(entry_context& context, exchange_ptr exchange);

    void begin();
    // The process ends: whatever is under way is broken off.
    void break_off();
    // A request is held back from now on. Where it is this one and its upstream has not begun to
    // answer, it is called off: it may still wait there for its turn.
    void call_off(const quarantine::quarantined_request& held);
    // Sees to it that nothing begins any more on weights that are outdated for too long: the call
    // under way is taken back unless it has begun by then. To be called whenever more is known of
    // when weights were named; a call may wait at its upstream since before newer ones were.
    void renew_begin_deadline();

    // Told once, when the request has ended.
    std::function<void()> on_end;

private:
    // One call to one upstream.
    struct attempt {
        upstream_choice choice;
        connection_ptr connection;
        base::instant sent_at;
        ports::response_metadata facts;
        http::response_head head;
        bool answering = false;
        // Its first byte has come.
        bool begun = false;
        // It has said nothing for so long that others were warned.
        bool suspected = false;
        // It was chosen although the list lacked it.
        bool last_resort = false;
        // It is the copy of a suspect that is being tried.
        bool trial = false;
        // When the answer's first byte came.
        base::instant begun_at{};
    };

    struct whole_answer {
        http::response_head head;
        std::string body;
    };

    // Whether the caller's answer has begun, and in which form.
    enum class answer_state { none, streaming, ended };

    void send_attempt();
    bool stopped_by_quota();
    void settle_quota();
    bool stopped_by_quarantine();
    void note_broken_attempt();
    void acquit();
    [[nodiscard]] bool is_untouched() const;
    [[nodiscard]] bool may_leave() const;
    [[nodiscard]] std::optional<base::instant> begin_deadline_of_attempt() const;
    bool admit_prompt(const upstream_choice& choice);
    void refuse_in_overload(const upstream_choice& choice);
    void send_to(upstream_choice choice);
    [[nodiscard]] std::string request_bytes(const ports::attempt_parameters& terms) const;
    void log_sent(const upstream_choice& choice, const ports::attempt_parameters& terms);
    void begin_attempt(upstream_choice choice);
    void count_prompt_placed();
    void call_upstream(std::string bytes);
    [[nodiscard]] ports::attempt_parameters terms_of(const upstream_choice& choice) const;
    bool started(const http::response_head& head);
    void received(std::string bytes);
    void ended();
    void failed(call_failure why);
    void refused_by_upstream();
    void failed_to_go_on();
    void answered_whole();
    void pass_on(const std::string& bytes);
    void look_for_silence();
    void weights_expired();
    void out_of_time();
    void give_up(const char* why, base::code unrun, base::code begun_code,
                 std::optional<base::milliseconds> hint);
    void end_early(const char* why, base::code unrun, base::code begun_code,
                   base::milliseconds hint);
    void caller_caught_up();
    void caller_gone();

    [[nodiscard]] bool has_tries_left() const;
    [[nodiscard]] bool may_send_again() const;
    bool take_retry();
    void prepare_to_go_on();
    void send_again_or_end(const char* why);
    void send_again_as_judged();
    void watch_for_silence();
    void look_for_silence_in(base::micros span);
    [[nodiscard]] silence_view view_of_silence() const;
    bool leave_silent_upstream(bool dead);
    void note_what_it_says();
    void note_heard();
    void count_first_byte();
    void note_pause();
    void note_prompt_read();
    [[nodiscard]] latency::first_byte_sample shown_by_attempt() const;
    void note_prompt_sent();
    void leave_attempt();
    void cancel_attempt();
    void refuse(base::code number, base::execution_state ran, base::milliseconds retry_after);
    void end_without_answer(const char* why);
    void finish(const char* outcome, int status);

    [[nodiscard]] base::milliseconds time_left() const;
    [[nodiscard]] base::micros age() const;
    [[nodiscard]] base::micros unlisted_for(const base::upstream_id& id) const;
    [[nodiscard]] const char* kind_name() const;
    // Null where the upstream has started again since, or is gone.
    [[nodiscard]] fleet::member* member_of_attempt() const;
    [[nodiscard]] fleet::request_work work_of_attempt() const;
    const quarantine::request_identity& identity();

    entry_context& context;
    exchange_ptr exchange;
    // Worked out where it is needed.
    std::optional<quarantine::request_identity> known_identity;
    ports::client_request facts;
    admitted request;
    choice_request wanted;
    // What its team's quota was charged with; nothing where it has none.
    std::optional<quota::units> charged;
    base::milliseconds limit{0};
    adapters::timer overall;
    adapters::timer silence_timer;
    adapters::timer weights_timer;
    adapters::timer trial_timer;
    std::optional<attempt> current;
    // Upstreams that may have begun on the request.
    int begun = 0;
    // The last attempt was the trial of a suspect.
    bool was_trial = false;
    // Calls beyond the first, and connections that never came to stand.
    int sent_again = 0;
    int unreachable = 0;
    stream_relay events;
    std::string whole_body;
    // An upstream's error, for the case that no other upstream gives a better answer.
    std::optional<whole_answer> error_answer;
    answer_state state = answer_state::none;
    bool paused = false;
    // When the current attempt last gave a byte, or was sent.
    base::instant last_progress{};
    // When the watch for silence is to look next.
    base::instant silence_due{};
    std::optional<base::micros> first_byte;
    // When the caller was last sent events, and the longest it has waited for further ones.
    base::instant last_events{};
    base::micros longest_pause{0};
};

} // namespace camphorrail::proxy
