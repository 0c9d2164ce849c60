#pragma once

#include "adapters/client_memory.h"
#include "proxy/context.h"

#include <map>
#include <memory>

namespace camphorrail::proxy {

class request_flow;

// Keeps what an entry buffers for its clients and for slow upstreams within the budget of its
// settings. Does nothing while they state no memory.
class request_buffers {
public:
    explicit request_buffers(entry_context& context);

    // The server whose connections are counted. Must be called before the first request.
    void connect(adapters::frontend_server& server) { this->memory.connect(server); }
    [[nodiscard]] buffers::budget limits() const;
    [[nodiscard]] const buffers::account& held() const { return this->memory.held(); }
    // Whether responses are read from upstreams beyond what their clients have read, while the
    // budget lasts.
    [[nodiscard]] bool reads_ahead() const;

    // Counts a request on its connection from now on.
    void attach(const std::shared_ptr<request_flow>& flow, buffers::holder_id holder);
    // The request has ended; its connection may still hold a part of the response.
    void detach(buffers::holder_id holder);
    // Whether a new request may be sent. If not, it is the one that must yield.
    [[nodiscard]] bool may_take(buffers::holder_id holder, std::size_t body_bytes);
    // Refuses a request whose body would not find room.
    void check_announced(buffers::holder_id holder) { this->memory.check_announced(holder); }
    // Measures a holder that has received something, and has holders yield at once if the budget is
    // exhausted.
    void record_received(buffers::holder_id holder) { this->memory.record_received(holder); }
    // Measures a holder anew, and has holders yield soon if the budget is exhausted.
    void update(buffers::holder_id holder) { this->memory.update(holder); }
    // Measures all holders anew, and resumes paused upstreams.
    void tick();
    void log_yield(buffers::holder_id holder, const buffers::amounts& held) const;
    void show_metrics() const;

private:
    [[nodiscard]] std::shared_ptr<request_flow> flow_of(buffers::holder_id holder) const;
    [[nodiscard]] adapters::refusal make_refusal(buffers::holder_id holder) const;
    [[nodiscard]] base::request_id request_of(buffers::holder_id holder) const;

    entry_context& context;
    adapters::client_memory memory;
    std::map<buffers::holder_id, std::weak_ptr<request_flow>> flows;
};

} // namespace camphorrail::proxy
