#include "proxy/request_flow.h"

#include "base/hash.h"
#include "http/writers.h"
#include "process/problem.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// For routes without a timeout, from callers without a deadline.
constexpr milliseconds default_limit{60000};
// What a request's way to an upstream and back takes at least.
constexpr milliseconds hop{4};
// With less time than this no upstream can answer.
constexpr milliseconds least_time{15};
// A request that has had no answer for this many targets goes elsewhere, if it may. By then it is
// late, and what it has waited for so long it may go on waiting for.
constexpr int silent_targets = 6;
constexpr milliseconds shortest_silence{200};
// An upstream that has sent nothing on any request for this part of the target, while one waits, is
// dead or cut off. A step of an engine takes 50 ms at most, with a piece of a long prompt in it;
// the longest prompts alone on an engine take 200 ms to read.
constexpr milliseconds shortest_dead{120};
base::micros dead_after(milliseconds target) {
    return std::max<base::micros>(target * 5 / 4, shortest_dead);
}
// A stream's first event may wait behind other prompts; a pause in mid-stream is held to the gap
// target, and upstreams that preempt a stream read its prompt again.
constexpr int silent_gaps = 4;
constexpr milliseconds shortest_gap{800};
// Upstreams that refuse are free to ask, but each costs a round trip and a retry.
constexpr int most_sent_again = 3;
constexpr int most_unreachable = 4;
// When no other entry is known to be better off, a caller that comes back meets another entry.
constexpr milliseconds other_entry{60};
constexpr std::size_t unsent_pause_bytes = 256U << 10U;
constexpr std::size_t most_whole_bytes = 8U << 20U;
constexpr int first_error_status = 500;
constexpr int first_refusal_status = 300;
// An upstream that is full, or is just changing weights, is asked again after this long.
constexpr milliseconds full_pause{40};
constexpr milliseconds loading_pause{250};
// An upstream that says how long it keeps idle connections is taken at its word, less a quarter.
// One that says nothing is trusted for this long.
constexpr milliseconds unknown_keep{2000};
// A call that may not run twice is lost if its connection turns out to be dead, so it takes only
// connections that were used this recently; a new one costs a round trip.
constexpr milliseconds once_longest_idle{700};
constexpr base::seconds any_longest_idle{60};

http::fields caller_fields(const http::response_head& head) {
    http::fields sent;
    for (const auto& one : head.all) {
        if (!http::same_name(one.name, "Content-Length") &&
            !http::is_hop_by_hop(head.all, one.name)) {
            sent.push_back(one);
        }
    }
    return sent;
}

std::uint64_t number_of(const ports::caller_request& facts) {
    const bool shares = facts.parts.size() > 1;
    return base::stable_hash(shares ? facts.parts[facts.parts.size() - 2].id : facts.request_id);
}

} // namespace

request_flow::request_flow(entry_context& context, exchange_ptr exchange)
    : context(context), exchange(std::move(exchange)),
      overall(context.loop.base(), [this] { this->out_of_time(); }),
      silence(context.loop.base(), [this] { this->silent(); }) {}

void request_flow::begin() {
    const auto held = this->shared_from_this();
    const std::weak_ptr<request_flow> weak = held;
    this->exchange->gone.connect([weak] {
        if (const auto flow = weak.lock()) {
            flow->caller_gone();
        }
    });
    this->exchange->drained.connect([weak] {
        if (const auto flow = weak.lock()) {
            flow->caller_caught_up();
        }
    });
    auto read = this->context.words.read_request(this->exchange->head);
    if (!read.has_value()) {
        this->refuse(base::to_code(read.error()), base::ran::not_run, milliseconds(0));
        return;
    }
    this->facts = std::move(read.value());
    const auto admission = admit({this->context.state.config,
                                  mirror::age(this->context.state.store, this->context.now()),
                                  longest_config_age(this->context.settings)},
                                 this->exchange->head, this->facts);
    if (!admission.has_value()) {
        const auto number = base::to_code(admission.error());
        const bool come_back = number == base::code::not_ready;
        this->refuse(number, base::ran::not_run, come_back ? other_entry : milliseconds(0));
        return;
    }
    this->request = admission.value();
    const auto& route = *this->request.route;
    this->limit = route.timeout.count() > 0 ? route.timeout : default_limit;
    if (this->facts.deadline) {
        this->limit = std::min(this->limit, *this->facts.deadline);
    }
    this->wanted.number = number_of(this->facts);
    this->wanted.draw = base::stable_hash(this->facts.request_id);
    this->wanted.pool = routes::choose_pool(route, this->wanted.number);
    this->wanted.target = route.target;
    this->wanted.prompt = route.shares_prompts ? &this->facts : nullptr;
    if (this->request.team != nullptr && this->request.team->isolated) {
        this->wanted.isolated_team = this->request.team->id;
    }
    admission::note_request(this->context.state.retries[this->wanted.pool]);
    this->overall.set(this->time_left());
    this->send_attempt();
}

