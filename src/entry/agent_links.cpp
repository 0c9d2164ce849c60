#include "entry/agent_links.h"

#include "once/ownership.h"
#include "process/config_exchange.h"

#include <algorithm>

namespace camphorrail::entry {

namespace {

// Up to this many upstreams, every link is kept open and brings a load report each second. Beyond
// it a few are kept, for configuration; the others open with their orders and close soon after,
// since heartbeats on idle links would by themselves cost more than all control may.
constexpr std::size_t few_upstreams = 32;
constexpr std::size_t steady_links_of_many = 6;
constexpr base::micros unused_limit = base::seconds(2);

bool is_work(const wire::message& message) {
    return !std::holds_alternative<wire::heartbeat>(message) &&
           !std::holds_alternative<wire::hello>(message);
}

} // namespace

struct agent_links::agent_link {
    base::upstream_id to;
    std::string address;
    process::wire_link_ptr link;
    // Messages for a link that is not open yet.
    std::vector<wire::message> waiting;
    base::instant used_at;
};

agent_links::agent_links(adapters::event_loop& loop, base::entry_id self,
                         process::config_keeper& config, adapters::metrics& metrics)
    : loop(&loop), clock(loop.clock()), self(std::move(self)), config(&config), metrics(&metrics) {}

void agent_links::send(const base::upstream_id& to, const wire::message& message) {
    auto found = this->links.find(to);
    if (found == this->links.end()) {
        const auto* known = config::find_upstream(this->config->current().config, to);
        if (known == nullptr) {
            this->loop->after(base::micros{0}, [this, to] { this->lost.emit(to); });
            return;
        }
        this->open(to, known->link);
        found = this->links.find(to);
    }
    const agent_link_ptr link = found->second;
    link->used_at = this->clock.now();
    if (link->link->open()) {
        link->link->send(message);
    } else {
        link->waiting.push_back(message);
    }
}

void agent_links::ask(const std::vector<std::string>& addresses) {
    for (const std::string& address : addresses) {
        const base::upstream_id name{"bootstrap " + address};
        if (this->links.count(name) == 0) {
            const auto link = this->open(name, address);
            link->waiting.emplace_back(wire::config_request{});
        }
    }
}

agent_links::agent_link_ptr agent_links::open(const base::upstream_id& to,
                                              const std::string& address) {
    const base::instant now = this->clock.now();
    auto made = std::make_shared<agent_link>(agent_link{
        to,
        address,
        std::make_shared<process::wire_link>(
            adapters::connect_link(this->loop->base(), address, {wire::max_frame_bytes}), now),
        {},
        now});
    this->links[to] = made;
    const std::weak_ptr<agent_link> weak = made;
    made->link->opened.connect([this, weak] {
        const auto held = weak.lock();
        if (!held) {
            return;
        }
        held->link->send(wire::hello{this->self.value, 0, this->config->version().value, {}});
        for (const auto& message : held->waiting) {
            held->link->send(message);
        }
        held->waiting.clear();
    });
    made->link->received.connect([this, weak](const wire::message& message) {
        if (const auto held = weak.lock()) {
            this->handle(held, message);
        }
    });
    made->link->lost.connect([this, weak] {
        if (const auto held = weak.lock()) {
            this->drop(held);
        }
    });
    return made;
}

void agent_links::handle(const agent_link_ptr& from, const wire::message& message) {
    const base::instant now = this->clock.now();
    from->link->note_heard(now);
    if (is_work(message)) {
        from->used_at = now;
    }
    std::int64_t version = 0;
    if (const auto* beat = std::get_if<wire::heartbeat>(&message)) {
        version = beat->config_version;
    } else if (const auto* hello = std::get_if<wire::hello>(&message)) {
        version = hello->config_version;
    }
    process::note_version(*this->config, *from->link, version);
    if (const auto* asked = std::get_if<wire::config_request>(&message)) {
        process::answer(*this->config, *from->link, *asked);
    } else if (const auto* reply = std::get_if<wire::config_reply>(&message)) {
        process::take(*this->config, *from->link, *reply);
    }
    this->received.emit(from->to, message);
}

void agent_links::drop(agent_link_ptr link) {
    const auto found = this->links.find(link->to);
    if (found == this->links.end() || found->second != link) {
        return;
    }
    this->links.erase(found);
    link->link->close();
    this->lost.emit(link->to);
}

void agent_links::beat() {
    const base::instant now = this->clock.now();
    const auto kept = this->steady();
    std::vector<agent_link_ptr> silent;
    std::vector<agent_link_ptr> unused;
    for (const auto& [to, link] : this->links) {
        const bool is_steady = std::find(kept.begin(), kept.end(), to) != kept.end();
        if (link->link->silent(now)) {
            silent.push_back(link);
        } else if (!is_steady && now - link->used_at > unused_limit) {
            unused.push_back(link);
        } else if (link->link->open()) {
            link->link->beat({this->config->version().value, {}});
        }
    }
    for (const auto& link : silent) {
        this->metrics->count("camphorrail_links_replaced_total");
        this->drop(link);
    }
    for (const auto& link : unused) {
        this->links.erase(link->to);
        link->link->close();
    }
    for (const auto& to : kept) {
        const auto* known = config::find_upstream(this->config->current().config, to);
        if (this->links.count(to) == 0 && known != nullptr) {
            this->open(to, known->link);
        }
    }
}

std::vector<base::upstream_id> agent_links::steady() const {
    std::vector<base::upstream_id> all;
    for (const auto& item : this->config->current().config.upstreams) {
        all.push_back(item.id);
    }
    // Ranked by this entry's own name, so that entries share out the agents evenly.
    auto ranked = once::ranked_owners({this->self.value}, all);
    if (ranked.size() > few_upstreams) {
        ranked.resize(steady_links_of_many);
    }
    return ranked;
}

} // namespace camphorrail::entry
