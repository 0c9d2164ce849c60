#pragma once

#include "base/ids.h"
#include "proxy/upstream_connection.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

namespace camphorrail::proxy {

// Idle connections to upstreams, keyed by upstream id rather than address, since an address may
// later belong to another upstream.
class connection_pool {
public:
    connection_pool(event_base* base, std::function<base::instant()> now);

    // Returns a pooled connection that was used at most `max_idle_time` ago, or else a new one.
    connection_ptr acquire(const base::upstream_id& id, const std::string& address,
                           base::micros max_idle_time);
    // Returns a connection to the pool for at most `keep_time`. A connection that cannot be reused
    // is closed.
    void release(const base::upstream_id& id, const connection_ptr& used, base::micros keep_time);
    // Closes the idle connections to an upstream that has ended or is suspected.
    void close_idle(const base::upstream_id& id);
    // Limits the number of idle connections; those that have been idle longest are closed first.
    void limit_idle(std::size_t count) { this->max_idle_count = count; }
    [[nodiscard]] std::size_t idle_count() const;
    // Closes the connections that have been idle for longer than they may be kept.
    void close_expired();
    [[nodiscard]] std::int64_t opened() const { return this->opened_count; }

private:
    struct idle_connection {
        connection_ptr connection;
        base::instant idle_since;
        base::instant expires_at;
    };
    void close_oldest_idle();
    void remove(const base::upstream_id& id, const upstream_connection* ended);

    event_base* base;
    std::function<base::instant()> now;
    std::unordered_map<base::upstream_id, std::vector<idle_connection>> idle;
    std::size_t max_idle_count = std::numeric_limits<std::size_t>::max();
    std::int64_t opened_count = 0;
};

} // namespace camphorrail::proxy
