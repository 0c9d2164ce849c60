#pragma once

#include "adapters/timer.h"
#include "proxy/context.h"

struct bufferevent;

namespace camphorrail::proxy {

// Looks once a second whether the store of kept KV cache takes connections. An engine that is told
// to fetch from a store that is gone waits some hundred milliseconds for it, with every prompt.
class kv_store_probe {
public:
    explicit kv_store_probe(entry_context& context);
    ~kv_store_probe();
    kv_store_probe(const kv_store_probe&) = delete;
    kv_store_probe& operator=(const kv_store_probe&) = delete;

    // Looks if it is time to.
    void tick();

private:
    void answered(bool up);
    void release();

    entry_context& context;
    adapters::timer limit;
    bufferevent* socket = nullptr;
    base::instant next{};
};

} // namespace camphorrail::proxy
