#include "http/fields.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace camphorrail::http {

namespace {

constexpr std::array<std::string_view, 9> connection_fields{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Transfer-Encoding",
                                                            "TE",
                                                            "Trailer",
                                                            "Upgrade",
                                                            "Expect"};

char lower(char letter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

} // namespace

bool same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

std::string_view value_of(const fields& all, std::string_view name) {
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const field& one) { return same_name(one.name, name); });
    return found == all.end() ? std::string_view{} : std::string_view(found->value);
}

bool has(const fields& all, std::string_view name) {
    return std::any_of(all.begin(), all.end(),
                       [&](const field& one) { return same_name(one.name, name); });
}

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

std::vector<std::string_view> items_of(std::string_view value) {
    std::vector<std::string_view> items;
    while (!value.empty()) {
        const auto comma = value.find(',');
        const std::string_view item = trim(value.substr(0, comma));
        value.remove_prefix(comma == std::string_view::npos ? value.size() : comma + 1);
        if (!item.empty()) {
            items.push_back(item);
        }
    }
    return items;
}

bool is_hop_by_hop(const fields& all, std::string_view name) {
    const auto same = [&](std::string_view other) { return same_name(other, name); };
    if (std::any_of(connection_fields.begin(), connection_fields.end(), same)) {
        return true;
    }
    for (const auto& one : all) {
        if (!same_name(one.name, "Connection")) {
            continue;
        }
        const auto listed = items_of(one.value);
        if (std::any_of(listed.begin(), listed.end(), same)) {
            return true;
        }
    }
    return false;
}

std::size_t memory_of(const std::string& text) {
    // A short text lies within its object.
    return text.capacity() < sizeof(std::string) ? 0 : text.capacity() + 1;
}

std::size_t memory_of(const request_head& head) {
    std::size_t bytes =
        memory_of(head.method) + memory_of(head.target) + head.all.capacity() * sizeof(field);
    for (const auto& each : head.all) {
        bytes += memory_of(each.name) + memory_of(each.value);
    }
    return bytes;
}

} // namespace camphorrail::http
