#include "crowd/process_usage.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace camphorrail::crowd {

namespace {

constexpr std::int64_t bytes_per_kb = 1024;
constexpr int hexadecimal = 16;

std::string directory_of(int pid) {
    return "/proc/" + std::to_string(pid);
}

// A line of the status file in KiB; 0 once the process has ended.
std::int64_t status_kb(int pid, const std::string& name) {
    std::ifstream status(directory_of(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(name + ":", 0) == 0) {
            return std::stoll(line.substr(name.size() + 1));
        }
    }
    return 0;
}

std::int64_t count_descriptors(int pid) {
    std::error_code failed;
    const std::filesystem::directory_iterator all(directory_of(pid) + "/fd", failed);
    return failed ? 0 : std::distance(begin(all), end(all));
}

// Unread bytes of all connections whose local port is this one. A listener's own line counts
// connections there and is left out.
std::int64_t unread_bytes(std::uint16_t port) {
    constexpr const char* listening = "0A";
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::int64_t sum = 0;
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        words >> number >> local >> remote >> state >> queues;
        const auto local_port = std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal);
        if (local_port == port && state != listening) {
            sum += std::stoll(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        }
    }
    return sum;
}

} // namespace

process_usage measure_process(int pid, std::uint16_t port) {
    process_usage now;
    now.unread_kb = unread_bytes(port) / bytes_per_kb;
    now.memory_kb = status_kb(pid, "VmRSS") + now.unread_kb;
    now.descriptors = count_descriptors(pid);
    now.alive = status_kb(pid, "VmRSS") > 0;
    return now;
}

std::int64_t peak_memory_kb(int pid) {
    return status_kb(pid, "VmHWM");
}

} // namespace camphorrail::crowd
