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
#include <vector>

namespace camphorrail::proxy {

// The upstreams that have said that they leave, as another entry is told of them.
std::vector<peering::upstream_draining> collect_drain_reports(const entry_context& context);

// Links to the other entries. Over them an entry that the store turns away stays up to date through
// those it serves, and all learn at once what one of them has found out about an upstream.
class peers {
public:
    peers(entry_context& context, ports::platform platform);

    bool listen();
    // Renews this entry's place on the list of entries, connects to new ones, and asks for the
    // store's contents where our own proof grows old.
    void tick();
    void broadcast(const peering::message& message);
    // Asks for the store's contents at the next tick, whatever the age of our proof.
    void query_soon() { this->query_wanted = true; }
    // Leaves the list.
    void deregister();
    [[nodiscard]] std::int64_t count() const;
    // The entries that the platform lists, as quotas go by them.
    [[nodiscard]] quota::listed_entries listed_entries() const;
    // Entries that a link stands to.
    [[nodiscard]] std::vector<base::entry_id> connected_entries() const;

    // Told what another entry said, once it is applied to the mirror where it tells of the store.
    std::function<void(const std::set<std::string>&)> store_changed;
    std::function<void(const peering::loaded_weights&)> weights_changed;
    // Told what another entry answers about when weights were named, and when it was asked.
    std::function<void(const base::entry_id& from, const std::vector<peering::target_weights>&,
                       base::instant queried_at)>
        target_weights_received;
    std::function<void(const base::entry_id& from, const peering::kv_store_contents&)>
        kv_store_contents_received;
    // Takes what an entry that follows the store tells of it; false where something before it was
    // not heard of.
    std::function<bool(const peering::store_changes&)> store_changes_received;
    // Whether what was told is still being read; nobody is asked for it meanwhile.
    std::function<bool()> is_reading_store;
    // Whether this entry proves the store's contents for all, and so needs others' proofs only when
    // it fails to.
    std::function<bool()> verifies_store;
    // Told of crashed upstreams, and of requests that are held back for them, and when that was
    // written.
    std::function<void(const base::entry_id& from, const peering::crash_report&,
                       base::instant written)>
        crash_report_received;
    std::function<void(const base::entry_id& from, const peering::quarantine_notice&,
                       base::instant written)>
        quarantine_notice_received;
    // What a new link is told beside who we are.
    std::function<std::vector<peering::message>()> initial_messages;
    // The number of entries has changed.
    std::function<void()> count_changed;

private:
    struct peer_link {
        adapters::link_ptr link;
        base::entry_id id;
        base::availability_zone zone;
        // Shared by the links to one life of an entry.
        std::shared_ptr<base::sender_clock> clock;
        bool open = false;
        // The ask that is under way, and when it was sent.
        std::int64_t query_id = 0;
        base::instant queried_at{};
    };
    // Counts up, so that links are gone through in the order they were made. By address, the order
    // of questions and news would hang on the memory's layout, and a day could not be played again.
    using link_key = std::int64_t;

    // The last life of another entry, and when what it sends is written.
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
    void query_store();
    void send_query(peer_link& peer);
    void drop_unresponsive();
    void send_handshake(peer_link& peer);
    void add_link(const adapters::link_ptr& link, base::entry_id id);
    void drop_link(link_key key);
    void on_received(link_key key, std::string_view bytes);
    void identify_peer(peer_link& peer, const peering::handshake& message);
    // `written`: when the message was, however long it lay unread.
    void handle(link_key key, const peering::handshake& message, base::instant written);
    void handle(link_key key, const peering::suspicion& message, base::instant written);
    void handle(link_key key, const peering::loaded_weights& message, base::instant written);
    void handle(link_key key, const peering::load_report& message, base::instant written);
    void handle(link_key key, const peering::kv_store_contents& message, base::instant written);
    void handle(link_key key, const peering::store_changes& message, base::instant written);
    void handle(link_key key, const peering::crash_report& message, base::instant written);
    void handle(link_key key, const peering::quarantine_notice& message, base::instant written);
    void handle(link_key key, const peering::upstream_draining& message, base::instant written);
    void handle(link_key key, const peering::store_query& message, base::instant written);
    void handle(link_key key, const peering::store_view& message, base::instant written);
    void apply_store_view(const peer_link& peer, const peering::store_view& view);
    [[nodiscard]] std::string registration_prefix() const;
    [[nodiscard]] std::map<base::entry_id, std::string> registered_entries() const;

    entry_context& context;
    ports::platform platform;
    std::unique_ptr<adapters::link_listener> listener;
    std::map<link_key, peer_link> links;
    std::map<base::entry_id, base::instant> next_connect_at;
    link_key last_link_key = 0;
    std::int64_t lease = 0;
    bool registering = false;
    base::instant next_registration{};
    base::instant next_query{};
    bool query_wanted = false;
    // The link that was asked last; the next one is asked next.
    link_key last_queried = 0;
    std::int64_t last_query_id = 0;
    std::int64_t last_count = 0;
    // This entry's start, by which others tell when its messages were written.
    base::instant started_at;
    std::map<base::entry_id, known_sender> known_senders;
    load_exchange loads;
    adapters::timer load_timer;
};

} // namespace camphorrail::proxy
