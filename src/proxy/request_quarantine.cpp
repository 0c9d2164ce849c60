#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

// Handles requests that are suspected of crashing upstreams.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Retry-After hint while another copy of the request is on trial. Most trials end within this time.
constexpr milliseconds trial_delay{300};

} // namespace

const quarantine::request_identity& request_flow::identity() {
    if (!this->cached_identity) {
        const std::string_view client_id = this->request.team == nullptr
                                               ? this->metadata.bearer_key
                                               : this->request.team->id.value;
        this->cached_identity =
            quarantine::identify({this->exchange->head.target, client_id, this->exchange->body});
    }
    return *this->cached_identity;
}

// Ends the request if quarantine does not allow it to be sent now; returns true if so.
bool request_flow::refuse_if_quarantined() {
    this->criteria.suspect = false;
    const auto& state = this->context.state.quarantine;
    if (!quarantine::may_be_suspect(state, this->exchange->body.size())) {
        return false;
    }
    const auto evaluation =
        quarantine::evaluate(state, this->identity().digest, this->context.now(), {});
    this->criteria.suspect = evaluation.what == quarantine::verdict::trial;
    if (evaluation.what == quarantine::verdict::allowed || this->criteria.suspect) {
        return false;
    }
    const bool is_quarantined = evaluation.what == quarantine::verdict::quarantined;
    const auto refusal_code = is_quarantined ? base::code::quarantined : base::code::suspect_tried;
    const char* reason = is_quarantined ? "quarantined" : "suspect_tried";
    this->context.log.line(importance::keep, "kept_from_upstreams")
        .text("request", this->metadata.request_id)
        .text("digest", this->identity().digest.value)
        .text("why", reason)
        .span("left_ms", evaluation.retry_after);
    this->fail_request(reason, refusal_code, base::code::upstream_failed,
                       is_quarantined ? std::chrono::ceil<milliseconds>(evaluation.retry_after)
                                      : trial_delay);
    return true;
}

void request_flow::clear_suspicion() {
    auto& state = this->context.state.quarantine;
    if (quarantine::may_be_suspect(state, this->exchange->body.size())) {
        quarantine::clear_suspicion(state, this->identity().digest, this->context.now());
    }
}

void request_flow::cancel_if_quarantined(const quarantine::quarantined_request& hold) {
    const bool may_cancel =
        this->state == response_state::none && this->current && !this->current->response_started;
    const bool same_body_size = this->exchange->body.size() == hold.request.body_bytes;
    if (may_cancel && same_body_size && this->identity() == hold.request) {
        this->terminate("quarantined", base::code::quarantined, base::code::upstream_failed,
                        std::chrono::ceil<milliseconds>(hold.span));
    }
}

} // namespace camphorrail::proxy
