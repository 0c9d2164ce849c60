#pragma once

#include "adapters/link.h"
#include "adapters/timer.h"
#include "base/sender_clock.h"
#include "peering/messages.h"
#include "proxy/context.h"
#include "proxy/load_exchange.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace camphorrail::proxy {

// The drain announcements this entry knows of, ready to be sent to another entry.
std::vector<peering::upstream_draining> collect_drain_reports(const entry_context& context);

// The messages on where streams began.
using origin_message =
    std::variant<peering::stream_origins, peering::origin_query, peering::origin_reply>;

// Maintains the links to the other entries. An entry that the platform's store does not answer
// stays up to date through the entries that still reach it, and what one entry finds out about an
// upstream reaches all others at once.
class peers {
public:
    peers(entry_context& context, ports::platform platform);

    bool listen();
    // Renews this entry's registration, connects to newly registered entries, and queries a peer
    // for the store's contents when the local copy has gone unverified for too long.
    void tick();
    void broadcast(const peering::message& message);
    // Bytes of messages that entries which have connected to this one have not read.
    [[nodiscard]] std::size_t unread_bytes() const {
        return this->listener == nullptr ? 0 : this->listener->unread_bytes();
    }
    // Queries a peer for the store's contents at the next tick, however recently the local copy was
    // verified.
    void query_soon() { this->query_wanted = true; }
    // The same, and asks for large values as well for a while, since the store does not answer.
    void query_large_values();
    // Removes this entry's registration from the store.
    void deregister();
    // The number of entries that are registered or linked, including this one. A restored store may
    // lack registrations of entries that still run.
    [[nodiscard]] std::int64_t count() const;
    // The registered entries, in the form in which quotas are divided among them.
    [[nodiscard]] quota::listed_entries listed_entries() const;
    // The entries with an open link whose handshake has arrived.
    [[nodiscard]] std::vector<base::entry_id> connected_entries() const;
    // Those of them that understand the messages of a protocol.
    [[nodiscard]] std::vector<entries::linked_entry> linked_entries(std::int64_t protocol) const;
    // Sends a message to some connected entries.
    void send(const std::vector<base::entry_id>& to, const peering::message& message);

    // Called with the changed keys after a peer's store view has been applied to the mirror.
    std::function<void(const std::set<std::string>&)> store_changed;
    std::function<void(const peering::loaded_weights&)> weights_changed;
    // Called with a peer's dates of target weights and the time at which the peer was queried.
    std::function<void(const base::entry_id& from, const std::vector<peering::target_weights>&,
                       base::instant queried_at)>
        target_weights_received;
    std::function<void(const base::entry_id& from, const peering::kv_store_contents&)>
        kv_store_contents_received;
    // Handles changes of the store that may name large values, from an entry that watches the store
    // or from a store view; returns false if an earlier change was missed. `proved` is when a view
    // was verified; empty otherwise.
    std::function<bool(const peering::store_changes&, std::optional<base::instant> proved)>
        store_changes_received;
    // Whether a value named in a store update is still being read. Entries that would include it in
    // their replies are not queried meanwhile.
    std::function<bool()> is_reading_store;
    // Whether this entry verifies the store's contents on behalf of all others, and so needs their
    // verifications only when its own calls fail.
    std::function<bool()> verifies_store;
    // Called for crash reports and for quarantined requests, with the time at which the peer wrote
    // the message.
    std::function<void(const base::entry_id& from, const peering::crash_report&,
                       base::instant written)>
        crash_report_received;
    std::function<void(const base::entry_id& from, const peering::quarantine_notice&,
                       base::instant written)>
        quarantine_notice_received;
    std::function<void(const base::entry_id& from, const peering::cleared_prompt_parts&)>
        cleared_prompt_parts_received;
    // Called when the handshake of a new link has arrived.
    std::function<void(const base::entry_id& from)> entry_connected;
    // Handles a message on the origins of streams, written at that time.
    std::function<void(const base::entry_id& from, const origin_message&, base::instant written)>
        origin_message_received;
    // Handles an acknowledgement of a record of software versions.
    std::function<void(const base::entry_id& from, const peering::software_record_seen&)>
        software_record_seen_received;
    // Handles a report of upstreams' rate limits, written at that time.
    std::function<void(const base::entry_id& from, const peering::upstream_limits&,
                       base::instant written)>
        upstream_limits_received;
    // Handles a report that an upstream fails, written at that time; returns false if the report is
    // only to make the upstream a second choice.
    std::function<bool(const base::entry_id& from, const peering::suspicion&,
                       base::instant written)>
        suspicion_received = [](const auto&, const auto&, base::instant) { return false; };
    std::function<void(const base::entry_id& from, const peering::upstream_responding&,
                       base::instant written)>
        upstream_responding_received = [](const auto&, const auto&, base::instant) {};
    // The messages sent on a new link after the handshake.
    std::function<std::vector<peering::message>()> initial_messages;

private:
    struct peer_link {
        adapters::link_ptr link;
        base::entry_id id;
        base::availability_zone zone;
        std::int64_t protocol = peering::first_protocol;
        // Shared by all links to the same incarnation of an entry.
        std::shared_ptr<base::sender_clock> clock;
        bool open = false;
        base::instant added_at{};
        // The store query awaiting a response, 0 if there is none, and when it was sent.
        std::int64_t query_id = 0;
        base::instant queried_at{};
    };
    // Increasing numbers, so that links are iterated in the order of their creation. Ordered by
    // address, the order of queries and messages would depend on the memory layout, and a recorded
    // day could not be replayed.
    using link_key = std::int64_t;

