#pragma once

#include "crowd/load_kinds.h"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorrail::crowd {

// One client, over all its connections.
struct crowd_client {
    int descriptor = -1;
    bool completes = false;
    // The head of the request, with a number of its own.
    std::string head;
    std::size_t sent = 0;
    int connections = 0;
};

// Clients that put the same load on one listener. One whose connection has ended comes back, some
// times.
class crowd_clients {
public:
    crowd_clients(std::string address, client_load load, std::size_t count);
    ~crowd_clients();
    crowd_clients(const crowd_clients&) = delete;
    crowd_clients& operator=(const crowd_clients&) = delete;

    // Each client sends and reads what it can without waiting.
    void take_turn();
    void leave();
    [[nodiscard]] std::size_t connected() const;
    [[nodiscard]] std::size_t bytes_sent() const { return this->total_sent; }

private:
    void connect_if_due(crowd_client& client);
    void send_turn(crowd_client& client);
    void read_all(crowd_client& client);
    void disconnect(crowd_client& client);
    [[nodiscard]] std::size_t wanted_bytes(const crowd_client& client) const;
    [[nodiscard]] std::string bytes_at(const crowd_client& client, std::size_t most) const;

    std::string address;
    client_load load;
    std::vector<crowd_client> clients;
    std::size_t total_sent = 0;
    int total_connections = 0;
};

} // namespace camphorrail::crowd
