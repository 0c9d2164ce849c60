#include "crowd/load_kinds.h"

#include "peering/messages.h"
#include "raw_client.h"
#include "wire/messages.h"

#include <functional>
#include <map>

namespace camphorrail::crowd {

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
// The largest body that clients may send.
constexpr std::size_t legal_body = 4 * megabyte;
constexpr std::size_t piece = 16 * kilobyte;
constexpr std::size_t burst = megabyte;

std::string post(const request_target& target, const std::string& framing) {
    return "POST " + target.path + " HTTP/1.1\r\n" + target.fields + framing + "\r\n";
}

std::string with_length(const request_target& target, const std::string& length) {
    return post(target, "Content-Length: " + length + "\r\n");
}

std::string in_chunks(const request_target& target) {
    return post(target, "Transfer-Encoding: chunked\r\n");
}

using tests::link_handshake;

const std::string letters(piece, 'x');
const std::string large_chunk = "10000\r\n" + std::string(64 * kilobyte, 'x') + "\r\n";
const std::string last_chunk = "0\r\n\r\n";

client_load legal_length(const request_target& target, std::size_t turn_bytes) {
    return {with_length(target, std::to_string(legal_body)), letters, legal_body / letters.size(),
            "", turn_bytes};
}

client_load whole_bodies(const request_target& target) {
    auto load = legal_length(target, burst);
    load.completing = 1;
    return load;
}

client_load large_chunks(const request_target& target) {
    return {in_chunks(target), large_chunk, legal_body / (64 * kilobyte), last_chunk, burst};
}

client_load tiny_chunks(const request_target& target) {
    std::string block;
    while (block.size() < piece) {
        block += "1\r\nx\r\n";
    }
    return {in_chunks(target), block, without_end, "", burst};
}

client_load announced_length(const request_target& target) {
    return {with_length(target, std::to_string(40 * kilobyte * megabyte)), letters, without_end, "",
            burst};
}

client_load announced_chunk(const request_target& target) {
    return {in_chunks(target) + "40000000\r\n", letters, without_end, "", burst};
}

client_load endless_chunks(const request_target& target) {
    return {in_chunks(target), large_chunk, without_end, "", burst};
}

// A head of nearly 16 KB, and a body that does not come.
client_load many_fields(const request_target& target) {
    std::string fields;
    while (fields.size() < 15 * kilobyte) {
        fields += "a:b\r\n";
    }
    auto load = with_length({target.path, target.fields + fields}, "100");
    return {load, letters.substr(0, 100), 1, "", burst};
}

// Requests that are refused, one behind the other, whose responses nobody reads.
client_load unread_responses(const request_target& /*target*/) {
    std::string block;
    while (block.size() < piece) {
        block += "GET /nowhere HTTP/1.1\r\nHost: desk.example\r\n\r\n";
    }
    return {"", block, without_end, "", 4 * piece, 1, false};
}

// Requests with a legal body of JSON in which objects hold one another.
client_load nested_json(const request_target& target) {
    const std::string begin = R"({"model":"desk-8b","prompt":"x","a":)";
    const std::string open = R"({"a":)";
    const std::size_t depth = legal_body / (open.size() + 1) - piece;
    std::string body = begin;
    for (std::size_t level = 0; level < depth; ++level) {
        body += open;
    }
    body += "1" + std::string(depth, '}') + "}";
    return {with_length(target, std::to_string(body.size())), body, 1, "", burst, 1};
}

// The head of a binary frame of so many bytes, masked with zeros.
std::string frame_head(std::uint64_t bytes) {
    constexpr std::uint64_t max_short = 125;
    constexpr std::uint64_t max_medium = 65535;
    constexpr unsigned bits_per_byte = 8;
    std::string head("\x82");
    unsigned length_bytes = 0;
    if (bytes <= max_short) {
        head += static_cast<char>(0x80U | bytes);
    } else {
        head += bytes <= max_medium ? '\xfe' : '\xff';
        length_bytes = bytes <= max_medium ? 2 : 8;
    }
    for (unsigned left = length_bytes; left > 0; --left) {
        head += static_cast<char>(bytes >> (bits_per_byte * (left - 1)));
    }
    return head + std::string(4, '\0');
}

std::string in_frame(const std::string& message) {
    return frame_head(message.size()) + message;
}

// A message of 8,000,000 bytes on a link between two of our processes, which does not end.
client_load link_messages(const request_target& /*target*/) {
    return {link_handshake + frame_head(8'000'000), letters, 7 * megabyte / letters.size(), "",
            burst};
}

// The same message on a link again and again. Nobody reads what it is answered with.
client_load unread_replies(const std::string& message) {
    std::string block;
    while (block.size() < piece) {
        block += in_frame(message);
    }
    return {link_handshake, block, without_end, "", 4 * piece, 1, false};
}

client_load unread_store_views(const request_target& /*target*/) {
    return unread_replies(peering::encode({peering::store_query{1, {}, true}}));
}

client_load unread_configurations(const request_target& /*target*/) {
    return unread_replies(wire::encode(wire::config_request{0}));
}

// Messages in which arrays hold one another, or hold millions of values. They are legal CBOR.
client_load nested_messages(const request_target& /*target*/) {
    return {link_handshake + frame_head(megabyte),
            std::string(piece, '\x81'),
            megabyte / piece,
            "",
            burst,
            1};
}

client_load many_values(const request_target& /*target*/) {
    // An array of so many values in the next four bytes, each of them null.
    constexpr std::size_t values = 4 * megabyte;
    const std::string array("\x9a\x00\x40\x00\x00", 5);
    return {link_handshake + frame_head(array.size() + values) + array,
            std::string(piece, '\xf6'),
            values / piece,
            "",
            burst,
            1};
}

// Messages that are read and ignored, one behind the other, until the process is stopped.
client_load frozen_links(const std::string& message) {
    auto load = unread_replies(message);
    load.turn_bytes = burst;
    load.freezes = true;
    return load;
}

client_load frozen_entry_links(const request_target& /*target*/) {
    const std::string name(4 * kilobyte, 'x');
    return frozen_links(peering::encode({peering::upstream_responding{{{name}, {1}}}}));
}

client_load frozen_agent_links(const request_target& /*target*/) {
    return frozen_links(wire::encode(wire::credit{std::string(4 * kilobyte, 'x'), 1}));
}

client_load frozen_bodies(const request_target& target) {
    auto load = legal_length(target, burst);
    load.freezes = true;
    return load;
}

// Twenty messages on a link, each with a name of 100 KB that no other has.
client_load link_names(const std::function<peering::message(const std::string&)>& make_message) {
    constexpr int names = 20;
    std::string head = link_handshake;
    for (int name = 0; name < names; ++name) {
        const std::string unique = "{00000000}-" + std::to_string(name);
        head +=
            in_frame(peering::encode({make_message(unique + std::string(100 * kilobyte, 'x'))}));
    }
    return {head, "", 0, "", burst, 1};
}

client_load entry_names(const request_target& /*target*/) {
    return link_names([](const std::string& name) { return peering::handshake{{name}, {"a"}, 1}; });
}

client_load pool_names(const request_target& /*target*/) {
    return link_names([](const std::string& name) {
        return peering::software_record_seen{{name}, {}};
    });
}

// Whole requests on a connection each, with what the target's fields hold.
client_load whole_requests(const request_target& target) {
    return {with_length({target.path, target.fields + "Connection: close\r\n"}, "2"),
            "{}",
            1,
            "",
            burst,
            1};
}

client_load idle_connections(const request_target& /*target*/) {
    return {"", "", 0, "", burst, 1};
}

using make_load = std::function<client_load(const request_target&)>;

const std::map<std::string, make_load>& all_loads() {
    static const std::map<std::string, make_load> loads{
        {"length_burst", [](const auto& target) { return legal_length(target, burst); }},
        {"length_pieces", [](const auto& target) { return legal_length(target, piece); }},
        {"whole_bodies", whole_bodies},
        {"large_chunks", large_chunks},
        {"tiny_chunks", tiny_chunks},
        {"announced_length", announced_length},
        {"announced_chunk", announced_chunk},
        {"endless_chunks", endless_chunks},
        {"many_fields", many_fields},
        {"unread_responses", unread_responses},
        {"nested_json", nested_json},
        {"link_messages", link_messages},
        {"unread_store_views", unread_store_views},
        {"unread_configurations", unread_configurations},
        {"link_names", entry_names},
        {"pool_names", pool_names},
        {"nested_messages", nested_messages},
        {"many_values", many_values},
        {"frozen_entry_links", frozen_entry_links},
        {"frozen_agent_links", frozen_agent_links},
        {"frozen_bodies", frozen_bodies},
        {"long_names", whole_requests},
        {"idle_connections", idle_connections}};
    return loads;
}

} // namespace

std::optional<client_load> find_load(const std::string& name, const request_target& target) {
    const auto found = all_loads().find(name);
    if (found == all_loads().end()) {
        return std::nullopt;
    }
    return found->second(target);
}

} // namespace camphorrail::crowd