    // The latest incarnation of another entry, and the clock that estimates when its messages were
    // sent.
    struct known_sender {
        std::int64_t incarnation = 0;
        std::shared_ptr<base::sender_clock> clock;
    };

    void register_self();
    void renew_registration();
    void create_registration(const std::string& key);
    void connect_to_new_entries();
    void send_load();
    [[nodiscard]] std::string encode_frame(const peering::message& message) const;
    void send_to(const std::vector<base::entry_id>& entries, const std::string& bytes);
    // Ends the wait after the start when all listed entries have responded or the time is over.
    void check_startup_wait();
    // Records a response to a query. One from an entry whose own view is verified ends the wait.
    void record_startup_response(const base::entry_id& from, bool confirmed);
    void finish_startup_wait(const char* why);
    void query_store();
    [[nodiscard]] bool may_query(const peer_link& peer) const;
    void send_query(peer_link& peer);
    void drop_unresponsive();
    void drop_unidentified();
    void drop_links(const std::function<bool(const peer_link&)>& is_lost);
    void send_handshake(peer_link& peer);
    void add_link(const adapters::link_ptr& link, base::entry_id id);
    void drop_link(link_key key);
    void on_received(link_key key, std::string_view bytes);
    void limit_known_senders();
    void identify_peer(peer_link& peer, const peering::handshake& message);
    // `written` is the estimated time of sending, however long the message waited to be read.
    void handle(link_key key, const peering::handshake& message, base::instant written);
    void handle(link_key key, const peering::suspicion& message, base::instant written);
    void handle(link_key key, const peering::upstream_responding& message, base::instant written);
    void handle(link_key key, const peering::loaded_weights& message, base::instant written);
    void handle(link_key key, const peering::load_report& message, base::instant written);
    void handle(link_key key, const peering::kv_store_contents& message, base::instant written);
    void handle(link_key key, const peering::store_changes& message, base::instant written);
    void handle(link_key key, const peering::crash_report& message, base::instant written);
    void handle(link_key key, const peering::quarantine_notice& message, base::instant written);
    void handle(link_key key, const peering::cleared_prompt_parts& message, base::instant written);
    void handle(link_key key, const peering::upstream_draining& message, base::instant written);
    void handle(link_key key, const peering::stream_origins& message, base::instant written);
    void handle(link_key key, const peering::origin_query& message, base::instant written);
    void handle(link_key key, const peering::origin_reply& message, base::instant written);
    void handle(link_key key, const peering::software_record_seen& message, base::instant written);
    void handle(link_key key, const peering::upstream_limits& message, base::instant written);
    void handle(link_key key, const peering::store_query& message, base::instant written);
    void handle(link_key key, const peering::store_view& message, base::instant written);
    void apply_store_view(const peer_link& peer, const peering::store_view& view);
    [[nodiscard]] std::map<base::entry_id, std::string> registered_entries() const;

    entry_context& context;
    ports::platform platform;
    std::unique_ptr<adapters::link_listener> listener;
    std::map<link_key, peer_link> links;
    std::map<base::entry_id, base::instant> next_connect_at;
    link_key last_link_key = 0;
    ports::lease lease;
    bool registering = false;
    base::instant next_registration{};
    base::instant next_query{};
    bool query_wanted = false;
    // Until then, queries ask for large values.
    base::instant large_values_until{};
    // The entries that have responded while this one waits for their knowledge, and the time until
    // which it waits; empty before it does.
    std::set<base::entry_id> responded;
    std::optional<base::instant> waits_until;
    // The link that was queried last; peers are queried in turn.
    link_key last_queried = 0;
    std::int64_t last_query_id = 0;
    // The start of this process. Each message carries the time since then, from which the receiver
    // estimates when the message was sent.
    base::instant started_at;
    std::map<base::entry_id, known_sender> known_senders;
    load_exchange loads;
    adapters::timer load_timer;
};

} // namespace camphorrail::proxy
