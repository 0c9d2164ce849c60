#pragma once

#include "http/fields.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace camphorrail::http {

// Bounds on one message, in bytes.
struct read_limits {
    std::uint32_t head_bytes = 16U << 10U;
    std::uint64_t body_bytes = 4U << 20U;
};

enum class read_fault { none, malformed, head_too_large, body_too_large };

// Whether a number is the status of a response: three digits, of which the first names one of the
// five classes.
bool is_status(int number);

// Reads one request out of a byte stream. Bytes after its end are left alone.
class request_reader {
public:
    explicit request_reader(read_limits limits);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;

    // Reads what it can and says how many bytes it used up; the rest must be handed in again.
    std::size_t feed(std::string_view bytes);
    [[nodiscard]] bool has_head() const;
    [[nodiscard]] bool complete() const;
    [[nodiscard]] read_fault fault() const;
    [[nodiscard]] request_head& head();
    // The body read since the last call.
    std::string take_body();
    // Memory that the head takes up, and the request received so far with it, in bytes.
    [[nodiscard]] std::size_t head_memory() const;
    [[nodiscard]] std::size_t memory() const;
    // Bytes of the body that are to come, if its length is known; else 0.
    [[nodiscard]] std::size_t announced_bytes() const;

private:
    struct state;
    std::unique_ptr<state> held;
};

// Reads one answer, interim answers (1xx) left out. All their heads together are bounded as the
// head of the answer is.
class response_reader {
public:
    explicit response_reader(read_limits limits);
    ~response_reader();
    response_reader(response_reader&&) noexcept;
    response_reader& operator=(response_reader&&) noexcept;

    std::size_t feed(std::string_view bytes);
    // The connection was closed in an orderly way. Completes an answer without a length.
    void feed_end();
    [[nodiscard]] bool has_head() const;
    [[nodiscard]] bool complete() const;
    [[nodiscard]] read_fault fault() const;
    [[nodiscard]] const response_head& head() const;
    std::string take_body();

private:
    struct state;
    std::unique_ptr<state> held;
    read_limits limits;
};

} // namespace camphorrail::http
