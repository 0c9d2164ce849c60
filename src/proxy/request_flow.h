#pragma once

#include "adapters/address_probe.h"
#include "adapters/frontend_server.h"
#include "adapters/timer.h"
#include "buffers/yielding.h"
#include "proxy/admission.h"
#include "proxy/context.h"
#include "proxy/stall_detection.h"
#include "proxy/stream_relay.h"
#include "proxy/upstream_choice.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Proxies one client request from its arrival to its final response. Attempts go to one upstream
// after another where the request may be retried.
class request_flow : public std::enable_shared_from_this<request_flow> {
public:
    request_flow(entry_context& context, adapters::client_exchange_ptr exchange);

    void begin();
    // Terminates the request because the process is shutting down.
    void abort_for_shutdown();
    // Cancels this request if it is the one that has just been quarantined and its upstream has not
    // begun to respond: it may still be queued there.
    void cancel_if_quarantined(const quarantine::quarantined_request& hold);
    // Rearms the timer that cancels the current attempt if its upstream has not begun to respond
    // before its weights are outdated for too long. Call it whenever more is known about when
    // weights were named: a request may have been queued at its upstream since before newer weights
    // were named.
    void renew_begin_deadline();

    // Moves the current attempt to another upstream if it waits at this one, which is commonly
    // suspected, and may be repeated. Does nothing if no other upstream can take it.
    void leave_suspected_upstream(const base::upstream_instance& upstream);
    [[nodiscard]] base::request_id id() const;
    // What the request buffers, apart from what its client's connection does.
    [[nodiscard]] buffers::holding buffered() const;
    // Ends the request because the memory that it holds is needed.
    void yield_buffers();
    // Reads the upstream again after a pause that the memory budget called for.
    void resume_reading_if_due();

    // Called once, when the request has ended.
    std::function<void()> on_end;

private:
    // One attempt at one upstream.
    struct attempt {
        upstream_choice choice;
        connection_ptr connection;
        base::instant sent_at;
        ports::response_metadata metadata;
        http::response_head head;
        bool head_received = false;
        // The first byte of the response has been received.
        bool response_started = false;
        // The upstream has been silent for so long that the other entries were warned.
        bool suspected = false;
        // The upstream was chosen although it is missing from the platform's list.
        bool last_resort = false;
        // The attempt is the one trial that is allowed for a request suspected of crashing
        // upstreams.
        bool trial = false;
        // The connection broke, and the upstream may have crashed.
        bool broke = false;
        // The attempt counts against a rate limit that its upstream states.
        bool counts_against_limit = false;
        // When the first byte of the response was received.
        base::instant first_byte_at{};
        // The response has gone on for so long that its upstream will not crash under the prompt.
        bool survived = false;
        // Verifies the end of a response that has no length.
        std::unique_ptr<adapters::address_probe> end_probe;
    };

    struct full_response {
        http::response_head head;
        std::string body;
    };

    // How far the response to the client has got.
    enum class response_state { none, streaming, ended };

    [[nodiscard]] bool may_be_resumed() const;
    [[nodiscard]] bool resumes_earlier_request() const;
    [[nodiscard]] std::optional<base::software_version> only_possible_version() const;
    [[nodiscard]] bool may_wait_for_view();
    void resume_earlier_request();
    void on_origin_answer(const origin_answer& answer);
    void resume_at(const resumption::stream_origin& earlier_origin, const char* source);
    void refuse_resumption(const char* reason, base::milliseconds retry_after);
    void record_origin();
    [[nodiscard]] base::milliseconds client_patience() const;
    [[nodiscard]] bool origin_is_certain() const;
    [[nodiscard]] bool must_ask_incarnation() const;
    void ask_incarnation(std::string request_bytes);
    void on_incarnation_stated(const std::string& answer, const std::string& request_bytes);
    void send_attempt();
    bool refuse_if_exit_is_near();
    void record_run_time();
    [[nodiscard]] buffers::holder_id holder() const;
    bool refuse_if_memory_exhausted();
    void update_buffers();
    void pause_reading_if_due(std::size_t bytes);
    bool refuse_if_over_quota();
    void settle_quota();
    bool refuse_if_beyond_share();
    void settle_share();
    [[nodiscard]] bool is_shared() const;
    void update_shares();
    [[nodiscard]] base::milliseconds expected_slot_time() const;
    bool refuse_if_quarantined();
    void report_broken_attempt();
    void clear_suspicion();
    [[nodiscard]] bool is_first_attempt() const;
    bool may_still_send();
    bool count_against_limit();
    [[nodiscard]] std::optional<base::instant> current_begin_deadline() const;
    bool admit_prompt(const upstream_choice& choice);
    void refuse_in_overload(const upstream_choice& choice);
    [[nodiscard]] int upstream_rank() const;
    [[nodiscard]] queueing::pool_request ranked_request(const upstream_choice& choice,
                                                        bool acceptable) const;
    bool admit_by_rank(const upstream_choice& choice, bool acceptable);
    base::milliseconds schedule_return(const upstream_choice& choice);
    void record_rank_loss();
    void send_to(upstream_choice choice);
    [[nodiscard]] std::string request_bytes(const ports::attempt_parameters& parameters) const;
    void log_sent(const upstream_choice& choice, const ports::attempt_parameters& parameters);
    void begin_attempt(upstream_choice choice);
    void count_placed_tokens();
    void call_upstream(std::string bytes);
    [[nodiscard]] ports::attempt_parameters parameters_for(const upstream_choice& choice) const;
    bool on_response_head(const http::response_head& head);
    void on_response_body(std::string bytes);
    void on_response_end();
    [[nodiscard]] bool is_stream_response() const;
    [[nodiscard]] bool is_cut_stream() const;
    void log_end_by_close();
    void verify_end();
    void probe_end(int probes_left);
    void on_end_probed(adapters::address_state state, int probes_left);
    void on_response_complete();
    void on_attempt_failed(call_failure reason);
    void on_upstream_refusal();
    void on_resume_failed();
    void on_full_response();
    void forward_events(const std::string& bytes);
    void send_events(const std::string& complete_events);
    void check_for_stall();
    void on_weights_expired();
    void on_timeout();
    void fail_request(const char* reason, base::code not_run_code, base::code maybe_run_code,
                      std::optional<base::milliseconds> hint);
    void terminate(const char* reason, base::code not_run_code, base::code maybe_run_code,
                   base::milliseconds hint);
    void on_client_drained();
    void on_client_disconnected();