milliseconds request_flow::time_left() const {
    return this->limit - std::chrono::duration_cast<milliseconds>(this->age());
}

base::micros request_flow::age() const {
    return this->context.now() - this->exchange->arrived;
}

const char* request_flow::kind_name() const {
    if (this->request.route == nullptr) {
        return "none";
    }
    switch (this->request.route->kind) {
    case routes::request_kind::idempotent:
        return "idempotent";
    case routes::request_kind::once:
        return "once";
    case routes::request_kind::stream:
        break;
    }
    return this->request.route->resumable ? "resumable_stream" : "stream";
}

fleet::member* request_flow::member_of_attempt() const {
    const auto found = this->context.state.fleet.members.find(this->current->choice.id);
    return found == this->context.state.fleet.members.end() ? nullptr : &found->second;
}

void request_flow::send_attempt() {
    if (this->time_left() < least_time) {
        this->out_of_time();
        return;
    }
    auto choice = choose_upstream(this->context, this->wanted);
    if (!choice) {
        const bool untouched = this->begun == 0;
        if (this->state == answer_state::streaming) {
            this->end_without_answer("no_upstream");
        } else if (untouched) {
            this->refuse(base::code::no_upstream, base::ran::not_run,
                         when_free(this->context, this->wanted.pool));
        } else {
            this->refuse(base::code::upstream_failed, base::ran::unknown, milliseconds(0));
        }
        return;
    }
    this->send_to(std::move(*choice));
}

ports::attempt_terms request_flow::terms_of(const upstream_choice& choice) const {
    ports::attempt_terms terms;
    terms.instance = choice.id;
    terms.team = this->request.team == nullptr ? base::team_id{} : this->request.team->id;
    terms.time_left = this->time_left() - hop;
    terms.priority = choice.behind ? last_rank : rank_of(this->request);
    terms.cache_salt = choice.cache_salt;
    terms.fetch_from = choice.fetch_from;
    terms.save_to = choice.save_to;
    terms.weights = choice.weights;
    terms.last_event = this->events.last_event;
    return terms;
}

void request_flow::send_to(upstream_choice choice) {
    const auto& head = this->exchange->head;
    const auto terms = this->terms_of(choice);
    const bool has_body = !this->exchange->body.empty() || http::has(head.all, "Content-Length") ||
                          http::has(head.all, "Transfer-Encoding");
    std::string bytes = http::write_request_head(
        head.method, head.target, this->context.words.attempt_fields(head, terms),
        {has_body ? http::framing::length : http::framing::none, this->exchange->body.size()});
    bytes += this->exchange->body;
    this->context.log.line(importance::routine, "sent")
        .text("request", this->facts.request_id)
        .text("route", this->request.route->name)
        .text("kind", this->kind_name())
        .text("upstream", choice.id.value)
        .text("why", choice.why)
        .number("weights", choice.weights)
        .text("fetch_from", choice.fetch_from)
        .number("config_version", this->request.config->version)
        .span("config_age_ms",
              mirror::age(this->context.state.store, this->context.now()).value_or(base::micros(0)))
        .number("time_left_ms", terms.time_left.count())
        .number("rank", terms.priority)
        .flag("gives_way", choice.behind)
        .number("to_read", choice.to_read)
        .number("unread_there", choice.unread_there)
        .number("tries", this->begun + this->sent_again + this->unreachable);

    this->current = attempt{};
    this->current->choice = std::move(choice);
    this->current->sent_at = this->context.now();
    this->last_progress = this->current->sent_at;
    const auto& sent = this->current->choice;
    const bool once = !may_repeat(*this->request.route);
    this->current->connection = this->context.connections.take(
        sent.id, sent.address, once ? base::micros(once_longest_idle) : any_longest_idle);
    if (auto* one = this->member_of_attempt()) {
        ++one->in_flight;
        one->unread_tokens += sent.behind ? 0 : sent.to_read;
        this->current->unread = true;
    }
    this->watch_for_silence();
    const std::weak_ptr<request_flow> weak = this->weak_from_this();
    this->current->connection->call(std::move(bytes), {[weak](const http::response_head& answer) {
                                                           const auto held = weak.lock();
                                                           return held != nullptr &&
                                                                  held->started(answer);
                                                       },
                                                       [weak](std::string piece) {
                                                           if (const auto held = weak.lock()) {
                                                               held->received(std::move(piece));
                                                           }
                                                       },
                                                       [weak] {
                                                           if (const auto held = weak.lock()) {
                                                               held->ended();
                                                           }
                                                       },
                                                       [weak](call_failure why) {
                                                           if (const auto held = weak.lock()) {
                                                               held->failed(why);
                                                           }
                                                       }});
}

