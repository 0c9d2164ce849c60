#pragma once

// A small HTTP/1.1 server and client on blocking sockets, one thread a connection, for stand-ins
// that need control over each byte and over the order of events.

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleep_ms(int ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

inline std::string lower(std::string text) {
    for (char& letter : text) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return text;
}

// Header names are in lower case.
using headers = std::map<std::string, std::string>;

inline std::string header_of(const headers& all, const std::string& name) {
    const auto found = all.find(lower(name));
    return found == all.end() ? std::string() : found->second;
}

struct message {
    std::string first_line;
    headers fields;
    std::string body;

    // Of a request.
    [[nodiscard]] std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    [[nodiscard]] std::string target() const {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    [[nodiscard]] std::string path() const {
        const auto whole = target();
        return whole.substr(0, whole.find('?'));
    }
    [[nodiscard]] std::string query(const std::string& name) const {
        const auto whole = target();
        const auto question = whole.find('?');
        std::string rest = question == std::string::npos ? "" : whole.substr(question + 1);
        while (!rest.empty()) {
            const auto end = rest.find('&');
            const auto pair = rest.substr(0, end);
            const auto equals = pair.find('=');
            if (pair.substr(0, equals) == name) {
                return equals == std::string::npos ? "" : decode(pair.substr(equals + 1));
            }
            rest = end == std::string::npos ? "" : rest.substr(end + 1);
        }
        return "";
    }
    // Of a response; 0 if there was none.
    [[nodiscard]] int status() const {
        return first_line.size() < 12 ? 0 : std::stoi(first_line.substr(9, 3));
    }

    static std::string decode(const std::string& text) {
        std::string out;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                out += text[at];
            }
        }
        return out;
    }
};

// One end of a connection.
class channel {
public:
    explicit channel(int descriptor) : descriptor(descriptor) {
        int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~channel() { close(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    bool write(const std::string& bytes) {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const auto sent =
                ::send(descriptor, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            at += static_cast<std::size_t>(sent);
        }
        return true;
    }

    // Reads a whole message; nothing if the connection ends or `limit` passes first.
    std::optional<message> read(milliseconds limit = milliseconds(60000)) {
        const auto until = clock::now() + limit;
        std::size_t end = 0;
        while ((end = pending.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        message got;
        std::string head = pending.substr(0, end + 2);
        pending.erase(0, end + 4);
        got.first_line = head.substr(0, head.find("\r\n"));
        head.erase(0, head.find("\r\n") + 2);
        while (!head.empty()) {
            const auto line = head.substr(0, head.find("\r\n"));
            head.erase(0, line.size() + 2);
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            got.fields[lower(line.substr(0, colon))] = value;
        }
        if (lower(header_of(got.fields, "Transfer-Encoding")) == "chunked") {
            return read_chunks(got, until);
        }
        const auto length = header_of(got.fields, "Content-Length");
        const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
        while (pending.size() < wanted) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        got.body = pending.substr(0, wanted);
        pending.erase(0, wanted);
        return got;
    }

    // Whether the other end has closed or reset the connection.
    bool ended() {
        char byte = 0;
        const auto got = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void close() {
        if (descriptor >= 0) {
            ::close(std::exchange(descriptor, -1));
        }
    }

    // Closes the connection with a reset.
    void reset() {
        const struct linger now { 1, 0 };
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

    int descriptor;
    std::string pending;

private:
    bool fill(clock::time_point until) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
        pollfd readable{descriptor, POLLIN, 0};
        if (left <= 0 || poll(&readable, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char piece[16384];
        const auto got = ::recv(descriptor, piece, sizeof piece, 0);
        if (got <= 0) {
            return false;
        }
        pending.append(piece, static_cast<std::size_t>(got));
        return true;
    }

    std::optional<message> read_chunks(message& got, clock::time_point until) {
        while (true) {
            std::size_t end = 0;
            while ((end = pending.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return std::nullopt;
                }
            }
            const std::size_t size = std::stoul(pending.substr(0, end), nullptr, 16);
            while (pending.size() < end + 2 + size + 2) {
                if (!fill(until)) {
                    return std::nullopt;
                }
            }
            got.body += pending.substr(end + 2, size);
            pending.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return got;
            }
        }
    }
};

inline sockaddr_in to_address(const std::string& text) {
    const auto colon = text.rfind(':');
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &made.sin_addr);
    return made;
}

inline int connect_to(const std::string& address) {
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = to_address(address);
    if (::connect(made, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(made);
        return -1;
    }
    return made;
}

// Calls the handler with each request; the connection ends when the handler returns false.
class server {
public:
    using handler = std::function<bool(const message&, channel&)>;

    explicit server(handler handle, std::string listen = "127.0.0.1:0")
        : handle(std::move(handle)) {
        listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto at = to_address(listen);
        if (bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(listener, 512) != 0) {
            throw std::runtime_error("cannot listen on " + listen);
        }
        socklen_t size = sizeof at;
        getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        std::thread([this] { accept_all(); }).detach();
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::string address;

private:
    void accept_all() {
        while (true) {
            const int made = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (made < 0) {
                return;
            }
            std::thread([this, made] {
                channel one(made);
                try {
                    while (auto got = one.read()) {
                        if (!handle(*got, one)) {
                            return;
                        }
                    }
                } catch (const std::exception&) {
                    // Nothing sound was received.
                }
            }).detach();
        }
    }

    handler handle;
    int listener;
};

inline std::string reply(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                         const std::string& body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto& [name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends one request on a connection of its own; nothing if no whole answer came.
inline std::optional<message> call(const std::string& address, const std::string& method,
                                   const std::string& target,
                                   const std::vector<std::pair<std::string, std::string>>& fields,
                                   const std::string& body,
                                   milliseconds limit = milliseconds(10000)) {
    const int made = connect_to(address);
    if (made < 0) {
        return std::nullopt;
    }
    channel one(made);
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    one.write(out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return one.read(limit);
}

} // namespace review
