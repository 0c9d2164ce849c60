#include "soak/entry_process.h"

#include "own_address.h"

#include <array>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace camphorrail::soak {

namespace {

constexpr int log_mode = 0644;
constexpr int signal_base = 128;

} // namespace

entry_process::entry_process(entry_place place) : place(std::move(place)) {}

entry_process::~entry_process() {
    if (this->pid > 0) {
        kill(this->pid, SIGCONT);
        kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
    }
}

std::string entry_process::address() const {
    return tests::own_address(this->place.listen_port);
}

void entry_process::write_settings() const {
    std::ofstream file(this->place.directory + "/" + this->place.name + ".yaml");
    file << "role: proxy\nid: " << this->place.name
         << "\navailability_zone: a\nlisten: " << tests::own_address(this->place.listen_port)
         << "\nready_listen: " << tests::own_address(this->place.ready_port)
         << "\noperators_listen: " << tests::own_address(this->place.operators_port)
         << "\npeer_listen: " << tests::own_address(this->place.peer_port)
         << "\nplatform:\n  endpoint: " << this->place.store
         << "\n  poll_ms: 1000\n  timeout_ms: 800\nbounds:\n  revoke_ms: 5000\n  drain_ms: 2000\n"
            "  grace_s: 8\n  retry_ratio: 0.2\n  retry_slack: 50\n  lease_ms: 3000\n"
            "  outdated_weights_ms: "
         << this->place.outdated_weights.count() << "\n";
}

void entry_process::start() {
    this->write_settings();
    const std::string settings = this->place.directory + "/" + this->place.name + ".yaml";
    const std::string log = this->place.directory + "/" + this->place.name + ".log";
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A listening socket that an entry inherits would outlive the back end that it belongs to.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = this->place.program;
    std::string command = "proxy";
    std::string settings_path = settings;
    std::array<char*, 4> arguments{program.data(), command.data(), settings_path.data(), nullptr};
    const int failed =
        posix_spawn(&this->pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
    if (failed != 0) {
        std::cerr << "cannot start " << this->place.name << ": " << std::strerror(failed) << "\n";
        this->pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
}

void entry_process::signal(int number) const {
    if (this->pid > 0) {
        kill(this->pid, number);
    }
}

std::optional<int> entry_process::ended() {
    int status = 0;
    if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid) {
        return std::nullopt;
    }
    this->pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
}

} // namespace camphorrail::soak
