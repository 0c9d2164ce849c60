#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

// What becomes of a request under which upstreams have crashed.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Most trials are over within this time.
constexpr milliseconds trial_hint{300};

} // namespace

const quarantine::request_identity& request_flow::identity() {
    if (!this->known_identity) {
        const std::string_view caller =
            this->request.team == nullptr ? this->facts.bearer_key : this->request.team->id.value;
        this->known_identity =
            quarantine::identify({this->exchange->head.target, caller, this->exchange->body});
    }
    return *this->known_identity;
}

// Whether the request may not be sent now; it is ended then.
bool request_flow::stopped_by_quarantine() {
    this->wanted.suspect = false;
    const auto& known = this->context.state.quarantine;
    if (!quarantine::may_be_suspect(known, this->exchange->body.size())) {
        return false;
    }
    const auto judged =
        quarantine::evaluate(known, this->identity().digest, this->context.now(), {});
    this->wanted.suspect = judged.what == quarantine::verdict::trial;
    if (judged.what == quarantine::verdict::allowed || this->wanted.suspect) {
        return false;
    }
    const bool held = judged.what == quarantine::verdict::quarantined;
    const auto number = held ? base::code::quarantined : base::code::suspect_tried;
    const char* why = held ? "quarantined" : "suspect_tried";
    this->context.log.line(importance::keep, "kept_from_upstreams")
        .text("request", this->facts.request_id)
        .text("digest", this->identity().digest.value)
        .text("why", why)
        .span("left_ms", judged.retry_after);
    this->give_up(why, number, base::code::upstream_failed,
                  held ? std::chrono::ceil<milliseconds>(judged.retry_after) : trial_hint);
    return true;
}

void request_flow::acquit() {
    auto& known = this->context.state.quarantine;
    if (quarantine::may_be_suspect(known, this->exchange->body.size())) {
        quarantine::clear_suspicion(known, this->identity().digest, this->context.now());
    }
}

void request_flow::call_off(const quarantine::quarantined_request& held) {
    const bool may_begin =
        this->state == answer_state::none && this->current && !this->current->begun;
    const bool same_size = this->exchange->body.size() == held.request.body_bytes;
    if (may_begin && same_size && this->identity() == held.request) {
        this->end_early("quarantined", base::code::quarantined, base::code::upstream_failed,
                        std::chrono::ceil<milliseconds>(held.span));
    }
}

} // namespace camphorrail::proxy
