#include "crowd/clients.h"

#include "adapters/sockets.h"
#include "raw_client.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorrail::crowd {

namespace {

constexpr int most_connections = 20;
// How far from the end a client stops that does not complete its request.
constexpr std::size_t missing_bytes = 16;
// What stands for a connection's number in a head.
const std::string number_mark = "{number}";
// The same where the length of the head must not change.
const std::string padded_mark = "{00000000}";

std::string replace_all(std::string text, const std::string& mark, const std::string& by) {
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark)) {
        text.replace(at, mark.size(), by);
    }
    return text;
}

std::string with_number(const std::string& head, int number) {
    const std::string digits = std::to_string(number);
    const std::string padded = std::string(padded_mark.size() - digits.size(), '0') + digits;
    return replace_all(replace_all(head, number_mark, digits), padded_mark, padded);
}

// Starts to connect without waiting, since a listener may leave connections in its queue.
int start_connecting(const std::string& address) {
    const auto to = adapters::parse_address(address);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int failed = connect(descriptor, reinterpret_cast<const sockaddr*>(&*to), sizeof *to);
    if (failed != 0 && errno != EINPROGRESS) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

crowd_clients::crowd_clients(std::string address, client_load load, std::size_t count)
    : address(std::move(address)), load(std::move(load)), clients(count) {
    for (std::size_t index = 0; index < count; ++index) {
        this->clients[index].completes = index % this->load.completing == 0;
    }
}

crowd_clients::~crowd_clients() {
    this->leave();
}

void crowd_clients::take_turn() {
    for (auto& client : this->clients) {
        this->connect_if_due(client);
        this->send_turn(client);
        if (this->load.reads) {
            this->read_all(client);
        }
    }
}

void crowd_clients::leave() {
    for (auto& client : this->clients) {
        this->disconnect(client);
    }
}

std::size_t crowd_clients::connected() const {
    return static_cast<std::size_t>(
        std::count_if(this->clients.begin(), this->clients.end(),
                      [](const crowd_client& each) { return each.descriptor >= 0; }));
}

void crowd_clients::connect_if_due(crowd_client& client) {
    if (client.descriptor >= 0 || client.connections >= most_connections) {
        return;
    }
    ++client.connections;
    client.sent = 0;
    client.head = with_number(this->load.head, ++this->total_connections);
    client.descriptor = start_connecting(this->address);
}

std::size_t crowd_clients::wanted_bytes(const crowd_client& client) const {
    if (this->load.blocks == without_end) {
        return without_end;
    }
    const std::size_t all =
        client.head.size() + this->load.blocks * this->load.block.size() + this->load.tail.size();
    return client.completes ? all : all - missing_bytes;
}

// What a client sends next, at most up to the end of a block.
std::string crowd_clients::bytes_at(const crowd_client& client, std::size_t most) const {
    if (client.sent < client.head.size()) {
        return client.head.substr(client.sent, most);
    }
    const std::size_t behind_head = client.sent - client.head.size();
    const bool in_tail = this->load.blocks != without_end &&
                         behind_head >= this->load.blocks * this->load.block.size();
    if (in_tail) {
        return this->load.tail.substr(behind_head - this->load.blocks * this->load.block.size(),
                                      most);
    }
    return this->load.block.substr(behind_head % this->load.block.size(), most);
}

void crowd_clients::send_turn(crowd_client& client) {
    std::size_t left = this->load.turn_bytes;
    const std::size_t wanted = this->wanted_bytes(client);
    while (client.descriptor >= 0 && left > 0 && client.sent < wanted) {
        const auto bytes = this->bytes_at(client, std::min(left, wanted - client.sent));
        const auto count = tests::send_some(client.descriptor, bytes);
        if (!count) {
            this->disconnect(client);
            return;
        }
        client.sent += *count;
        this->total_sent += *count;
        left -= *count;
        if (*count < bytes.size()) {
            return;
        }
    }
}

void crowd_clients::read_all(crowd_client& client) {
    std::array<char, 16384> bytes{};
    while (client.descriptor >= 0) {
        const auto count = recv(client.descriptor, bytes.data(), bytes.size(), 0);
        if (count > 0) {
            continue;
        }
        if (count == 0 || errno != EAGAIN) {
            this->disconnect(client);
        }
        return;
    }
}

void crowd_clients::disconnect(crowd_client& client) {
    if (client.descriptor >= 0) {
        close(std::exchange(client.descriptor, -1));
    }
}

} // namespace camphorrail::crowd
