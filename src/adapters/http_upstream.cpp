#include "adapters/http_upstream.h"

#include "adapters/http_client.h"

namespace camphorrail::adapters {

ports::upstream make_http_upstream(event_base* base, const std::string& address,
                                   base::milliseconds timeout) {
    return {[=](const ports::upstream_call& call, ports::response_handler handler) {
        return http_call(base, address, call, std::move(handler), {timeout, true});
    }};
}

} // namespace camphorrail::adapters
