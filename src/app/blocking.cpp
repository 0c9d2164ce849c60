#include "app/blocking.h"

#include "adapters/http_client.h"

namespace camphorrail::app {

namespace {

constexpr base::milliseconds timeout{3000};
constexpr std::size_t most_bytes = 64U << 20U;
constexpr int http_ok = 200;

} // namespace

base::result<std::string> fetch_text(adapters::event_loop& loop, const std::string& address,
                                     const std::string& path) {
    const auto answer = wait_for<adapters::http_answer>(loop, [&](auto done) {
        adapters::http_fetch(loop.base(), address, {"GET", path, {}, ""}, {timeout, true},
                             most_bytes, done);
    });
    if (!answer.has_value()) {
        return base::to_code(answer.error());
    }
    if (answer.value().status != http_ok) {
        return base::code::upstream_answer_malformed;
    }
    return answer.value().body;
}

} // namespace camphorrail::app
