#pragma once

#include "base/ids.h"
#include "proxy/upstream_connection.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

namespace camphorrail::proxy {

// Idle connections to upstreams, by the upstream's start: an address may be another's later.
class connection_pool {
public:
    connection_pool(event_base* base, std::function<base::instant()> now);

    // A connection to an upstream: one that stands and was used at most `longest_idle` ago, or else
    // a new one.
    connection_ptr acquire(const base::upstream_id& id, const std::string& address,
                           base::micros max_idle_time);
    // Keeps a connection whose answer was whole, for at most `keep` from now.
    void release(const base::upstream_id& id, const connection_ptr& used, base::micros keep_time);
    // Closes the idle connections to an upstream that has ended or is suspected.
    void close_idle(const base::upstream_id& id);
    // Keeps at most so many; the ones that have been idle longest are closed first.
    void limit_idle(std::size_t count) { this->max_idle_count = count; }
    [[nodiscard]] std::size_t idle_count() const;
    // Closes what has been idle for too long.
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
