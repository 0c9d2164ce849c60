#include "agent/answer_sender.h"

namespace camphorrail::agent {

namespace {

constexpr std::int64_t most_waiting_bytes = 64 << 10;

void flush(answer_sender& sender) {
    while (!sender.waiting.empty() && sender.credit > 0) {
        std::string piece = std::move(sender.waiting.front());
        sender.waiting.pop_front();
        const auto size = static_cast<std::int64_t>(piece.size());
        sender.waiting_bytes -= size;
        sender.credit -= size;
        sender.send(wire::chunk{sender.attempt, sender.sequence++, std::move(piece)});
    }
}

} // namespace

void send_piece(answer_sender& sender, std::string piece) {
    sender.waiting_bytes += static_cast<std::int64_t>(piece.size());
    sender.waiting.push_back(std::move(piece));
    flush(sender);
}

void add_credit(answer_sender& sender, std::int64_t bytes) {
    sender.credit += bytes;
    flush(sender);
}

bool wants_more(const answer_sender& sender) {
    return sender.waiting_bytes < most_waiting_bytes;
}

} // namespace camphorrail::agent
