#include "adapters/sockets.h"
#include "crowd/clients.h"
#include "crowd/process_usage.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <string>
#include <thread>

namespace {

using namespace camphorrail;

constexpr const char* usage = R"(Clients that do not behave, at one listener of one process.

Usage:
  camphorrail_crowd --address=IP:PORT --pid=PID --load=NAME [--path=PATH] [--field=TEXT]...
                    [--clients=COUNT] [--seconds=COUNT]

Prints the most that the process has held, in KiB and descriptors, and the bytes sent.
The process is watched until the clients have left.

Options:
  --path=PATH      [default: /]
  --clients=COUNT  [default: 96]
  --seconds=COUNT  How long the clients stay [default: 4].
)";

constexpr std::chrono::milliseconds turn_length{2};

struct peaks {
    std::int64_t memory_kb = 0;
    std::int64_t unread_kb = 0;
    std::int64_t descriptors = 0;
    bool alive = true;
};

void record(peaks& most, const crowd::process_usage& now) {
    most.memory_kb = std::max(most.memory_kb, now.memory_kb);
    most.unread_kb = std::max(most.unread_kb, now.unread_kb);
    most.descriptors = std::max(most.descriptors, now.descriptors);
    most.alive = now.alive;
}

using options_map = std::map<std::string, docopt::value>;

crowd::request_target read_target(options_map& options) {
    crowd::request_target target{options["--path"].asString(), ""};
    for (const auto& field : options["--field"].asStringList()) {
        target.fields += field + "\r\n";
    }
    return target;
}

} // namespace

int main(int argc, char** argv) {
    auto options = docopt::docopt(usage, {argv + 1, argv + argc});
    const std::string address = options["--address"].asString();
    const auto parsed = adapters::parse_address(address);
    const auto load = crowd::find_load(options["--load"].asString(), read_target(options));
    if (!parsed || !load) {
        std::cerr << "no such address or load\n";
        return 2;
    }
    (void)std::signal(SIGPIPE, SIG_IGN);
    const auto pid = static_cast<int>(options["--pid"].asLong());
    const std::uint16_t port = ntohs(parsed->sin_port);
    crowd::crowd_clients clients(address, *load,
                                 static_cast<std::size_t>(options["--clients"].asLong()));
    const std::chrono::milliseconds duration = std::chrono::seconds(options["--seconds"].asLong());
    const auto until = std::chrono::steady_clock::now() + duration;
    bool is_frozen = false;
    peaks most;
    while (most.alive && std::chrono::steady_clock::now() < until) {
        if (load->freezes && !is_frozen &&
            std::chrono::steady_clock::now() > until - duration / 2) {
            is_frozen = kill(pid, SIGSTOP) == 0;
        }
        clients.take_turn();
        record(most, crowd::measure_process(pid, port));
        std::this_thread::sleep_for(turn_length);
    }
    if (is_frozen) {
        kill(pid, SIGCONT);
    }
    most.memory_kb = std::max(most.memory_kb, crowd::peak_memory_kb(pid));
    std::cout << "alive=" << (most.alive ? 1 : 0) << " memory_kb=" << most.memory_kb
              << " unread_kb=" << most.unread_kb << " descriptors=" << most.descriptors
              << " connected=" << clients.connected() << " sent_kb=" << clients.bytes_sent() / 1024
              << "\n";
    clients.leave();
    return 0;
}
