#include "http/writers.h"
#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

#include <algorithm>

// Keeps a stream at the software version that began it, within one response and over the requests
// in which its client resumes it.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Hint for a client whose stream another entry may know, which did not reply.
constexpr milliseconds origin_retry_delay{250};
// An entry renews its view of the store within some tenths of a second, also after its VM was
// suspended.
constexpr milliseconds max_view_wait{600};
constexpr milliseconds view_check_period{50};
// An upstream's statement of its state is a few hundred bytes.
constexpr std::size_t max_state_bytes = 64U << 10U;
// For how long a client is expected to wait that sets no deadline.
constexpr base::minutes default_client_patience{1};

bool leads_to(const routes::route& route, const base::pool_id& pool) {
    return std::any_of(route.destinations.begin(), route.destinations.end(),
                       [&pool](const auto& each) { return each.pool == pool; });
}

// Whether the upstream that began a stream has restarted under its id with other software. The
// stream may have begun just before or just after, so its version is uncertain.
bool has_changed_software(const fleet::fleet& fleet, const resumption::stream_origin& origin) {
    const auto found = fleet.members.find(origin.upstream.id);
    return found != fleet.members.end() && found->second.listed.software != origin.software;
}

} // namespace

bool request_flow::may_be_resumed() const {
    return this->request.route->kind == routes::request_kind::stream &&
           this->request.route->resumable;
}

bool request_flow::resumes_earlier_request() const {
    return this->may_be_resumed() &&
           (!this->metadata.resumes.empty() || !this->metadata.last_event_id.empty());
}

// The version that began every stream of the pool that a client may resume; empty if there may be
// several, or if this entry's view of the store is too old to exclude that.
std::optional<base::software_version> request_flow::only_possible_version() const {
    const auto& state = this->context.state;
    const auto versions = state.software.find(this->criteria.pool);
    // Not the age of the last verification, which covers the operators' part of the store alone.
    const auto complete_as_of = state.store.complete_as_of;
    // An announcement waits only for the entries that were registered before it.
    const bool is_registered = is_registered_entry(this->context);
    const bool is_fresh =
        is_registered && complete_as_of &&
        this->context.now() - *complete_as_of <= resumption::version_rules{}.max_view_age;
    return versions != state.software.end() && is_fresh ? resumption::only_version(versions->second)
                                                        : std::nullopt;
}

// Whether a newer view of the store would tell that the pool has only one version.
bool request_flow::may_wait_for_view() {
    const auto versions = this->context.state.software.find(this->criteria.pool);
    if (versions == this->context.state.software.end() ||
        !resumption::only_version(versions->second)) {
        return false;
    }
    if (!this->view_awaited_since) {
        this->view_awaited_since = this->context.now();
    }
    return this->context.now() - *this->view_awaited_since < max_view_wait;
}

void request_flow::resume_earlier_request() {
    const base::request_id earlier{this->metadata.resumes};
    if (const auto record = resumption::find_origin(this->context.state.origins, earlier)) {
        this->resume_at(record->origin, "own_record");
        return;
    }
    if (const auto version = this->only_possible_version()) {
        const resumption::stream_origin origin{this->criteria.pool, *version, {}};
        if (!earlier.empty()) {
            this->context.record_stream_origin(earlier, origin, this->client_patience());
        }
        this->resume_at(origin, "only_version");
        return;
    }
    if (this->may_wait_for_view()) {
        this->view_timer.set(view_check_period);
        return;
    }
    if (earlier.empty()) {
        this->refuse_resumption("origin_not_named", milliseconds(0));
        return;
    }
    const std::weak_ptr<request_flow> weak = this->shared_from_this();
    this->context.find_stream_origin(earlier, [weak](const origin_answer& answer) {
        if (const auto flow = weak.lock()) {
            flow->on_origin_answer(answer);
        }
    });
}

void request_flow::on_origin_answer(const origin_answer& answer) {
    if (this->state == response_state::ended) {
        return;
    }
    if (answer.origin) {
        this->resume_at(*answer.origin, "entry");
        return;
    }
    this->refuse_resumption("origin_unknown",
                            answer.is_final ? milliseconds(0) : origin_retry_delay);
}

// `source` is logged as the reason why the origin is known.
void request_flow::resume_at(const resumption::stream_origin& earlier_origin, const char* source) {
    if (!leads_to(*this->request.route, earlier_origin.pool)) {
        this->refuse_resumption("pool_left_by_route", milliseconds(0));
        return;
    }
    if (has_changed_software(this->context.state.fleet, earlier_origin)) {
        this->refuse_resumption("upstream_changed_software", milliseconds(0));
        return;
    }
    this->origin = earlier_origin;
    this->criteria.pool = earlier_origin.pool;
    this->criteria.software = earlier_origin.software;
    this->context.log.line(importance::routine, "stream_resumed")
        .text("request", this->metadata.request_id)
        .text("resumes", this->metadata.resumes)
        .text("after_event", this->metadata.last_event_id)
        .text("pool", earlier_origin.pool.value)
        .text("software", earlier_origin.software.value)
        .text("told_by", source)
        .span("after_ms", this->age());
    this->context.metrics.count("camphorrail_streams_resumed_total", {{"told_by", source}});
    this->send_attempt();
}

