#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

// What becomes of a request under which upstreams have crashed.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Most trials are over within this time.
constexpr milliseconds trial_delay{300};

} // namespace

const quarantine::request_identity& request_flow::identity() {
    if (!this->cached_identity) {
        const std::string_view caller = this->request.team == nullptr
                                            ? this->metadata.bearer_key
                                            : this->request.team->id.value;
        this->cached_identity =
            quarantine::identify({this->exchange->head.target, caller, this->exchange->body});
    }
    return *this->cached_identity;
}

// Whether the request may not be sent now; it is ended then.
bool request_flow::refuse_if_quarantined() {
    this->criteria.suspect = false;
    const auto& known = this->context.state.quarantine;
    if (!quarantine::may_be_suspect(known, this->exchange->body.size())) {
        return false;
    }
    const auto judged =
        quarantine::evaluate(known, this->identity().digest, this->context.now(), {});
    this->criteria.suspect = judged.what == quarantine::verdict::trial;
    if (judged.what == quarantine::verdict::allowed || this->criteria.suspect) {
        return false;
    }
    const bool held = judged.what == quarantine::verdict::quarantined;
    const auto number = held ? base::code::quarantined : base::code::suspect_tried;
    const char* reason = held ? "quarantined" : "suspect_tried";
    this->context.log.line(importance::keep, "kept_from_upstreams")
        .text("request", this->metadata.request_id)
        .text("digest", this->identity().digest.value)
        .text("why", reason)
        .span("left_ms", judged.retry_after);
    this->fail_request(reason, number, base::code::upstream_failed,
                       held ? std::chrono::ceil<milliseconds>(judged.retry_after) : trial_delay);
    return true;
}

void request_flow::clear_suspicion() {
    auto& known = this->context.state.quarantine;
    if (quarantine::may_be_suspect(known, this->exchange->body.size())) {
        quarantine::clear_suspicion(known, this->identity().digest, this->context.now());
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
