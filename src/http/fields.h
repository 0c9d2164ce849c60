#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrail::http {

// One header field, its name as the sender spelled it.
struct field {
    std::string name;
    std::string value;
};

using fields = std::vector<field>;

// Field names are equal whatever their case.
bool same_name(std::string_view left, std::string_view right);

// The value of the first field of that name; empty where there is none.
std::string_view value_of(const fields& all, std::string_view name);

bool has(const fields& all, std::string_view name);

// The text without the spaces and tabs around it.
std::string_view trim(std::string_view text);

// The items of a comma-separated value, without the spaces around them.
std::vector<std::string_view> items_of(std::string_view value);

// Whether a field concerns one connection only and so must not be passed on: the ones that HTTP
// names, and those that this message's Connection field lists.
bool is_hop_by_hop(const fields& all, std::string_view name);

// A request without its body.
struct request_head {
    std::string method;
    std::string target;
    fields all;
    bool keep_alive = true;
    // HTTP/1.0 callers can't take chunks.
    bool chunks_allowed = true;
};

// Memory that a text takes up beside its object, in bytes.
std::size_t memory_of(const std::string& text);

// Memory that a head takes up, in bytes. Many small fields take up several times their length.
std::size_t memory_of(const request_head& head);

// An answer without its body.
struct response_head {
    int status = 0;
    fields all;
    bool keep_alive = true;
    // The body ends where the connection does, so only an orderly close completes it.
    bool ends_with_close = false;
};

} // namespace camphorrail::http
