#pragma once

#include "base/units.h"
#include "ports/upstream.h"

#include <string>

struct event_base;

namespace camphorrail::adapters {

// What a call may take, and whether "never left" must be known for certain.
struct http_call_options {
    // How long nothing may arrive.
    base::milliseconds timeout{60000};
    // Tries the address first, so that a refused connection is told from one that broke later.
    bool probe_first = false;
    // Bytes of the answer's body, of any size if 0. The whole answer must then arrive within the
    // time that `allowed_time` gives, so that one that never ends is given up.
    std::size_t max_body_bytes = 0;
};

// How long an answer of bounded size may take of which so many bytes have arrived: the timeout, and
// the time that a slow link needs for the bytes.
base::milliseconds allowed_time(base::milliseconds timeout, std::size_t received_bytes);

// Sends one request on a connection of its own to "IP:PORT". evhttp never sends it again: a fresh
// connection can't be one that the other end had already closed, and its retries are set to none.
ports::call_handle http_call(event_base* base, const std::string& address,
                             const ports::upstream_call& call, ports::response_handler handler,
                             http_call_options options);

// What comes back of a call whose answer is read whole.
struct http_answer {
    int status = 0;
    std::string body;
    ports::headers fields;
};

// The same for a short answer that is wanted whole, of at most `max_bytes`.
void http_fetch(event_base* base, const std::string& address, const ports::upstream_call& call,
                http_call_options options, std::size_t max_bytes,
                std::function<void(base::result<http_answer>)> done);

} // namespace camphorrail::adapters