// How long an upstream may say nothing on this request before it is looked into.
milliseconds request_flow::silence_limit() const {
    const auto& route = *this->request.route;
    if (this->state == answer_state::streaming) {
        return std::max(route.gap_target * silent_gaps, shortest_gap);
    }
    return std::max(route.target * silent_targets, shortest_silence);
}

void request_flow::watch_for_silence() {
    const auto& route = *this->request.route;
    if (this->state == answer_state::streaming && !route.resumable) {
        this->silence.clear();
        return;
    }
    this->silence.set(std::min<base::micros>(this->silence_limit(), dead_after(route.target)));
}

// Whether nothing at all has come from the upstream lately. One that is only slow still says
// something on its other requests; taking its work away then would only move the load.
bool request_flow::upstream_is_dead() const {
    const auto* one = this->member_of_attempt();
    const auto heard =
        one == nullptr ? this->current->sent_at : std::max(one->heard_at, this->current->sent_at);
    return this->context.now() - heard >= dead_after(this->request.route->target);
}

bool request_flow::started(const http::response_head& head) {
    const auto answer = this->context.words.read_answer(head);
    if (answer.request_id != this->facts.request_id) {
        // An upstream may send a second answer to an earlier request; ours is still to come.
        this->context.log.line(importance::keep, "foreign_answer_dropped")
            .text("request", this->facts.request_id)
            .text("upstream", this->current->choice.id.value)
            .text("answers", answer.request_id)
            .number("status", head.status);
        return false;
    }
    this->note_heard();
    this->current->answering = true;
    this->current->head = head;
    this->current->facts = answer;
    if (auto* one = this->member_of_attempt(); one != nullptr && answer.load) {
        one->load = answer.load;
        one->load_at = this->context.now();
    }
    return true;
}

void request_flow::note_heard() {
    this->last_progress = this->context.now();
    if (auto* one = this->member_of_attempt()) {
        one->heard_at = this->last_progress;
    }
}

void request_flow::received(std::string bytes) {
    this->note_heard();
    const bool success = this->current->head.status < first_refusal_status;
    if (success && this->request.route->kind == routes::request_kind::stream) {
        this->pass_on(bytes);
        return;
    }
    this->whole_body += bytes;
    if (this->whole_body.size() > most_whole_bytes) {
        this->failed(call_failure::malformed);
    }
}

void request_flow::pass_on(const std::string& bytes) {
    const std::string whole_events = relay(this->events, bytes);
    if (whole_events.empty()) {
        return;
    }
    this->count_first_byte();
    if (this->state == answer_state::none) {
        this->state = answer_state::streaming;
        this->exchange->start(this->current->head.status, caller_fields(this->current->head));
    }
    this->exchange->send(whole_events);
    this->watch_for_silence();
    if (this->exchange->unsent() > unsent_pause_bytes) {
        this->paused = true;
        this->current->connection->pause_reading();
    }
}

