#pragma once

#include "base/ids.h"
#include "wire/messages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace camphorrail::agent {

// Sends a message to the entry that an order came from; does nothing once that link is gone.
using send_function = std::function<void(const wire::message&)>;

// Sends one answer in numbered pieces, no more than the entry has given credit for.
struct answer_sender {
    std::string attempt;
    send_function send;
    std::int64_t credit = 0;
    std::int64_t sequence = 0;
    std::int64_t waiting_bytes = 0;
    std::deque<std::string> waiting;
};

void send_piece(answer_sender& sender, std::string piece);
void add_credit(answer_sender& sender, std::int64_t bytes);

// Whether the upstream should be read on. A caller that reads slowly holds a bounded number of
// bytes here, and nobody else up.
bool wants_more(const answer_sender& sender);

} // namespace camphorrail::agent
