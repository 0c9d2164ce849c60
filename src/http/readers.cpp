#include "http/readers.h"

#include "http/head_check.h"

#include <boost/beast/http/basic_parser.hpp>

#include <utility>

namespace camphorrail::http {

namespace {

namespace beast = boost::beast;

// A chunk's line is a few bytes; one that never ends would fill our memory.
constexpr std::size_t max_chunk_line = 4096;
constexpr int min_status = 100;
constexpr int first_final_status = 200;
constexpr int max_status = 599;

// A large body grows by a quarter at a time: doubled, it would take up twice its size.
constexpr std::size_t min_large_body = 64U << 10U;
constexpr std::size_t growth_divisor = 4;

void append(std::string& body, beast::string_view bytes) {
    const std::size_t needed = body.size() + bytes.size();
    if (needed > body.capacity() && needed > min_large_body) {
        body.reserve(needed + needed / growth_divisor);
    }
    body.append(bytes.data(), bytes.size());
}

template <bool is_request>
class parser : public beast::http::basic_parser<is_request> {
public:
    explicit parser(read_limits limits) {
        this->header_limit(limits.head_bytes);
        this->body_limit(limits.body_bytes);
        this->eager(true);
    }

    std::string method;
    std::string target;
    int status = 0;
    int version = 0;
    http::fields all;
    std::string body;

private:
    using code = beast::error_code;
    using text = beast::string_view;