// The first byte shows that the upstream has read the prompt and holds it from now on.
void request_flow::count_first_byte() {
    if (!this->current->unread) {
        return;
    }
    this->current->unread = false;
    const auto& choice = this->current->choice;
    if (auto* one = this->member_of_attempt()) {
        one->unread_tokens -= choice.behind ? 0 : choice.to_read;
    }
    kvcache::note_read(this->context.state.cache, choice.chain, choice.id, !choice.save_to.empty(),
                       this->context.now());
    if (!this->first_byte) {
        this->first_byte = this->age();
        this->context.metrics.observe_seconds(
            "camphorrail_first_byte_seconds",
            std::chrono::duration<double>(*this->first_byte).count(),
            {{"kind", this->kind_name()}});
    }
}

void request_flow::ended() {
    const auto held = this->shared_from_this();
    if (this->current->facts.not_run) {
        this->refused_by_upstream();
        return;
    }
    this->note_begun();
    if (this->state == answer_state::streaming) {
        const int status = this->current->head.status;
        note_upstream_success(this->context, this->current->choice.id);
        this->leave_attempt();
        this->exchange->finish();
        this->finish("ok", status);
        return;
    }
    this->answered_whole();
}

void request_flow::note_begun() {
    ++this->begun;
}

void request_flow::answered_whole() {
    this->count_first_byte();
    const http::response_head head = std::move(this->current->head);
    const bool error = head.status >= first_error_status;
    const auto id = this->current->choice.id;
    const bool in_time = this->time_left() > least_time;
    if (error && in_time) {
        note_upstream_error(this->context, id);
    } else if (!error) {
        note_upstream_success(this->context, id);
    }
    if (error && this->request.route->kind == routes::request_kind::idempotent &&
        this->may_send_again() && this->take_retry()) {
        this->leave_attempt();
        this->wanted.tried.push_back(id);
        this->error_answer = whole_answer{head, std::exchange(this->whole_body, {})};
        this->send_attempt();
        return;
    }
    this->leave_attempt();
    this->exchange->answer(head.status, caller_fields(head), this->whole_body);
    this->finish(error ? "upstream_error" : "ok", head.status);
}

// The upstream states that it has not run the request, so it may go to another one, whatever its
// kind: a refusal counts as no run.
void request_flow::refused_by_upstream() {
    const upstream_choice choice = this->current->choice;
    auto* one = this->member_of_attempt();
    const auto load = this->current->facts.load;
    const bool has_room = load && load->waiting == 0 && load->running < load->slots;
    const bool outdated = this->wanted.prompt != nullptr &&
                          choice.weights < newest(this->context.state.weights[this->facts.model]);
    if (one != nullptr) {
        const bool changing = outdated || this->current->facts.wrong_instance;
        one->busy_until = std::max(one->busy_until,
                                   this->context.now() + (changing ? loading_pause : full_pause));
    }
    if (has_room && !outdated) {
        note_upstream_failure(this->context, choice.id, "refuses_with_room");
    }
    this->context.log.line(importance::keep, "refused_by_upstream")
        .text("request", this->facts.request_id)
        .text("upstream", choice.id.value)
        .number("status", this->current->head.status)
        .number("weights_expected", choice.weights)
        .number("weights_there", this->current->facts.weights.value_or(0))
        .number("running", load ? load->running : -1)
        .number("waiting", load ? load->waiting : -1);
    this->wanted.tried.push_back(choice.id);
    this->leave_attempt();
    this->whole_body.clear();
    const bool again =
        this->sent_again<most_sent_again&& this->time_left()> least_time && this->take_retry();
    if (again) {
        this->send_attempt();
    } else if (this->state == answer_state::streaming) {
        this->end_without_answer("refused_by_upstream");
    } else if (this->begun == 0) {
        this->refuse(base::code::overloaded, base::ran::not_run,
                     when_free(this->context, this->wanted.pool));
    } else {
        this->refuse(base::code::upstream_failed, base::ran::unknown, milliseconds(0));
    }
}