    [[nodiscard]] bool has_retries_left() const;
    [[nodiscard]] bool may_retry() const;
    bool consume_retry();
    void prepare_to_resume();
    void retry_or_fail(const char* reason);
    void retry_as_suspect();
    void start_stall_timer();
    void check_for_stall_in(base::micros span);
    [[nodiscard]] stall_view current_stall_view() const;
    bool fail_over(bool dead);
    void handle_upstream_signals();
    void record_stated_limit();
    void refuse_without_upstream();
    void record_progress();
    void record_byte();
    void record_first_byte();
    void record_pause();
    void report_prompt_read();
    void record_slot_time();
    [[nodiscard]] latency::first_byte_sample first_byte_sample() const;
    void record_prompt_sent();
    void end_attempt();
    void cancel_attempt();
    void refuse(base::code number, base::execution_state ran, base::milliseconds retry_after);
    void abort_response(const char* reason);
    void finish(const char* outcome, int status);

    [[nodiscard]] base::milliseconds time_left() const;
    [[nodiscard]] base::micros age() const;
    [[nodiscard]] base::micros unlisted_time(const base::upstream_id& id) const;
    [[nodiscard]] const char* kind_name() const;
    // Null if the upstream has restarted since the attempt was sent, or is gone.
    [[nodiscard]] fleet::member* current_member() const;
    [[nodiscard]] fleet::request_work current_work() const;
    const quarantine::request_identity& identity();
    [[nodiscard]] quarantine::identity_parts identity_parts() const;
    void record_completion();
    const std::vector<quarantine::request_identity>& shared_parts();
    quarantine::request_suspects suspects();
    void check_survival();
    void record_survived_parts();

    entry_context& context;
    adapters::client_exchange_ptr exchange;
    // Computed on first use.
    std::optional<quarantine::request_identity> cached_identity;
    std::optional<std::vector<quarantine::request_identity>> cached_parts;
    ports::client_request metadata;
    admitted_request request;
    selection_criteria criteria;
    // Where the stream began that this request begins or resumes; empty before its first event.
    std::optional<resumption::stream_origin> origin;
    // Units charged to the team's quota; empty if the team has no quota.
    std::optional<quota::units> charged_quota;
    // What the request was charged to its team's share of the pool; empty if it was not.
    std::optional<shares::share_request> charged_share;
    base::milliseconds timeout{0};
    adapters::timer timeout_timer;
    adapters::timer stall_timer;
    adapters::timer weights_timer;
    adapters::timer trial_timer;
    adapters::timer view_timer;
    // Since when a request that resumes a stream waits for a newer view of the store.
    std::optional<base::instant> view_awaited_since;
    std::optional<attempt> current;
    // Number of upstreams that may have begun to execute the request.
    int possible_executions = 0;
    // The decision on a prompt that has a rank.
    std::optional<queueing::ranked_decision> rank_decision;
    // The request, or a part of its prompt, was a suspect when the last attempt ended.
    bool was_suspect = false;
    // Attempts after the first, and connections that could not be established.
    int retry_count = 0;
    int unreachable_count = 0;
    stream_relay relay;
    std::string body_buffer;
    // An upstream's error response, sent to the client if no other upstream gives a better one.
    std::optional<full_response> upstream_error;
    response_state state = response_state::none;
    buffers::reading_state reading;
    // When the current attempt last received a byte, or was sent.
    base::instant last_progress{};
    // When the next stall check is due.
    base::instant stall_check_due{};
    std::optional<base::micros> time_to_first_byte;
    // When events were last sent to the client, and the longest time between two such sends.
    base::instant last_forwarded_at{};
    base::micros longest_pause{0};
};

} // namespace camphorrail::proxy
