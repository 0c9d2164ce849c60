#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace camphorrail::tests {

// What the connecting end of a link sends first.
inline const std::string link_handshake =
    "GET / HTTP/1.1\r\nHost: link\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

// Connects to "IP:PORT" before it returns. The descriptor does not block; it is -1 if nothing
// listens there.
int connect_client(const std::string& address);

// Sends what the kernel takes of the bytes, and returns how many those are; empty if the connection
// has ended.
std::optional<std::size_t> send_some(int descriptor, const std::string& bytes);

// The bytes one after the other, until there are at least so many.
std::string repeat(const std::string& bytes, std::size_t at_least);

} // namespace camphorrail::tests
