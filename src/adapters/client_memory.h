#pragma once

#include "adapters/frontend_server.h"
#include "adapters/timer.h"
#include "buffers/yielding.h"

#include <functional>
#include <optional>

struct event_base;

namespace camphorrail::adapters {

// What the owner of a server knows of the requests on its connections.
struct client_memory_callbacks {
    // The budget in force.
    std::function<buffers::budget()> budget;
    // What the request of a connection holds, apart from what the connection itself buffers;
    // nothing if there is no such request.
    std::function<std::optional<buffers::holding>(buffers::holder_id)> measure_request;
    // Ends the request of a connection to release what it holds.
    std::function<void(buffers::holder_id)> yield_request;
    // What a request that is still being received is refused with.
    std::function<refusal(buffers::holder_id)> make_refusal;
    // A holder is about to yield; may be empty.
    std::function<void(buffers::holder_id, const buffers::amounts&)> on_yield = {};
};

// Keeps what the connections of a server and their requests hold within a budget, by having some of
// them yield. Does nothing without a budget.
class client_memory {
public:
    client_memory(event_base* base, client_memory_callbacks callbacks);

    // The server whose connections are counted. Must be called before the first request.
    void connect(frontend_server& server) { this->server = &server; }
    [[nodiscard]] bool has_budget() const;
    [[nodiscard]] const buffers::account& held() const { return this->account; }

    // The head of a request that is being received; null before it is complete.
    [[nodiscard]] const http::request_head* head_of(buffers::holder_id holder) const {
        return this->server->buffered(holder.value).head;
    }

    // Whether a request may hold so many bytes more. If not, it is the one that must yield.
    [[nodiscard]] bool may_take(buffers::holder_id holder, const buffers::amounts& more);
    // Refuses a request whose body would not find room. To be called when its head was received.
    void check_announced(buffers::holder_id holder);
    // Measures a holder that has received something, and has holders yield at once if the budget is
    // exhausted: later, many more connections may have received as much.
    void record_received(buffers::holder_id holder);
    // Measures a holder anew, and has holders yield soon if the budget is exhausted. They yield
    // from the event loop, because the caller may be the request that must end.
    void update(buffers::holder_id holder);
    // Measures all holders anew, since what readers take is not reported. To be called regularly.
    void tick();

private:
    [[nodiscard]] buffers::holding measure(buffers::holder_id holder) const;
    void measure_all();
    void release();
    void yield(buffers::holder_id holder);
    void refuse_unread(buffers::holder_id holder);

    client_memory_callbacks callbacks;
    frontend_server* server = nullptr;
    buffers::account account;
    timer release_timer;
};

} // namespace camphorrail::adapters
