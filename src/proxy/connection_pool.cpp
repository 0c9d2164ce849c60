#include "proxy/connection_pool.h"

#include <algorithm>

namespace camphorrail::proxy {

connection_pool::connection_pool(event_base* base, std::function<base::instant()> now)
    : base(base), now(std::move(now)) {}

connection_ptr connection_pool::acquire(const base::upstream_id& id, const std::string& address,
                                        base::micros max_idle_time) {
    const auto found = this->idle.find(id);
    const base::instant at = this->now();
    if (found != this->idle.end() && !found->second.empty()) {
        // The most recently used connection is the least likely to have been closed by the
        // upstream.
        const idle_connection newest = found->second.back();
        if (at - newest.idle_since <= max_idle_time && at < newest.expires_at) {
            found->second.pop_back();
            newest.connection->on_idle_closed = {};
            return newest.connection;
        }
    }
    ++this->opened_count;
    return std::make_shared<upstream_connection>(this->base, address);
}

void connection_pool::release(const base::upstream_id& id, const connection_ptr& used,
                              base::micros keep_time) {
    if (!used->reusable() || keep_time <= base::micros(0)) {
        used->cancel();
        return;
    }
    const base::instant at = this->now();
    used->on_idle_closed = [this, id, raw = used.get()] { this->remove(id, raw); };
    this->idle[id].push_back({used, at, at + keep_time});
    while (this->idle_count() > this->max_idle_count) {
        this->close_oldest_idle();
    }
}

std::size_t connection_pool::idle_count() const {
    std::size_t count = 0;
    for (const auto& [id, idle_connections] : this->idle) {
        count += idle_connections.size();
    }
    return count;
}

void connection_pool::close_oldest_idle() {
    std::vector<idle_connection>* oldest = nullptr;
    for (auto& [id, idle_connections] : this->idle) {
        // Each upstream's connections are ordered by the time of their release.
        if (!idle_connections.empty() && (oldest == nullptr || idle_connections.front().idle_since <
                                                                   oldest->front().idle_since)) {
            oldest = &idle_connections;
        }
    }
    if (oldest == nullptr) {
        return;
    }
    oldest->front().connection->cancel();
    oldest->erase(oldest->begin());
}

void connection_pool::remove(const base::upstream_id& id, const upstream_connection* ended) {
    const auto found = this->idle.find(id);
    if (found == this->idle.end()) {
        return;
    }
    std::erase_if(found->second,
                  [ended](const idle_connection& each) { return each.connection.get() == ended; });
}

void connection_pool::close_idle(const base::upstream_id& id) {
    const auto found = this->idle.find(id);
    if (found == this->idle.end()) {
        return;
    }
    for (const auto& each : found->second) {
        each.connection->cancel();
    }
    this->idle.erase(found);
}

void connection_pool::close_expired() {
    const base::instant at = this->now();
    for (auto& [id, idle_connections] : this->idle) {
        std::erase_if(idle_connections, [at](const idle_connection& each) {
            const bool expired = at >= each.expires_at;
            if (expired) {
                each.connection->cancel();
            }
            return expired;
        });
    }
}

} // namespace camphorrail::proxy
