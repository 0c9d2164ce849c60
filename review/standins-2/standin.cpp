// Stand-ins for the cases of the second review, by ../given/kit/more/system/PROTOCOL.md: the
// platform's store, a model engine, and requesters. One program, a role a process, a thread a
// channel. Every line that it prints begins with the milliseconds of the steady clock.
//
//   standin store LISTEN
//   standin engine LISTEN STORE ID SERVICE MODELS SLOTS FIRST-EVENT-MS
//   standin put STORE KEY VALUE
//   standin get ADDRESS PATH
//   standin load SECONDS RATE EVENTS KEY HOST PREFIX MODEL TAG FRONT...
//   standin send FRONT ID KEY HOST PREFIX MODEL SHARED-PART BODY
//   standin kept SECONDS COUNT FIRST SECOND KEY HOST PREFIX FRONT...
//   standin ports COUNT
//   standin now

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <initializer_list>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void say(const std::string& line) {
    static std::mutex guard;
    const std::lock_guard<std::mutex> held(guard);
    std::cout << now_ms() << " " << line << std::endl;
}

sockaddr_in parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

// A message of HTTP/1.1 whose body has a length. Field names are in lower case.
struct message {
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? "" : found->second;
    }
};

// A channel with a buffer for what was read beyond the last message.
class channel {
public:
    explicit channel(int descriptor) : descriptor(descriptor) {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~channel() { this->close(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    void close() {
        if (this->descriptor >= 0) {
            ::close(std::exchange(this->descriptor, -1));
        }
    }
    void reset() {
        const linger how{1, 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &how, sizeof how);
        this->close();
    }
    bool write(const std::string& bytes) const {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const auto sent =
                send(this->descriptor, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            at += static_cast<std::size_t>(sent);
        }
        return true;
    }
    // Whether the peer has closed.
    [[nodiscard]] bool is_gone() const {
        char byte = 0;
        const auto got = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool read_message(message& out) {
        const auto end = this->fill_until("\r\n\r\n");
        if (end == std::string::npos) {
            return false;
        }
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        out = {};
        std::getline(head, out.first_line);
        trim(out.first_line);
        for (std::string line; std::getline(head, line);) {
            trim(line);
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            for (char& letter : name) {
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            }
            std::string value = line.substr(colon + 1);
            trim(value);
            out.fields[name] = value;
        }
        if (out.field("transfer-encoding") == "chunked") {
            return this->read_chunks(out.body);
        }
        const std::string length = out.field("content-length");
        return length.empty() || this->read_bytes(std::stoul(length), out.body);
    }

private:
    static void trim(std::string& text) {
        while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
            text.pop_back();
        }
        text.erase(0, text.find_first_not_of(' '));
    }
    bool fill() {
        char piece[16384];
        const auto got = recv(this->descriptor, piece, sizeof piece, 0);
        if (got <= 0) {
            return false;
        }
        this->buffer.append(piece, static_cast<std::size_t>(got));
        return true;
    }
    std::size_t fill_until(const std::string& mark) {
        auto found = this->buffer.find(mark);
        while (found == std::string::npos && this->fill()) {
            found = this->buffer.find(mark);
        }
        return found;
    }
    bool read_bytes(std::size_t count, std::string& out) {
        while (this->buffer.size() < count) {
            if (!this->fill()) {
                return false;
            }
        }
        out += this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return true;
    }
    bool read_chunks(std::string& out) {
        while (true) {
            const auto end = this->fill_until("\r\n");
            if (end == std::string::npos) {
                return false;
            }
            const std::size_t size = std::stoul(this->buffer.substr(0, end), nullptr, 16);
            this->buffer.erase(0, end + 2);
            std::string line_end;
            if (!this->read_bytes(size, out) || !this->read_bytes(2, line_end)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    int descriptor;
    std::string buffer;
};

std::string join(std::initializer_list<std::string_view> parts) {
    std::string all;
    for (const auto part : parts) {
        all += part;
    }
    return all;
}

std::string respond(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int connect_to(const std::string& address) {
    const int made = socket(AF_INET, SOCK_STREAM, 0);
    const auto to = parse_address(address);
    const timeval limit{20, 0};
    setsockopt(made, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    if (connect(made, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(made);
        return -1;
    }
    return made;
}

// One call on a channel of its own. Returns its status, 0 if there was no complete answer.
int call(const std::string& address, const std::string& head, const std::string& body,
         message& answer) {
    const int made = connect_to(address);
    if (made < 0) {
        return 0;
    }
    channel to(made);
    const std::string length =
        body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!to.write(head + length + "\r\n" + body) || !to.read_message(answer)) {
        return 0;
    }
    return std::stoi(answer.first_line.substr(answer.first_line.find(' ') + 1));
}

// Opens a listener; ends the program if it cannot.
int listen_at(const std::string& address) {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = parse_address(address);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(listener, 512) != 0) {
        std::cerr << "cannot listen at " << address << "\n";
        std::exit(2);
    }
    return listener;
}

// Accepts channels and has `handle` serve each in a thread of its own.
template <class Handle>
int serve(int listener, Handle handle) {
    while (true) {
        const int accepted = accept(listener, nullptr, nullptr);
        if (accepted >= 0) {
            std::thread([handle, accepted] {
                channel from(accepted);
                handle(from);
            }).detach();
        }
    }
}

struct target {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
};

std::string decode(const std::string& text) {
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

target read_target(const std::string& first_line) {
    target read;
    std::istringstream words(first_line);
    std::string whole;
    words >> read.method >> whole;
    const auto question = whole.find('?');
    read.path = whole.substr(0, question);
    std::istringstream pairs(question == std::string::npos ? "" : whole.substr(question + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
        const auto equals = pair.find('=');
        read.query[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : decode(pair.substr(equals + 1));
    }
    return read;
}

constexpr const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes) {
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t each = 0; each < 3; ++each) {
            group = group << 8U |
                    (at + each < bytes.size() ? static_cast<unsigned char>(bytes[at + each]) : 0U);
        }
        for (std::size_t each = 0; each < 4; ++each) {
            const bool is_padding = at + each > bytes.size();
            out += is_padding ? '=' : letters[group >> (18U - 6U * each) & 63U];
        }
    }
    return out;
}

// The platform's metadata store. Nothing of it is lost, and every answer is linearizable.
class store {
public:
    void serve_channel(channel& from) {
        for (message asked; from.read_message(asked);) {
            const auto wanted = read_target(asked.first_line);
            const auto [status, body] = this->answer(wanted, asked.body);
            if (!from.write(respond(status, "Content-Type: application/json\r\n", body))) {
                return;
            }
        }
    }

    void expire() {
        while (true) {
            std::this_thread::sleep_for(20ms);
            const std::lock_guard<std::mutex> held(this->guard);
            this->remove_silent_engines();
            for (auto it = this->leases.begin(); it != this->leases.end();) {
                if (now_ms() < it->second.until) {
                    ++it;
                    continue;
                }
                std::vector<std::string> ended;
                for (const auto& [key, item] : this->items) {
                    if (item.at("lease") == it->first) {
                        ended.push_back(key);
                    }
                }
                for (const auto& key : ended) {
                    this->erase(key);
                }
                it = this->leases.erase(it);
            }
        }
    }

private:
    struct lease {
        std::int64_t ttl = 0;
        std::int64_t until = 0;
    };
    using reply = std::pair<int, std::string>;
    // All entries of one transaction, as the page on the store says.
    static constexpr std::size_t most_entries = 32;
    static constexpr std::size_t page_items = 500;
    static constexpr std::int64_t beat_ms = 1200;

    reply answer(const target& wanted, const std::string& body) {
        if (wanted.path == "/kv-watch") {
            return this->watch(wanted);
        }
        const std::lock_guard<std::mutex> held(this->guard);
        const json asked = json::parse(body.empty() ? "{}" : body, nullptr, false);
        if (wanted.path == "/kv-key") {
            const auto found = this->items.find(wanted.query.at("key"));
            if (found == this->items.end()) {
                return {404, "{}"};
            }
            json item = found->second;
            item["asOf"] = this->revision;
            return {200, item.dump()};
        }
        if (wanted.path == "/kv-range") {
            return this->range(wanted);
        }
        if (wanted.path == "/kv-txn") {
            return this->transact(asked);
        }
        if (wanted.path == "/kv-lease") {
            const std::int64_t ttl = asked.at("ttlMs");
            this->leases[++this->last_lease] = {ttl, now_ms() + ttl};
            return {200, json{{"lease", this->last_lease}, {"ttlMs", ttl}}.dump()};
        }
        if (wanted.path.rfind("/kv-keep/", 0) == 0) {
            const auto found = this->leases.find(std::stoll(wanted.path.substr(9)));
            if (found == this->leases.end()) {
                return {404, "{}"};
            }
            found->second.until = now_ms() + found->second.ttl;
            return {200, json{{"ttlMs", found->second.ttl}}.dump()};
        }
        if (wanted.path.rfind("/kv-lease-end/", 0) == 0) {
            const auto found = this->leases.find(std::stoll(wanted.path.substr(14)));
            if (found == this->leases.end()) {
                return {404, "{}"};
            }
            found->second.until = 0;
            return {200, "{}"};
        }
        if (wanted.path == "/stand-in/put") {
            // The operator and the engines write here; the system may not write their keys.
            const std::string& key = wanted.query.at("key");
            this->put(key, to_base64(body), 0);
            if (key.rfind("servers/", 0) == 0) {
                this->heard_at[key] = now_ms();
            } else {
                say(join({"store put ", key, " ", body}));
            }
            return {200, json{{"revision", this->revision}}.dump()};
        }
        return {404, "{}"};
    }

    // An engine's entry is removed after three intervals of silence.
    void remove_silent_engines() {
        std::vector<std::string> silent;
        for (const auto& [key, at] : this->heard_at) {
            if (now_ms() - at > 3 * beat_ms) {
                silent.push_back(key);
            }
        }
        for (const auto& key : silent) {
            say("store removes " + key);
            this->erase(key);
            this->heard_at.erase(key);
        }
    }

    reply range(const target& wanted) const {
        const std::string prefix = wanted.query.at("prefix");
        const auto after = wanted.query.find("after");
        json found = json::array();
        bool more = false;
        for (const auto& [key, item] : this->items) {
            const bool is_later = after == wanted.query.end() || key > after->second;
            if (key.rfind(prefix, 0) != 0 || !is_later) {
                continue;
            }
            if (found.size() == page_items) {
                more = true;
                break;
            }
            found.push_back(item);
        }
        return {200, json{{"items", found}, {"morePages", more}, {"asOf", this->revision}}.dump()};
    }

    reply watch(const target& wanted) {
        const std::string prefix = wanted.query.at("prefix");
        const std::int64_t after = std::stoll(wanted.query.at("after"));
        const std::int64_t until = now_ms() + std::stoll(wanted.query.at("waitMs"));
        std::unique_lock<std::mutex> held(this->guard);
        while (true) {
            json events = json::array();
            for (const auto& each : this->history) {
                if (each.at("revision") > after &&
                    each.at("key").get<std::string>().rfind(prefix, 0) == 0) {
                    events.push_back(each);
                }
            }
            if (!events.empty() || now_ms() >= until) {
                return {200, json{{"events", events}, {"asOf", this->revision}}.dump()};
            }
            this->changed.wait_for(held, std::chrono::milliseconds(until - now_ms()));
        }
    }

    reply transact(const json& asked) {
        const auto& expected = asked.at("expected");
        const auto& puts = asked.at("puts");
        const auto& deletes = asked.at("deletes");
        if (expected.size() + puts.size() + deletes.size() > most_entries) {
            if (std::exchange(this->is_refusing, true) == false) {
                say("store refuses a transaction with " +
                    std::to_string(expected.size() + puts.size() + deletes.size()) + " entries");
            }
            return {400, R"({"error":"more than 32 entries"})"};
        }
        json current = json::array();
        bool holds = true;
        for (const auto& row : expected) {
            const auto found = this->items.find(row.at("key"));
            const std::int64_t is =
                found == this->items.end() ? 0 : found->second.at("revision").get<std::int64_t>();
            holds = holds && is == row.at("revision").get<std::int64_t>();
            if (found != this->items.end()) {
                current.push_back(found->second);
            }
        }
        if (!holds) {
            return {412, json{{"items", current}}.dump()};
        }
        const auto is_foreign = [](const std::string& key) {
            return key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0;
        };
        for (const auto& each : puts) {
            const std::int64_t of = each.value("lease", std::int64_t{0});
            if (is_foreign(each.at("key"))) {
                return {403, "{}"};
            }
            if (of != 0 && this->leases.count(of) == 0) {
                return {404, "{}"};
            }
        }
        for (const auto& each : puts) {
            this->put(each.at("key"), each.at("value"), each.value("lease", std::int64_t{0}));
        }
        for (const auto& key : deletes) {
            this->erase(key);
        }
        return {200, json{{"revision", this->revision}}.dump()};
    }

    void put(const std::string& key, const std::string& value, std::int64_t of_lease) {
        ++this->revision;
        const auto found = this->items.find(key);
        const std::int64_t created = found == this->items.end()
                                         ? this->revision
                                         : found->second.at("created").get<std::int64_t>();
        const json item{{"key", key},
                        {"value", value},
                        {"revision", this->revision},
                        {"created", created},
                        {"lease", of_lease}};
        this->items[key] = item;
        this->history.push_back(item);
        this->changed.notify_all();
    }

    void erase(const std::string& key) {
        if (this->items.erase(key) > 0) {
            ++this->revision;
            this->history.push_back(
                {{"key", key}, {"revision", this->revision}, {"deleted", true}});
            this->changed.notify_all();
        }
    }

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, json> items;
    std::map<std::int64_t, lease> leases;
    // When each engine last wrote its entry.
    std::map<std::string, std::int64_t> heard_at;
    std::vector<json> history;
    std::int64_t revision = 1;
    std::int64_t last_lease = 100;
    bool is_refusing = false;
};

int put_item(const std::string& store_address, const std::string& key, const std::string& value) {
    message answer;
    return call(store_address, "POST /stand-in/put?key=" + key + " HTTP/1.1\r\nHost: store\r\n",
                value, answer);
}

// An engine that serves one or several models.
class engine {
public:
    engine(std::string address, std::string store_address, std::string id, std::string service,
           const std::string& models, int slots, std::int64_t first_event_ms)
        : address(std::move(address)), store_address(std::move(store_address)), id(std::move(id)),
          service(std::move(service)), slots(slots), first_event_ms(first_event_ms) {
        std::istringstream names(models);
        for (std::string name; std::getline(names, name, ',');) {
            if (name != "none") {
                this->models[name].version = 1;
            }
        }
    }

    // Writes the engine's entry in the store about every 1,200 ms.
    void beat() {
        for (std::int64_t seq = 1;; ++seq) {
            put_item(this->store_address, "servers/" + this->id, this->entry(seq).dump());
            std::this_thread::sleep_for(1200ms);
        }
    }

    void serve_channel(channel& from) {
        for (message asked; from.read_message(asked);) {
            if (!this->answer(from, asked)) {
                return;
            }
        }
    }

private:
    struct model_state {
        std::int64_t version = 1;
        // An order concerns the model and is not complete.
        bool is_changing = false;
        int running = 0;
        // Counts the orders that reset the model's runs.
        std::int64_t cuts = 0;
    };

    json model_list() {
        json list = json::array();
        for (const auto& [name, model] : this->models) {
            list.push_back(
                {{"name", name}, {"version", model.version}, {"adapters", json::array()}});
        }
        return list;
    }

    json entry(std::int64_t seq) {
        const std::lock_guard<std::mutex> held(this->guard);
        return {{"service", this->service},
                {"address", this->address},
                {"zone", "a"},
                {"version", "v1"},
                {"slots", this->slots},
                {"state", "ready"},
                {"coldLeftMs", 0},
                {"stage", "both"},
                {"seq", seq},
                {"models", this->model_list()}};
    }

    bool answer(channel& to, const message& asked) {
        const auto wanted = read_target(asked.first_line);
        if (wanted.path == "/report") {
            const std::lock_guard<std::mutex> held(this->guard);
            const json report{{"stage", "both"},    {"models", this->model_list()},
                              {"busy", this->busy}, {"seq", this->orders},
                              {"queued", 0},        {"running", this->running},
                              {"kvUsed", 0},        {"kvTotal", 102461},
                              {"handles", 0}};
            return to.write(respond(200, "Content-Type: application/json\r\n", report.dump()));
        }
        const std::string expected = asked.field("expect-instance");
        if (!expected.empty() && expected != this->id) {
            return to.write(respond(421, "Instance-Id: " + this->id + "\r\n", ""));
        }
        if (wanted.path == "/order") {
            const int status = this->take_order(asked.body);
            return to.write(respond(status, "", ""));
        }
        return this->run(to, asked);
    }

    // Whether the operator has named the version; the store tells.
    bool is_named(const std::string& model, std::int64_t version) {
        message answer;
        const int status = call(
            this->store_address,
            "GET /kv-key?key=op/version/" + model + " HTTP/1.1\r\nHost: store\r\n", "", answer);
        if (status != 200) {
            return version == 1;
        }
        const json item = json::parse(answer.body);
        const std::string wanted = to_base64(json{{"model", model}, {"version", version}}.dump());
        return version == 1 || item.at("value") == wanted;
    }

    int take_order(const std::string& body) {
        const json order = json::parse(body, nullptr, false);
        const int status = this->judge_order(order);
        say(this->id + " order from " + order.value("holder", "") + " fence " +
            std::to_string(order.value("fence", 0)) + ": " + order.value("model", "") +
            " version " + std::to_string(order.value("version", 0)) + " " +
            order.value("mode", "") + " -> " + std::to_string(status));
        if (status == 202) {
            std::thread([this, order] { this->carry_out(order); }).detach();
        }
        return status;
    }

    int judge_order(const json& order) {
        const bool is_whole = order.is_object() && order.contains("holder") &&
                              order.contains("fence") && order.value("operation", "") == "version";
        if (!is_whole) {
            return 400;
        }
        const std::string name = order.value("model", "");
        const std::int64_t version = order.value("version", std::int64_t{0});
        if (!this->is_named(name, version)) {
            return 400;
        }
        const std::lock_guard<std::mutex> held(this->guard);
        const auto model = this->models.find(name);
        if (model == this->models.end()) {
            return 400;
        }
        if (model->second.version == version) {
            return 200;
        }
        if (this->busy || order.value("expected", this->orders) != this->orders) {
            return 409;
        }
        ++this->orders;
        this->busy = true;
        model->second.is_changing = true;
        return 202;
    }

    void carry_out(const json& order) {
        const std::string mode = order.value("mode", "wait");
        std::unique_lock<std::mutex> held(this->guard);
        auto& model = this->models.at(order.at("model").get<std::string>());
        model.cuts += mode == "cut" ? 1 : 0;
        while (mode != "keep" && model.running > 0) {
            this->ended.wait_for(held, 10ms);
        }
        held.unlock();
        std::this_thread::sleep_for(420ms);
        held.lock();
        model.version = order.at("version");
        model.is_changing = false;
        this->busy = false;
        say(this->id + " has " + order.at("model").get<std::string>() + " version " +
            std::to_string(model.version));
    }

    // A plain call, which takes 15 ms.
    bool run_plain(channel& to, const message& asked) {
        const std::string request = asked.field("request-id");
        say(this->id + " runs " + request + " with a body of " + std::to_string(asked.body.size()) +
            " bytes");
        std::this_thread::sleep_for(15ms);
        return to.write(respond(200,
                                "Request-Id: " + request + "\r\nResponse-Stamp: stamp-" + this->id +
                                    "-" + request + "\r\n",
                                R"({"done":true})"));
    }

    bool run(channel& to, const message& asked) {
        const std::string request = asked.field("request-id");
        if (this->models.empty() && !request.empty()) {
            return this->run_plain(to, asked);
        }
        const std::string name = asked.field("model-name");
        const std::string wanted = asked.field("expect-version");
        std::unique_lock<std::mutex> held(this->guard);
        const auto found = this->models.find(name);
        int refusal = 0;
        if (request.empty() || found == this->models.end()) {
            refusal = 400;
        } else if (!wanted.empty() && std::stoll(wanted) != found->second.version) {
            refusal = 421;
        } else if (found->second.is_changing || this->running >= this->slots) {
            refusal = 503;
        }
        if (refusal != 0) {
            held.unlock();
            say(this->id + " did not run " + request + " -> " + std::to_string(refusal));
            return to.write(
                respond(refusal, "Request-Id: " + request + "\r\nNot-Executed: 1\r\n", ""));
        }
        auto& model = found->second;
        const std::int64_t cuts = model.cuts;
        ++this->running;
        ++model.running;
        const std::string head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + request +
            "\r\nResponse-Stamp: stamp-" + this->id + "-" + request +
            "\r\nWeight-Versions: " + std::to_string(model.version) +
            "\r\nServer-Load: " + std::to_string(this->running) + ",0," +
            std::to_string(this->slots) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
        say(this->id + " runs " + request + " of " + name + " version " +
            std::to_string(model.version));
        held.unlock();
        const bool kept = this->stream(to, asked, head, model, cuts);
        held.lock();
        --this->running;
        --model.running;
        this->ended.notify_all();
        return kept;
    }

    // One event every 50 ms, as many as the body asks for.
    bool stream(channel& to, const message& asked, const std::string& head, model_state& model,
                std::int64_t cuts) {
        const std::string after = asked.field("last-event-id");
        const int count = asked.body.empty() ? 1 : std::stoi(asked.body);
        for (std::int64_t read_ms = 0; read_ms < this->first_event_ms; read_ms += 50) {
            std::this_thread::sleep_for(50ms);
            if (to.is_gone()) {
                return false;
            }
        }
        bool is_open = to.write(head);
        for (int next = after.empty() ? 1 : std::stoi(after) + 1; is_open && next <= count;
             ++next) {
            std::this_thread::sleep_for(50ms);
            const std::string event =
                "id: " + std::to_string(next) + "\ndata: word" + std::to_string(next) + "\n\n";
            std::ostringstream size;
            size << std::hex << event.size();
            {
                const std::lock_guard<std::mutex> held(this->guard);
                if (model.cuts != cuts) {
                    to.reset();
                    return false;
                }
            }
            is_open = !to.is_gone() && to.write(size.str() + "\r\n" + event + "\r\n");
        }
        return is_open && to.write("0\r\n\r\n");
    }

    std::string address;
    std::string store_address;
    std::string id;
    std::string service;
    int slots;
    // How long it reads a prompt.
    std::int64_t first_event_ms;
    std::mutex guard;
    std::condition_variable ended;
    std::map<std::string, model_state> models;
    int running = 0;
    bool busy = false;
    std::int64_t orders = 0;
};

// Requesters of one model: a stream every 1/RATE seconds, each on a new channel, to the fronts in
// turn.
int run_load(const std::vector<std::string>& args) {
    const double seconds = std::stod(args.at(2));
    const double rate = std::stod(args.at(3));
    const std::string& events = args.at(4);
    const std::string& key = args.at(5);
    const std::string& host = args.at(6);
    const std::string& prefix = args.at(7);
    const std::string& model = args.at(8);
    const std::string& tag = args.at(9);
    const std::vector<std::string> fronts(args.begin() + 10, args.end());
    std::atomic<int> open{0};
    const std::int64_t begun = now_ms();
    for (int number = 0; number < static_cast<int>(seconds * rate); ++number) {
        const auto due = begun + static_cast<std::int64_t>(1000.0 * number / rate);
        std::this_thread::sleep_for(std::chrono::milliseconds(due - now_ms()));
        const std::string id = tag + "-" + std::to_string(number);
        const std::string& front = fronts[static_cast<std::size_t>(number) % fronts.size()];
        const std::string session = std::to_string(10 + number % 80);
        ++open;
        std::thread([&open, id, session, front, events, key, host, prefix, model] {
            const std::string head =
                join({"POST ", prefix, "2f HTTP/1.1\r\nHost: ", host, "\r\nRequest-Id: ", id,
                      "\r\nModel-Name: ", model, "\r\nToken-Count: 9190,", events,
                      "\r\nPrompt-Prefix: 91bd3f", session, ":6300,", id,
                      ":2890\r\nRequest-Deadline: 15000\r\nAuthorization: Bearer ", key, "\r\n"});
            say(join({"sent ", id, " to ", front}));
            message answer;
            const int status = call(front, head, events, answer);
            say(join({"answered ", id, " ", std::to_string(status),
                      answer.field("response-stamp").empty() ? "" : " by an engine"}));
            --open;
        }).detach();
    }
    while (open > 0) {
        std::this_thread::sleep_for(20ms);
    }
    return 0;
}

// One stream, whose prompt has one shared part.
int run_send(const std::vector<std::string>& args) {
    const std::string& id = args.at(3);
    const std::string head =
        join({"POST ", args.at(6), "2f HTTP/1.1\r\nHost: ", args.at(5), "\r\nRequest-Id: ", id,
              "\r\nModel-Name: ", args.at(7),
              "\r\nToken-Count: 9190,10\r\nPrompt-Prefix: ", args.at(8), ":6300,", id,
              ":2890\r\nRequest-Deadline: 15000\r\nAuthorization: Bearer ", args.at(4), "\r\n"});
    say(join({"sent ", id, " to ", args.at(2)}));
    message answer;
    const int status = call(args.at(2), head, args.at(9), answer);
    say(join({"answered ", id, " ", std::to_string(status),
              answer.field("response-stamp").empty() ? "" : " by an engine"}));
    return 0;
}

// Requesters that each keep a channel: a first request with a body of FIRST bytes, and SECONDS
// later on the same channel another one with a body of SECOND bytes.
int run_kept(const std::vector<std::string>& args) {
    const auto pause = std::chrono::milliseconds(static_cast<int>(1000.0 * std::stod(args.at(2))));
    const int count = std::stoi(args.at(3));
    const std::vector<std::size_t> sizes{std::stoul(args.at(4)), std::stoul(args.at(5))};
    const std::string& key = args.at(6);
    const std::string& host = args.at(7);
    const std::string& prefix = args.at(8);
    const std::vector<std::string> fronts(args.begin() + 9, args.end());
    std::vector<std::thread> requesters;
    for (int number = 0; number < count; ++number) {
        const std::string& front = fronts[static_cast<std::size_t>(number) % fronts.size()];
        requesters.emplace_back([=] {
            const int made = connect_to(front);
            if (made < 0) {
                return;
            }
            channel to(made);
            for (std::size_t each = 0; each < sizes.size(); ++each) {
                if (each > 0) {
                    std::this_thread::sleep_for(pause);
                }
                const std::string id = (each == 0 ? "first-" : "second-") + std::to_string(number);
                say(join({"sent ", id, " to ", front}));
                message answer;
                const std::string head =
                    join({"POST ", prefix, "2f HTTP/1.1\r\nHost: ", host, "\r\nRequest-Id: ", id,
                          "\r\nRequest-Deadline: 1000\r\nAuthorization: Bearer ", key,
                          "\r\nContent-Length: ", std::to_string(sizes[each]), "\r\n\r\n"});
                const bool is_whole = to.write(head) && to.write(std::string(sizes[each], 'x')) &&
                                      to.read_message(answer);
                const std::string status =
                    is_whole ? answer.first_line.substr(answer.first_line.find(' ') + 1, 3) : "0";
                say(join({"answered ", id, " ", status,
                          answer.field("response-stamp").empty() ? "" : " by an engine"}));
            }
        });
    }
    for (auto& each : requesters) {
        each.join();
    }
    return 0;
}

// Prints as many addresses on loopback whose ports are free now, below those of outgoing channels.
int print_ports(int count) {
    int found = 0;
    for (int port = 21000 + getpid() % 125 * 32; found < count; ++port) {
        const int made = socket(AF_INET, SOCK_STREAM, 0);
        const auto at = parse_address("127.0.0.1:" + std::to_string(port));
        if (bind(made, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
            std::cout << "127.0.0.1:" << port << "\n";
            ++found;
        }
        ::close(made);
    }
    return 0;
}

int run(const std::vector<std::string>& args) {
    const std::string role = args.size() > 1 ? args.at(1) : "";
    if (role == "store") {
        static store served;
        const int listener = listen_at(args.at(2));
        std::thread([] { served.expire(); }).detach();
        return serve(listener, [](channel& from) { served.serve_channel(from); });
    }
    if (role == "engine") {
        static engine served(args.at(2), args.at(3), args.at(4), args.at(5), args.at(6),
                             std::stoi(args.at(7)), std::stoll(args.at(8)));
        // An engine listens before it lists itself, and a process that is killed closes its
        // listener before its channels.
        const int listener = listen_at(args.at(2));
        std::thread([] { served.beat(); }).detach();
        return serve(listener, [](channel& from) { served.serve_channel(from); });
    }
    if (role == "put") {
        return put_item(args.at(2), args.at(3), args.at(4)) == 200 ? 0 : 1;
    }
    if (role == "get") {
        message answer;
        const int status =
            call(args.at(2), "GET " + args.at(3) + " HTTP/1.1\r\nHost: any\r\n", "", answer);
        std::cout << status << " " << answer.body << "\n";
        return status == 200 ? 0 : 1;
    }
    if (role == "load") {
        return run_load(args);
    }
    if (role == "send") {
        return run_send(args);
    }
    if (role == "kept") {
        return run_kept(args);
    }
    if (role == "now") {
        std::cout << now_ms() << "\n";
        return 0;
    }
    if (role == "ports") {
        return print_ports(std::stoi(args.at(2)));
    }
    std::cerr << "which role?\n";
    return 2;
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    return run({argv, argv + argc});
}
