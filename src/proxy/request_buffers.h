#pragma once

#include "adapters/timer.h"
#include "buffers/yielding.h"
#include "proxy/context.h"
#include "proxy/frontend_server.h"

#include <map>
#include <memory>

namespace camphorrail::proxy {

class request_flow;

// Keeps what an entry buffers for slow clients and slow upstreams within the budget of its
// settings. Does nothing while they state no budget.
class request_buffers {
public:
    explicit request_buffers(entry_context& context);

    // The server whose connections are counted. Must be called before the first request.
    void connect(frontend_server& server) { this->server = &server; }
    [[nodiscard]] bool has_budget() const;
    [[nodiscard]] buffers::budget limits() const;
    [[nodiscard]] const buffers::account& held() const { return this->account; }

    // Counts a request on its connection from now on.
    void attach(const std::shared_ptr<request_flow>& flow, buffers::holder_id holder);
    // The request has ended; its connection may still hold a part of the response.
    void detach(buffers::holder_id holder);
    // Whether a new request may be sent. If not, it is the one that must yield.
    [[nodiscard]] bool may_take(buffers::holder_id holder, std::size_t body_bytes);
    // Measures a holder anew, and has holders yield soon if the budget is exhausted. They yield
    // from the event loop, because the caller may be the request that must end.
    void update(buffers::holder_id holder);
    // Measures all holders anew, since what readers take is not reported, and resumes paused
    // upstreams.
    void tick();
    void log_yield(buffers::holder_id holder, const buffers::amounts& held) const;
    void show_metrics() const;

private:
    [[nodiscard]] std::shared_ptr<request_flow> flow_of(buffers::holder_id holder) const;
    [[nodiscard]] buffers::holding measure(buffers::holder_id holder) const;
    void measure_all();
    void release();
    void yield(buffers::holder_id holder);
    void refuse_unread(buffers::holder_id holder);
    [[nodiscard]] base::request_id request_of(buffers::holder_id holder) const;

    entry_context& context;
    frontend_server* server = nullptr;
    buffers::account account;
    std::map<buffers::holder_id, std::weak_ptr<request_flow>> flows;
    adapters::timer release_timer;
};

} // namespace camphorrail::proxy
