#include "proxy/origin_exchange.h"

#include "entries/holders.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// Entries that hold a record beside the one that began the stream. Each costs a message a stream,
// and a third one would use up what an entry of a large fleet may send.
constexpr std::size_t remote_holder_count = 2;
// Entries that are asked about one stream: its holders, and a few more in case some holders have
// started since the stream began.
constexpr std::size_t max_asked = 8;
// A reply takes two network hops and one event loop iteration of a loaded VM.
constexpr base::milliseconds reply_timeout{150};
// Records in one message, so that a newly connected entry handles other messages in between.
constexpr std::size_t max_items = 256;

} // namespace

bool origin_exchange::has_several_versions(const base::pool_id& pool) const {
    const auto found = this->context.state.software.find(pool);
    return found != this->context.state.software.end() &&
           resumption::has_several_versions(found->second);
}

std::vector<base::entry_id> origin_exchange::holders_of(const base::request_id& request) const {
    return entries::rank_holders(this->connected_entries(), request.value, remote_holder_count);
}

peering::stream_origin_item
origin_exchange::item_of(const resumption::origin_record& record) const {
    const auto remaining =
        std::chrono::duration_cast<base::milliseconds>(record.expires_at - this->context.now());
    return {record.request, record.origin, std::max(remaining, base::milliseconds(0))};
}

void origin_exchange::record(const base::request_id& request,
                             const resumption::stream_origin& origin, base::milliseconds deadline) {
    const resumption::origin_record record{
        request, origin, this->context.now() + resumption::record_lifetime(deadline)};
    resumption::record_origin(this->context.state.origins, record);
    if (!this->has_several_versions(origin.pool)) {
        return;
    }
    const auto holders = this->holders_of(request);
    this->send(holders, peering::stream_origins{{this->item_of(record)}});
    this->context.metrics.count("camphorrail_stream_origins_sent_total");
}

void origin_exchange::find(const base::request_id& request,
                           std::function<void(const origin_answer&)> done) {
    const auto asked = entries::rank_holders(this->connected_entries(), request.value, max_asked);
    if (asked.empty()) {
        done({});
        return;
    }
    const std::int64_t query_id = ++this->last_query_id;
    this->queries[query_id] = {request, {asked.begin(), asked.end()}, std::move(done)};
    this->send(asked, peering::origin_query{query_id, request});
    this->context.loop.after(reply_timeout, [this, query_id] { this->finish(query_id, {}); });
}

void origin_exchange::finish(std::int64_t query_id, const origin_answer& answer) {
    const auto found = this->queries.find(query_id);
    if (found == this->queries.end()) {
        return;
    }
    const auto query = std::move(found->second);
    this->queries.erase(found);
    query.done(answer);
}

void origin_exchange::send_records(std::map<base::entry_id, peering::stream_origins>& messages) {
    for (auto& [entry, message] : messages) {
        for (std::size_t first = 0; first < message.items.size(); first += max_items) {
            const auto from = message.items.begin() + static_cast<std::ptrdiff_t>(first);
            const auto count = std::min(max_items, message.items.size() - first);
            this->send({entry},
                       peering::stream_origins{{from, from + static_cast<std::ptrdiff_t>(count)}});
        }
    }
}

void origin_exchange::send_pool(const base::pool_id& pool) {
    std::map<base::entry_id, peering::stream_origins> messages;
    const auto records = resumption::records_of_pool(this->context.state.origins, pool);
    for (const auto& record : records) {
        for (const auto& holder : this->holders_of(record.request)) {
            messages[holder].items.push_back(this->item_of(record));
        }
    }
    this->send_records(messages);
    this->context.log.line(importance::keep, "stream_origins_sent")
        .text("pool", pool.value)
        .text("entry", "")
        .number("streams", static_cast<std::int64_t>(records.size()));
}

void origin_exchange::send_all_to(const base::entry_id& entry) {
    std::map<base::entry_id, peering::stream_origins> messages;
    for (const auto& [pool, versions] : this->context.state.software) {
        if (!resumption::has_several_versions(versions)) {
            continue;
        }
        for (const auto& record : resumption::records_of_pool(this->context.state.origins, pool)) {
            const auto holders = this->holders_of(record.request);
            if (std::find(holders.begin(), holders.end(), entry) != holders.end()) {
                messages[entry].items.push_back(this->item_of(record));
            }
        }
    }
    if (messages.empty()) {
        return;
    }
    const auto count = static_cast<std::int64_t>(messages[entry].items.size());
    this->send_records(messages);
    this->context.log.line(importance::keep, "stream_origins_sent")
        .text("pool", "")
        .text("entry", entry.value)
        .number("streams", count);
}

void origin_exchange::tick() {
    resumption::drop_expired(this->context.state.origins, this->context.now());
}

void origin_exchange::store_item(const peering::stream_origin_item& item, base::instant written) {
    resumption::record_origin(this->context.state.origins,
                              {item.request, item.origin, written + item.remaining});
}

void origin_exchange::receive(const base::entry_id& /*from*/,
                              const peering::stream_origins& message, base::instant written) {
    for (const auto& item : message.items) {
        this->store_item(item, written);
    }
}

void origin_exchange::receive(const base::entry_id& from, const peering::origin_query& message,
                              base::instant /*written*/) {
    peering::origin_reply reply{message.query_id, {}};
    if (const auto record = resumption::find_origin(this->context.state.origins, message.request)) {
        reply.item = this->item_of(*record);
    }
    this->send({from}, reply);
}

void origin_exchange::receive(const base::entry_id& from, const peering::origin_reply& message,
                              base::instant written) {
    const auto found = this->queries.find(message.query_id);
    if (found == this->queries.end() || found->second.asked.erase(from) == 0) {
        return;
    }
    if (message.item && message.item->request == found->second.request) {
        this->store_item(*message.item, written);
        this->finish(message.query_id, {message.item->origin, true});
    } else if (found->second.asked.empty()) {
        this->finish(message.query_id, {std::nullopt, true});
    }
}

} // namespace camphorrail::proxy
