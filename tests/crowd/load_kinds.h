#pragma once

#include <cstddef>
#include <limits>
#include <optional>
#include <string>

namespace camphorrail::crowd {

// Stands for bytes that are sent for as long as the connection lasts.
constexpr std::size_t without_end = std::numeric_limits<std::size_t>::max();

// What one client of a crowd sends: a head, a block again and again, and an end. In the head,
// "{number}" stands for a number that no other connection has, and "{00000000}" for the same one
// in as many characters as the mark has.
struct client_load {
    std::string head;
    std::string block;
    // How often the block is sent.
    std::size_t blocks = 0;
    std::string tail;
    // The most that a client sends before it is the next one's turn, in bytes.
    std::size_t turn_bytes = 0;
    // One client in so many sends all of it. The others stop just short of the end and keep their
    // connections open.
    std::size_t completing = 8;
    // Clients read what they are sent.
    bool reads = true;
    // The process is stopped for the second half of the time.
    bool freezes = false;
};

// Where requests go and what fields they carry, such as a key.
struct request_target {
    std::string path;
    // Lines that end with CR LF.
    std::string fields;
};

// The load of this name; empty if there is none.
std::optional<client_load> find_load(const std::string& name, const request_target& target);

} // namespace camphorrail::crowd