void request_flow::failed(call_failure why) {
    const auto held = this->shared_from_this();
    const auto id = this->current->choice.id;
    const char* name = why == call_failure::never_sent  ? "unreachable"
                       : why == call_failure::malformed ? "malformed_answer"
                                                        : "connection_broke";
    this->context.log.line(importance::keep, "attempt_failed")
        .text("request", this->facts.request_id)
        .text("kind", this->kind_name())
        .text("upstream", id.value)
        .text("why", name)
        .flag("answer_begun", this->current->answering)
        .text("last_event", this->events.last_event)
        .span("after_ms", this->context.now() - this->current->sent_at);
    note_upstream_failure(this->context, id, name);
    this->cancel_attempt();
    this->wanted.tried.push_back(id);
    if (why != call_failure::never_sent) {
        this->note_begun();
        this->send_again_or_end(name);
        return;
    }
    // Nothing has left, so nothing is repeated.
    ++this->unreachable;
    // A connection that can't be made says more than an answer that fails.
    note_upstream_failure(this->context, id, name);
    if (this->unreachable < most_unreachable) {
        this->send_attempt();
    } else {
        this->send_again_or_end(name);
    }
}

bool request_flow::may_send_again() const {
    return may_repeat(*this->request.route) && this->begun < this->request.route->attempts &&
           this->sent_again<most_sent_again&& this->time_left()> least_time;
}

bool request_flow::take_retry() {
    if (!admission::take_retry(this->context.state.retries[this->wanted.pool])) {
        this->context.metrics.count("camphorrail_retries_denied_total");
        return false;
    }
    ++this->sent_again;
    this->context.metrics.count("camphorrail_retries_total");
    return true;
}

void request_flow::send_again_or_end(const char* why) {
    if (this->may_send_again() && this->take_retry()) {
        this->whole_body.clear();
        resume_relay(this->events);
        this->send_attempt();
        return;
    }
    if (this->state == answer_state::streaming) {
        this->end_without_answer(why);
        return;
    }
    if (this->begun == 0) {
        this->refuse(base::code::no_upstream, base::ran::not_run,
                     when_free(this->context, this->wanted.pool));
        return;
    }
    this->refuse(base::code::upstream_failed, base::ran::unknown, milliseconds(0));
}

void request_flow::silent() {
    const auto held = this->shared_from_this();
    if (!this->current || this->paused) {
        return;
    }
    const bool dead = this->upstream_is_dead();
    const base::micros waited = this->context.now() - this->last_progress;
    if (dead && !this->current->suspected) {
        this->current->suspected = true;
        note_upstream_failure(this->context, this->current->choice.id, "silent");
    }
    const bool last_attempt = this->begun + 1 >= this->request.route->attempts;
    const bool waited_out = dead || waited >= this->silence_limit();
    if (last_attempt || !this->may_send_again()) {
        if (!this->current->suspected) {
            this->silence.set(dead_after(this->request.route->target));
        }
        return;
    }
    if (!waited_out) {
        this->silence.set(std::min<base::micros>(this->silence_limit() - waited,
                                                 dead_after(this->request.route->target)));
        return;
    }
    this->context.log.line(importance::keep, "attempt_silent")
        .text("request", this->facts.request_id)
        .text("upstream", this->current->choice.id.value)
        .flag("upstream_dead", dead)
        .text("last_event", this->events.last_event)
        .span("after_ms", this->context.now() - this->current->sent_at);
    this->wanted.tried.push_back(this->current->choice.id);
    this->cancel_attempt();
    this->note_begun();
    this->send_again_or_end("silent");
}

void request_flow::out_of_time() {
    const auto held = this->shared_from_this();
    if (this->current) {
        if (this->current->connection->may_have_sent()) {
            this->note_begun();
        }
        this->cancel_attempt();
    }
    if (this->state == answer_state::streaming) {
        this->end_without_answer("timed_out");
    } else if (this->begun == 0) {
        this->refuse(base::code::no_upstream, base::ran::not_run, other_entry);
    } else {
        this->refuse(base::code::timed_out, base::ran::unknown, milliseconds(0));
    }
}

void request_flow::caller_caught_up() {
    if (this->paused && this->current) {
        this->paused = false;
        this->current->connection->resume_reading();
    }
}

void request_flow::caller_gone() {
    if (this->state == answer_state::ended) {
        return;
    }
    const auto held = this->shared_from_this();
    if (this->current) {
        this->cancel_attempt();
    }
    this->finish("caller_gone", 0);
}