void request_flow::refuse_resumption(const char* reason, milliseconds retry_after) {
    this->context.log.line(importance::keep, "stream_not_resumed")
        .text("request", this->metadata.request_id)
        .text("resumes", this->metadata.resumes)
        .text("after_event", this->metadata.last_event_id)
        .text("pool", this->criteria.pool.value)
        .text("why", reason)
        .span("after_ms", this->age());
    this->context.metrics.count("camphorrail_streams_not_resumed_total", {{"why", reason}});
    this->refuse(base::code::stream_origin_unknown, base::execution_state::not_run, retry_after);
}

// Called before the first event is forwarded. Another entry must know where the stream began as
// soon as the client can resume it.
void request_flow::record_origin() {
    if (!this->may_be_resumed() || this->origin) {
        return;
    }
    const auto& choice = this->current->choice;
    this->origin = {this->criteria.pool, choice.software, instance_of(choice)};
    this->criteria.software = choice.software;
    if (has_changed_software(this->context.state.fleet, *this->origin)) {
        return;
    }
    this->context.record_stream_origin({this->metadata.request_id}, *this->origin,
                                       this->client_patience());
}

milliseconds request_flow::client_patience() const {
    return this->metadata.deadline.value_or(default_client_patience);
}

// Whether another upstream may continue the stream, if it has begun.
bool request_flow::origin_is_certain() const {
    return !this->origin || !has_changed_software(this->context.state.fleet, *this->origin);
}

// Whether the upstream must state its incarnation before it continues the stream. It may have
// restarted with other software a moment ago, while the platform's list shows it as it was before.
// A connection ends with the process, so one statement on it is enough.
bool request_flow::must_ask_incarnation() const {
    const auto& sent = *this->current;
    return this->origin && sent.choice.incarnation != base::upstream_incarnation{} &&
           sent.connection->stated_incarnation != sent.choice.incarnation;
}

// Asks on the connection on which the request is sent next.
void request_flow::ask_incarnation(std::string request_bytes) {
    const auto& call = this->context.codec.state_request;
    http::fields fields = call.fields;
    fields.push_back({"Host", this->current->choice.address});
    std::string asked =
        http::write_request_head(call.method, call.path, fields, {http::framing::none, 0});
    const auto answer = std::make_shared<std::string>();
    const std::weak_ptr<request_flow> weak = this->weak_from_this();
    const auto on_failure = [weak](call_failure reason) {
        if (const auto self = weak.lock()) {
            // No byte of the request itself was sent.
            const bool withdrawn = reason == call_failure::withdrawn;
            self->on_attempt_failed(withdrawn ? reason : call_failure::never_sent);
        }
    };
    this->current->connection->call(std::move(asked),
                                    {[](const http::response_head&) { return true; },
                                     [weak, answer](const std::string& bytes) {
                                         *answer += bytes;
                                         const auto self = weak.lock();
                                         if (self != nullptr && answer->size() > max_state_bytes) {
                                             self->on_attempt_failed(call_failure::never_sent);
                                         }
                                     },
                                     [weak, answer, bytes = std::move(request_bytes)] {
                                         if (const auto self = weak.lock()) {
                                             self->on_incarnation_stated(*answer, bytes);
                                         }
                                     },
                                     on_failure,
                                     [weak] {
                                         const auto self = weak.lock();
                                         return self != nullptr && self->may_still_send();
                                     }});
}

void request_flow::on_incarnation_stated(const std::string& answer,
                                         const std::string& request_bytes) {
    auto& sent = *this->current;
    const auto stated = this->context.codec.parse_state(answer);
    const bool as_listed =
        stated.has_value() && stated.value().incarnation == sent.choice.incarnation;
    if (as_listed && sent.connection->reusable() && this->may_still_send()) {
        sent.connection->stated_incarnation = sent.choice.incarnation;
        this->call_upstream(request_bytes);
        return;
    }
    this->context.log.line(importance::keep, "upstream_not_as_listed")
        .text("request", this->metadata.request_id)
        .text("upstream", sent.choice.id.value)
        .number("incarnation", sent.choice.incarnation.value)
        .number("stated", stated.has_value() ? stated.value().incarnation.value : 0)
        .flag("connection_kept", sent.connection->reusable());
    this->on_attempt_failed(call_failure::withdrawn);
}

} // namespace camphorrail::proxy
