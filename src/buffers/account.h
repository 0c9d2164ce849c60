#pragma once

#include <cstdint>
#include <map>
#include <string_view>

// The memory that an entry uses for data that waits for a slow reader, and who gives it up first.
namespace camphorrail::buffers {

// A client's connection, with the request that it carries and what it has not read of earlier
// responses. Numbers grow in the order of arrival.
struct holder_id {
    std::int64_t value = 0;

    auto operator<=>(const holder_id&) const = default;
};

enum class kind { request_body, response, upstream_data };

// The name of a kind, for logs and metrics.
std::string_view name_of(kind value);

// Bytes held, by kind.
struct amounts {
    // Bodies of requests, received in whole or in part.
    std::int64_t request_bodies = 0;
    // Responses that their clients have not read.
    std::int64_t responses = 0;
    // Copies of requests that their upstreams have not read.
    std::int64_t upstream_data = 0;

    bool operator==(const amounts&) const = default;
};

std::int64_t total(const amounts& held);

// The kind with the most bytes; the first of several.
kind largest_kind(const amounts& held);

// How far a request has got, which determines how its memory can be released.
enum class stage {
    // No upstream can have received any of it, so it can be refused as not run.
    not_sent,
    // Its response has begun, or it has ended and the response still waits for its client. The
    // response can be aborted.
    responding,
    // An upstream may be running it and the client has received nothing. It can only be refused
    // without a statement whether it has run.
    running,
};

struct holding {
    amounts held;
    stage progress = stage::not_sent;
    // The client has stopped sending its request.
    bool is_stalled = false;
    // What is held can be released. If not, others yield instead.
    bool may_yield = true;
};

// All that an entry holds.
struct account {
    std::map<holder_id, holding> holders;
    // The sum over all holders.
    amounts held;
};

// Records what a holder holds now, in place of what it held before. One that holds nothing is
// removed.
void record(account& state, holder_id holder, const holding& now);

void remove(account& state, holder_id holder);

} // namespace camphorrail::buffers