    void on_request_impl(beast::http::verb /*verb*/, text method_text, text target_text, int number,
                         code& /*error*/) override {
        this->method.assign(method_text.data(), method_text.size());
        this->target.assign(target_text.data(), target_text.size());
        this->version = number;
    }
    void on_response_impl(int code_number, text /*reason*/, int number, code& error) override {
        if (!is_status(code_number)) {
            error = beast::http::error::bad_status;
        }
        this->status = code_number;
        this->version = number;
    }
    void on_field_impl(beast::http::field /*known*/, text name, text value,
                       code& /*error*/) override {
        // Fields after the body (trailers) are dropped: nobody here acts on them.
        if (!this->is_header_done()) {
            this->all.push_back(
                {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
        }
    }
    void on_header_impl(code& /*error*/) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           code& /*error*/) override {}
    std::size_t on_body_impl(text bytes, code& /*error*/) override {
        append(this->body, bytes);
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, text /*extensions*/,
                              code& /*error*/) override {}
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, text bytes, code& /*error*/) override {
        append(this->body, bytes);
        return bytes.size();
    }
    void on_finish_impl(code& /*error*/) override {}
};

read_fault to_fault(const beast::error_code& error) {
    if (!error || error == beast::http::error::need_more) {
        return read_fault::none;
    }
    if (error == beast::http::error::body_limit) {
        return read_fault::body_too_large;
    }
    if (error == beast::http::error::header_limit) {
        return read_fault::head_too_large;
    }
    return read_fault::malformed;
}

template <bool is_request>
std::size_t feed_head(parser<is_request>& reader, std::string_view bytes, read_limits limits,
                      read_fault& fault) {
    const auto length = head_length(bytes);
    if (length == std::string_view::npos || length > limits.head_bytes) {
        const bool too_large = length != std::string_view::npos || bytes.size() > limits.head_bytes;
        fault = too_large ? read_fault::head_too_large : read_fault::none;
        return 0;
    }
    if (!is_unambiguous(bytes.substr(0, length))) {
        fault = read_fault::malformed;
        return 0;
    }
    beast::error_code error;
    const auto used = reader.put(boost::asio::const_buffer(bytes.data(), length), error);
    fault = to_fault(error);
    if (fault == read_fault::none && !reader.is_header_done()) {
        // Empty lines alone: the parser waits for a start line behind them, without end.
        fault = read_fault::malformed;
    }
    return used;
}

template <bool is_request>
std::size_t feed_body(parser<is_request>& reader, std::string_view bytes, read_fault& fault) {
    if (bytes.empty() || reader.is_done()) {
        return 0;
    }
    beast::error_code error;
    const auto used = reader.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    fault = to_fault(error);
    if (fault == read_fault::none && used == 0 && bytes.size() > max_chunk_line) {
        fault = read_fault::malformed;
    }
    return used;
}

template <bool is_request>
std::size_t feed_any(parser<is_request>& reader, std::string_view bytes, read_limits limits,
                     read_fault& fault) {
    std::size_t used = 0;
    if (!reader.is_header_done()) {
        used = feed_head(reader, bytes, limits, fault);
        if (fault != read_fault::none || !reader.is_header_done()) {
            return used;
        }
    }
    return used + feed_body(reader, bytes.substr(used), fault);
}

constexpr int version_1_1 = 11;

} // namespace

bool is_status(int number) {
    return number >= min_status && number <= max_status;
}

struct request_reader::state {
    explicit state(read_limits bounds) : reader(bounds), limits(bounds) {}
    parser<true> reader;
    read_limits limits;
    read_fault fault = read_fault::none;
    bool head_taken = false;
    request_head head;
    std::size_t head_memory = 0;
};

request_reader::request_reader(read_limits limits) : held(std::make_unique<state>(limits)) {}
request_reader::~request_reader() = default;
request_reader::request_reader(request_reader&&) noexcept = default;
request_reader& request_reader::operator=(request_reader&&) noexcept = default;

std::size_t request_reader::feed(std::string_view bytes) {
    state& now = *this->held;
    const std::size_t used = feed_any(now.reader, bytes, now.limits, now.fault);
    if (now.reader.is_header_done() && !now.head_taken) {
        now.head_taken = true;
        now.head.method = std::move(now.reader.method);
        now.head.target = std::move(now.reader.target);
        now.head.all = std::move(now.reader.all);
        now.head.all.shrink_to_fit();
        now.head_memory = memory_of(now.head);
        now.head.keep_alive = now.reader.keep_alive();
        now.head.chunks_allowed = now.reader.version == version_1_1;
    }
    return used;
}

bool request_reader::has_head() const {
    return this->held->head_taken;
}

bool request_reader::complete() const {
    return this->held->reader.is_done();
}

read_fault request_reader::fault() const {
    return this->held->fault;
}

request_head& request_reader::head() {
    return this->held->head;
}

std::string request_reader::take_body() {
    return std::exchange(this->held->reader.body, {});
}

std::size_t request_reader::head_memory() const {
    return this->held->head_memory;
}

std::size_t request_reader::memory() const {
    return this->held->head_memory + memory_of(this->held->reader.body);
}

std::size_t request_reader::announced_bytes() const {
    const auto left = this->held->reader.content_length_remaining();
    return left ? static_cast<std::size_t>(*left) : 0;
}

struct response_reader::state {
    explicit state(read_limits bounds) : reader(bounds) {}
    parser<false> reader;
    read_fault fault = read_fault::none;
    bool head_taken = false;
    response_head head;
    // The size of the interim heads before this response.
    std::size_t interim_bytes = 0;
};

response_reader::response_reader(read_limits bounds)
    : held(std::make_unique<state>(bounds)), limits(bounds) {}
response_reader::~response_reader() = default;
response_reader::response_reader(response_reader&&) noexcept = default;
response_reader& response_reader::operator=(response_reader&&) noexcept = default;

std::size_t response_reader::feed(std::string_view bytes) {
    std::size_t used = 0;
    while (true) {
        const std::size_t step =
            feed_any(this->held->reader, bytes.substr(used), this->limits, this->held->fault);
        used += step;
        state& now = *this->held;
        if (!now.reader.is_header_done() || now.head_taken || now.fault != read_fault::none) {
            return used;
        }
        if (now.reader.status >= first_final_status) {
            break;
        }
        const std::size_t interim_bytes = now.interim_bytes + step;
        this->held = std::make_unique<state>(this->limits);
        this->held->interim_bytes = interim_bytes;
        if (interim_bytes > this->limits.head_bytes) {
            this->held->fault = read_fault::head_too_large;
            return used;
        }
    }
    state& now = *this->held;
    now.head_taken = true;
    now.head.status = now.reader.status;
    now.head.all = std::move(now.reader.all);
    now.head.keep_alive = now.reader.keep_alive();
    now.head.ends_with_close = now.reader.need_eof();
    return used;
}

void response_reader::feed_end() {
    state& now = *this->held;
    if (now.reader.is_done()) {
        return;
    }
    if (!now.reader.is_header_done()) {
        now.fault = read_fault::malformed;
        return;
    }
    beast::error_code error;
    now.reader.put_eof(error);
    now.fault = to_fault(error);
}

bool response_reader::has_head() const {
    return this->held->head_taken;
}

bool response_reader::complete() const {
    return this->held->reader.is_done();
}

read_fault response_reader::fault() const {
    return this->held->fault;
}

const response_head& response_reader::head() const {
    return this->held->head;
}

std::string response_reader::take_body() {
    return std::exchange(this->held->reader.body, {});
}

} // namespace camphorrail::http
