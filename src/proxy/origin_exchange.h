#pragma once

#include "entries/relays.h"
#include "peering/messages.h"
#include "proxy/context.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorrail::proxy {

// Shares with other entries where streams began. A client may resume its stream at any entry, also
// after the one that began it has failed.
class origin_exchange {
public:
    explicit origin_exchange(entry_context& context) : context(context) {}

    // Records a stream that began at this entry. If the pool has several versions, the entries that
    // hold the record are sent it: the caller forwards the stream's first event after that.
    void record(const base::request_id& request, const resumption::stream_origin& origin,
                base::milliseconds deadline);
    // Asks other entries where a stream began. `done` is called once, maybe before this returns.
    void find(const base::request_id& request, std::function<void(const origin_answer&)> done);
    // Sends the holders what this entry knows of a pool that did not have several versions before.
    void send_pool(const base::pool_id& pool);
    // Sends a newly connected entry the records that it holds.
    void send_all_to(const base::entry_id& entry);
    // Drops expired records.
    void tick();

    void receive(const base::entry_id& from, const peering::stream_origins& message,
                 base::instant written);
    void receive(const base::entry_id& from, const peering::origin_query& message,
                 base::instant written);
    void receive(const base::entry_id& from, const peering::origin_reply& message,
                 base::instant written);

    // The entries with an open link that understand these messages.
    std::function<std::vector<entries::linked_entry>()> connected_entries;
    std::function<void(const std::vector<base::entry_id>&, const peering::message&)> send;

private:
    struct pending_query {
        base::request_id request;
        std::set<base::entry_id> asked;
        std::function<void(const origin_answer&)> done;
    };

    [[nodiscard]] bool has_several_versions(const base::pool_id& pool) const;
    [[nodiscard]] std::vector<base::entry_id> holders_of(const base::request_id& request) const;
    [[nodiscard]] peering::stream_origin_item
    item_of(const resumption::origin_record& record) const;
    void store_item(const peering::stream_origin_item& item, base::instant written);
    void send_records(std::map<base::entry_id, peering::stream_origins>& messages);
    void finish(std::int64_t query_id, const origin_answer& answer);

    entry_context& context;
    std::map<std::int64_t, pending_query> queries;
    std::int64_t last_query_id = 0;
};

} // namespace camphorrail::proxy
