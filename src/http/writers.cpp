#include "http/writers.h"

#include <array>
#include <charconv>

namespace camphorrail::http {

namespace {

constexpr int hexadecimal = 16;

std::string_view reason_of(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void add_fields(std::string& out, const fields& all) {
    for (const auto& one : all) {
        out += one.name;
        out += ": ";
        out += one.value;
        out += "\r\n";
    }
}

void add_framing(std::string& out, body_framing body) {
    if (body.kind == framing::length) {
        out += "Content-Length: " + std::to_string(body.length) + "\r\n";
    } else if (body.kind == framing::chunks) {
        out += "Transfer-Encoding: chunked\r\n";
    }
}

} // namespace

std::string write_request_head(std::string_view method, std::string_view target, const fields& all,
                               body_framing body) {
    std::string out;
    out += method;
    out += ' ';
    out += target;
    out += " HTTP/1.1\r\n";
    add_fields(out, all);
    add_framing(out, body);
    out += "\r\n";
    return out;
}

std::string write_response_head(int status, const fields& all, body_framing body, bool keep_alive) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += reason_of(status);
    out += "\r\n";
    add_fields(out, all);
    add_framing(out, body);
    if (!keep_alive) {
        out += "Connection: close\r\n";
    }
    out += "\r\n";
    return out;
}

std::string write_chunk(std::string_view bytes) {
    std::array<char, hexadecimal> size{};
    const auto end =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal);
    std::string out(size.data(), end.ptr);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
    return out;
}

} // namespace camphorrail::http
