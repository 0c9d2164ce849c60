#pragma once

// Starts and ends entries as the deploy file does: `target/bin/camphorrail proxy`, with the
// settings that deploy/proxy.yaml.tmpl gives for a small deployment.

#include "http.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

// A port that nobody listens on. It is freed again, so another process could take it.
inline std::string free_address() {
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = to_address("127.0.0.1:0");
    socklen_t size = sizeof at;
    if (bind(made, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        getsockname(made, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
        throw std::runtime_error("no free port");
    }
    ::close(made);
    return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

class entry {
public:
    entry(std::string name, const std::string& folder, const std::string& store,
          const std::string& zone = "a")
        : name(std::move(name)), front(free_address()), ready_address(free_address()),
          settings(folder + "/" + this->name + ".yaml"), log(folder + "/" + this->name + ".log") {
        std::ofstream out(settings);
        out << "role: proxy\nid: \"" << this->name << "\"\navailability_zone: \"" << zone
            << "\"\nlisten: \"" << front << "\"\nready_listen: \"" << ready_address
            << "\"\noperators_listen: \"" << free_address() << "\"\npeer_listen: \""
            << free_address() << "\"\nplatform:\n  endpoint: \"" << store
            << "\"\n  poll_ms: 1000\n  timeout_ms: 800\n"
            << "  agreements: [base, drain, config, cost, retry, recover, kvcache, stream, engine, "
               "tenants, platform]\n"
            << "limits:\n  memory_mb: 110\nbounds:\n  revoke_ms: 5000\n  drain_ms: 2000\n"
            << "  grace_s: 8\n  retry_ratio: 0.2\n  retry_slack: 52\n  retry_window_s: 10\n"
            << "  lease_ms: 3000\n  outdated_weights_ms: 8000\n";
    }
    ~entry() { end(); }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    void start() {
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("CAMPHORRAIL_SETTINGS", settings.c_str(), 1);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl("target/bin/camphorrail", "target/bin/camphorrail", "proxy",
                  static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    void send(int signal) const {
        if (pid > 0) {
            kill(pid, signal);
        }
    }
    // Kills the process at once and waits for its end.
    void end() {
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(std::exchange(pid, -1), nullptr, 0);
        }
    }
    // Whether the process has ended by itself; `status` is as of waitpid.
    bool has_ended(int& status) {
        if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) {
            return false;
        }
        pid = -1;
        return true;
    }
    [[nodiscard]] bool ready() const {
        const auto got =
            call(ready_address, "GET", "/readiness", {{"Host", "entry"}}, "", milliseconds(500));
        return got && got->status() == 200;
    }
    bool wait_until_ready(milliseconds limit = milliseconds(15000)) const {
        const auto until = clock::now() + limit;
        while (clock::now() < until) {
            if (ready()) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    std::string name;
    std::string front;
    std::string ready_address;
    pid_t pid = -1;

private:
    std::string settings;
    std::string log;
};

} // namespace review