void request_flow::break_off() {
    const auto held = this->shared_from_this();
    if (this->current) {
        if (this->current->connection->may_have_sent()) {
            this->note_begun();
        }
        this->cancel_attempt();
    }
    if (this->state == answer_state::streaming) {
        this->end_without_answer("shutting_down");
    } else if (this->begun == 0) {
        this->refuse(base::code::shutting_down, base::ran::not_run, other_entry);
    } else {
        this->refuse(base::code::upstream_failed, base::ran::unknown, milliseconds(0));
    }
}

// The attempt is over and its connection may serve another call.
void request_flow::leave_attempt() {
    this->silence.clear();
    auto* one = this->member_of_attempt();
    if (one != nullptr) {
        --one->in_flight;
        if (this->current->unread) {
            const auto& choice = this->current->choice;
            one->unread_tokens -= choice.behind ? 0 : choice.to_read;
        }
    }
    const auto left = std::move(*this->current);
    this->current.reset();
    const auto idle = left.facts.idle_timeout;
    this->context.connections.give_back(left.choice.id, left.connection,
                                        idle ? *idle * 3 / 4 : unknown_keep);
}

void request_flow::cancel_attempt() {
    this->current->connection->cancel();
    this->leave_attempt();
}

void request_flow::refuse(base::code number, base::ran ran, milliseconds retry_after) {
    if (this->error_answer) {
        // An upstream's own error says more than ours.
        const whole_answer kept = std::move(*this->error_answer);
        this->exchange->answer(kept.head.status, caller_fields(kept.head), kept.body);
        this->finish("upstream_error", kept.head.status);
        return;
    }
    const int status = base::describe(number).http_status;
    const auto upstreams = count_pool(this->context, this->wanted.pool);
    this->context.log.line(importance::keep, "refused")
        .text("request", this->facts.request_id)
        .text("kind", this->kind_name())
        .text("code", base::describe(number).name)
        .text("ran", base::to_string(ran))
        .number("retry_after_ms", retry_after.count())
        .number("config_version",
                this->context.state.config == nullptr ? 0 : this->context.state.config->version)
        .span(
            "config_age_ms",
            mirror::age(this->context.state.store, this->context.now()).value_or(base::micros(-1)))
        .number("sent_again", this->sent_again)
        .number("unreachable", this->unreachable)
        .number("pool_listed", upstreams.listed)
        .number("pool_fit", upstreams.fit)
        .number("pool_busy", upstreams.busy)
        .number("pool_ejected", upstreams.ejected);
    this->context.metrics.count("camphorrail_refusals_total",
                                {{"code", std::string(base::describe(number).name)},
                                 {"ran", std::string(base::to_string(ran))}});
    const process::problem problem{number, ran, retry_after, ""};
    this->exchange->answer(status,
                           this->context.words.refusal_fields(this->facts.request_id, retry_after),
                           process::to_json(problem) + "\n");
    this->finish("refused", status);
}

// The answer has begun and can't be completed, or there is nobody to answer.
void request_flow::end_without_answer(const char* why) {
    this->exchange->abort();
    this->context.log.line(importance::keep, "broken_off")
        .text("request", this->facts.request_id)
        .text("kind", this->kind_name())
        .text("why", why)
        .text("last_event", this->events.last_event);
    this->finish(why, 0);
}

void request_flow::finish(const char* outcome, int status) {
    if (this->state == answer_state::ended) {
        return;
    }
    this->state = answer_state::ended;
    this->overall.clear();
    this->silence.clear();
    const bool fine = std::string_view(outcome) == "ok";
    this->context.log.line(fine ? importance::routine : importance::keep, "ended")
        .text("request", this->facts.request_id)
        .text("outcome", outcome)
        .number("status", status)
        .span("first_byte_ms", this->first_byte.value_or(base::micros(0)))
        .span("total_ms", this->age())
        .number("begun", this->begun)
        .number("sent_again", this->sent_again);
    this->context.metrics.count("camphorrail_answers_total",
                                {{"kind", this->kind_name()}, {"outcome", outcome}});
    const auto told = std::move(this->on_end);
    if (told) {
        told();
    }
}

} // namespace camphorrail::proxy
