#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

#include <algorithm>

// Handles requests that are suspected of crashing upstreams, by themselves or by a part of their
// prompts.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Retry-After hint while another copy of the request is on trial. Most trials end within this time.
constexpr milliseconds trial_delay{300};

} // namespace

const quarantine::request_identity& request_flow::identity() {
    if (!this->cached_identity) {
        this->cached_identity = quarantine::identify(this->identity_parts());
    }
    return *this->cached_identity;
}

quarantine::identity_parts request_flow::identity_parts() const {
    const std::string_view client_id =
        this->request.team == nullptr ? this->metadata.bearer_key : this->request.team->id.value;
    return {this->exchange->head.target, client_id, this->exchange->body};
}

void request_flow::record_completion() {
    quarantine::record_completion(this->context.state.quarantine,
                                  quarantine::make_fingerprint(this->identity_parts()),
                                  this->context.now(), {});
}

// The parts of its prompt that other requests may share: all but the last.
const std::vector<quarantine::request_identity>& request_flow::shared_parts() {
    // A prompt has a few parts; a client that lists more is not searched for a part to blame.
    constexpr std::size_t max_parts = 32;
    if (!this->cached_parts) {
        this->cached_parts.emplace();
        const auto& parts = this->metadata.prompt_parts;
        const std::size_t shared = parts.empty() ? 0 : parts.size() - 1;
        for (std::size_t each = 0; each < std::min(shared, max_parts); ++each) {
            this->cached_parts->push_back(
                quarantine::identify_prompt_part(this->metadata.model, parts[each].id));
        }
    }
    return *this->cached_parts;
}

// What of this request may be a suspect. Nothing is computed that can't be one.
quarantine::request_suspects request_flow::suspects() {
    const auto& state = this->context.state.quarantine;
    quarantine::request_suspects found;
    if (quarantine::may_be_suspect(state, this->exchange->body.size())) {
        found.request = this->identity().digest;
    }
    if (quarantine::has_suspected_parts(state)) {
        for (const auto& part : this->shared_parts()) {
            found.parts.push_back(part.digest);
        }
    }
    return found;
}

// Ends the request if quarantine does not allow it to be sent now; returns true if so.
bool request_flow::refuse_if_quarantined() {
    const auto evaluation = quarantine::evaluate(this->context.state.quarantine, this->suspects(),
                                                 this->context.now(), {});
    this->criteria.suspect = evaluation.what == quarantine::verdict::trial;
    if (evaluation.what == quarantine::verdict::allowed || this->criteria.suspect) {
        return false;
    }
    const bool is_quarantined = evaluation.what == quarantine::verdict::quarantined;
    const auto refusal_code = is_quarantined ? base::code::quarantined : base::code::suspect_tried;
    const char* reason = is_quarantined ? "quarantined" : "suspect_tried";
    this->context.log.line(importance::keep, "kept_from_upstreams")
        .text("request", this->metadata.request_id)
        .text("digest", evaluation.suspect.value)
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

void request_flow::check_survival() {
    const base::micros span = this->context.now() - this->current->first_byte_at;
    if (!this->current->survived && span >= quarantine::quarantine_rules{}.survival_time) {
        this->current->survived = true;
        this->record_survived_parts();
    }
}

// Called when a successful response is complete, or has gone on for a while after its first byte.
void request_flow::record_survived_parts() {
    std::vector<base::request_digest> parts;
    for (const auto& part : this->shared_parts()) {
        parts.push_back(part.digest);
    }
    this->context.record_survived_parts(parts);
}

void request_flow::cancel_if_quarantined(const quarantine::quarantined_request& hold) {
    const bool may_cancel =
        this->state == response_state::none && this->current && !this->current->response_started;
    if (!may_cancel) {
        return;
    }
    const auto& parts = this->shared_parts();
    const bool has_part = std::find(parts.begin(), parts.end(), hold.request) != parts.end();
    const bool is_request = !quarantine::is_prompt_part(hold.request.digest) &&
                            this->exchange->body.size() == hold.request.body_bytes &&
                            this->identity() == hold.request;
    if (has_part || is_request) {
        this->terminate("quarantined", base::code::quarantined, base::code::upstream_failed,
                        std::chrono::ceil<milliseconds>(hold.span));
    }
}

} // namespace camphorrail::proxy
