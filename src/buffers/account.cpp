#include "buffers/account.h"

namespace camphorrail::buffers {

namespace {

void add(amounts& sum, const amounts& more, std::int64_t factor) {
    sum.request_bodies += factor * more.request_bodies;
    sum.responses += factor * more.responses;
    sum.upstream_data += factor * more.upstream_data;
}

} // namespace

std::string_view name_of(kind value) {
    switch (value) {
    case kind::request_body:
        return "request_body";
    case kind::response:
        return "response";
    case kind::upstream_data:
        break;
    }
    return "upstream_data";
}

std::int64_t total(const amounts& held) {
    return held.request_bodies + held.responses + held.upstream_data;
}

kind largest_kind(const amounts& held) {
    if (held.request_bodies >= held.responses && held.request_bodies >= held.upstream_data) {
        return kind::request_body;
    }
    return held.responses >= held.upstream_data ? kind::response : kind::upstream_data;
}

void record(account& state, holder_id holder, const holding& now) {
    remove(state, holder);
    if (total(now.held) > 0) {
        state.holders.emplace(holder, now);
        add(state.held, now.held, 1);
    }
}

void remove(account& state, holder_id holder) {
    const auto found = state.holders.find(holder);
    if (found != state.holders.end()) {
        add(state.held, found->second.held, -1);
        state.holders.erase(found);
    }
}

} // namespace camphorrail::buffers
