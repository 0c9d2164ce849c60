#include "proxy/peers.h"

#include "entries/duty_ranking.h"
#include "process/link_limits.h"
#include "proxy/store_follower.h"
#include "proxy/target_weights.h"

#include <algorithm>
#include <vector>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// A dead entry's registration expires after this time. The registry only says whom to connect to
// and how many entries share the retry budget; whether a peer is alive is known from its link. Each
// renewal costs a tenth of a regular store call, so 100 entries renewing every 2.5 s would cost
// four calls per second, as much as following the store.
constexpr std::int64_t registration_lease_seconds = 16;
constexpr base::milliseconds renewal_period{5000};
// Delay after a failed registration call.
constexpr base::milliseconds registration_retry{2500};
constexpr base::milliseconds connect_retry{700};
// The entry that verifies the store's contents for all queries its peers only when its own calls
// fail: well above the period of these calls, and well below the age at which requests are refused.
// All other entries query their peers continuously.
constexpr base::milliseconds query_age_when_verifying{1600};
constexpr base::milliseconds query_age{600};
constexpr base::milliseconds query_period{300};
// A peer that leaves a query unanswered for this long is itself cut off from the store, or its link
// is dead; the link is dropped.
constexpr base::milliseconds query_timeout{900};
// An entry sends its handshake as soon as a link is open. A link without one takes the place of
// another entry's.
constexpr base::milliseconds identification_time{5000};
// How long an entry that could not read a large value asks the other entries for such values before
// it tries the store again.
constexpr base::milliseconds large_value_query_time{3000};
// Messages from this size on are logged: a link of 10 Mbit/s takes 50 ms for one.
constexpr std::size_t min_logged_view_bytes = 64U << 10U;
// How long an entry that has just started waits for what the other entries know. Links open within
// some tenths of a second; those that are listed but dead never do.
constexpr base::milliseconds startup_wait{1000};
// A configuration of 350 routes together with 2,000 listed upstreams stays below 1 MB.
constexpr std::size_t max_message_bytes = 8U << 20U;
constexpr std::size_t max_known_senders = 4096;

ports::snapshot snapshot_of(const ports::changes& all) {
    ports::snapshot read;
    read.revision = all.revision;
    for (const auto& change : all.items) {
        read.values.push_back(change.item);
    }
    return read;
}

// Gives revisions from a build that does not send eras the era 0 if the store has none. If it has
// eras, they stay unknown and count as older than any: that entry may have missed a restoration.
void resolve_unknown_eras(peering::message& received, std::int64_t era) {
    if (era != 0) {
        return;
    }
    const auto complete = [era](auto& message) {
        if constexpr (requires { peering::replace_unknown_eras(message, era); }) {
            peering::replace_unknown_eras(message, era);
        }
    };
    std::visit(complete, received);
}

} // namespace

std::vector<peering::upstream_draining> collect_drain_reports(const entry_context& context) {
    std::vector<peering::upstream_draining> reports;
    for (const auto& [id, member] : context.state.fleet.members) {
        if (member.drain_reported_at) {
            reports.push_back(
                {fleet::instance_of(member), context.now() - *member.drain_reported_at});
        }
    }
    return reports;
}

peers::peers(entry_context& context, ports::platform platform)
    : context(context), platform(std::move(platform)), started_at(context.now()), loads(context),
      load_timer(context.loop.base(), [this] { this->send_load(); }) {}

std::map<base::entry_id, std::string> peers::registered_entries() const {
    std::map<base::entry_id, std::string> found;
    const std::string prefix = registration_prefix(this->context);
    for (const auto& item : mirror::items_with_prefix(this->context.state.store, prefix)) {
        found[{item.key.substr(prefix.size())}] = item.value;
    }
    return found;
}

std::int64_t peers::count() const {
    auto others = this->listed_entries().others;
    for (const auto& id : this->connected_entries()) {
        others.insert(id);
    }
    return static_cast<std::int64_t>(others.size()) + 1;
}

quota::listed_entries peers::listed_entries() const {
    quota::listed_entries found;
    for (const auto& [id, address] : this->registered_entries()) {
        if (id == this->context.settings.id) {
            found.includes_self = true;
        } else {
            found.others.insert(id);
        }
    }
    return found;
}

std::vector<base::entry_id> peers::connected_entries() const {
    std::vector<base::entry_id> found;
    for (const auto& [key, peer] : this->links) {
        if (peer.open && !peer.id.empty()) {
            found.push_back(peer.id);
        }
    }
    return found;
}

std::vector<entries::linked_entry> peers::linked_entries(std::int64_t protocol) const {
    std::vector<entries::linked_entry> found;
    for (const auto& [key, peer] : this->links) {
        if (peer.open && !peer.id.empty() && peer.protocol >= protocol) {
            found.push_back({peer.id, peer.zone});
        }
    }
    return found;
}

void peers::send(const std::vector<base::entry_id>& to, const peering::message& message) {
    if (!to.empty()) {
        this->send_to(to, this->encode_frame(message));
    }
}

bool peers::listen() {
    const auto limits = process::listener_limits(this->context.settings.memory_mb,
                                                 max_message_bytes, max_message_bytes);
    this->listener = adapters::listen_for_links(
        this->context.loop.base(), this->context.settings.peer_listen, limits,
        [this](const adapters::link_ptr& link) { this->add_link(link, {}); });
    this->send_load();
    return this->listener != nullptr;
}

void peers::tick() {
    const base::instant now = this->context.now();
    if (this->lease.id != 0 && this->lease.era < this->context.state.store.revision.era) {
        // The restored store may not have the lease, or may have given its id to another one.
        this->lease = {};
        this->next_registration = now;
    }
    if (!this->context.state.stopping && !this->registering && now >= this->next_registration) {
        this->register_self();
    }
    this->drop_unidentified();
    this->connect_to_new_entries();
    this->check_startup_wait();
    const auto age = mirror::age(this->context.state.store, now);
    const auto max_age = this->verifies_store() ? query_age_when_verifying : query_age;
    const bool needs_verification = !age || *age > max_age;
    const bool needs_query =
        needs_verification || this->query_wanted || needs_target_dates(this->context);
    if (now >= this->next_query && needs_query) {
        this->query_wanted = false;
        this->query_store();
    }
}

void peers::check_startup_wait() {
    if (!this->context.state.store.awaiting_peers) {
        return;
    }
    const base::instant now = this->context.now();
    if (!this->waits_until) {
        this->waits_until = now + startup_wait;
    }
    const auto others = this->listed_entries().others;
    if (std::includes(this->responded.begin(), this->responded.end(), others.begin(),
                      others.end())) {
        this->finish_startup_wait("all_responded");
    } else if (now >= *this->waits_until) {
        this->finish_startup_wait("timeout");
    }
}

void peers::record_startup_response(const base::entry_id& from, bool confirmed) {
    if (!this->context.state.store.awaiting_peers) {
        return;
    }
    this->responded.insert(from);
    if (confirmed) {
        this->finish_startup_wait("verified_view");
    } else {
        this->check_startup_wait();
    }
}

void peers::finish_startup_wait(const char* why) {
    mirror::stop_awaiting_peers(this->context.state.store);
    this->context.log.line(importance::keep, "startup_wait_over")
        .text("why", why)
        .number("responded", static_cast<std::int64_t>(this->responded.size()))
        .number("listed", static_cast<std::int64_t>(this->listed_entries().others.size()));
}

void peers::register_self() {
    const std::string key = registration_prefix(this->context) + this->context.settings.id.value;
    this->registering = true;
    if (this->lease.id != 0 && is_registered_entry(this->context)) {
        this->renew_registration();
    } else {
        this->create_registration(key);
    }
}

void peers::renew_registration() {
    this->next_registration = this->context.now() + renewal_period;
    const ports::lease held = this->lease;
    this->platform.renew_lease(held, [this, held](const auto& renewed) {
        this->registering = false;
        if (renewed.has_value() && !ports::was_extended(held, renewed.value())) {
            this->lease = {};
            this->next_registration = this->context.now();
        }
    });
}

void peers::create_registration(const std::string& key) {
    this->next_registration = this->context.now() + registration_retry;
    this->platform.grant_lease(
        registration_lease_seconds, [this, key](base::result<ports::lease> granted) {
            this->registering = false;
            if (!granted.has_value()) {
                return;
            }
            this->lease = granted.value();
            ports::transaction change;
            change.writes = {{key, this->context.settings.peer_listen, false, this->lease.id}};
            this->platform.commit(change, [this](base::result<ports::commit_result> done) {
                const bool succeeded = done.has_value() && done.value().applied;
                this->context.log.line(importance::keep, "entry_listed").flag("done", succeeded);
            });
        });
}

void peers::connect_to_new_entries() {
    const base::instant now = this->context.now();
    std::set<base::entry_id> connected;
    for (const auto& [key, peer] : this->links) {
        connected.insert(peer.id);
    }
    for (const auto& [id, address] : this->registered_entries()) {
        // There is one link per pair of entries; the entry with the lower id connects.
        if (!(this->context.settings.id < id) || connected.count(id) > 0 ||
            now < this->next_connect_at[id]) {
            continue;
        }
        this->next_connect_at[id] = now + connect_retry;
        const auto link =
            adapters::connect_link(this->context.loop.base(), address, {max_message_bytes});
        this->add_link(link, id);
    }
}

void peers::send_handshake(peer_link& peer) {
    peer.open = true;
    peer.link->send(this->encode_frame(peering::handshake{
        this->context.settings.id, this->context.settings.zone,
        this->started_at.time_since_epoch().count(), peering::current_protocol}));
    for (const auto& message : this->initial_messages()) {
        peer.link->send(this->encode_frame(message));
    }
}

void peers::add_link(const adapters::link_ptr& link, base::entry_id id) {
    const link_key key = ++this->last_link_key;
    peer_link added;
    added.link = link;
    added.id = std::move(id);
    added.clock = std::make_shared<base::sender_clock>();
    added.added_at = this->context.now();
    this->links[key] = std::move(added);
    // Anything sent before the link is open would be lost.
    link->opened.connect([this, key] {
        const auto found = this->links.find(key);
        if (found != this->links.end()) {
            this->send_handshake(found->second);
        }
    });
    link->received.connect([this, key](std::string_view bytes) { this->on_received(key, bytes); });
    link->closed.connect([this, key] { this->drop_link(key); });
}

void peers::drop_link(link_key key) {
    const auto found = this->links.find(key);
    if (found == this->links.end()) {
        return;
    }
    const auto dropped = std::move(found->second);
    this->links.erase(found);
    this->context.log.line(importance::keep, "entry_link_lost")
        .text("entry", dropped.id.value)
        .flag("stood", dropped.open);
    // The link may be the caller of this function, so it is closed from the event loop.
    this->context.loop.after(base::micros(0), [link = dropped.link] { link->close(); });
}

std::string peers::encode_frame(const peering::message& message) const {
    return peering::encode({message, this->context.now() - this->started_at});
}

void peers::broadcast(const peering::message& message) {
    const std::string bytes = this->encode_frame(message);
    for (const auto& [key, peer] : this->links) {
        if (peer.open) {
            peer.link->send(bytes);
        }
    }
}

void peers::send_load() {
    const auto connected = this->linked_entries(peering::first_protocol);
    const auto& settings = this->context.settings;
    const auto relays =
        entries::choose_relay_targets(connected, settings.id, settings.zone, this->context.now());
    this->load_timer.set(load_exchange::period(relays));
    const auto reports = this->loads.collect(connected.size());
    if (reports.near) {
        this->send_to(relays.same_zone, this->encode_frame(*reports.near));
    }
    if (reports.far) {
        this->send_to(relays.zone_relays, this->encode_frame(*reports.far));
    }
}

void peers::send_to(const std::vector<base::entry_id>& entries, const std::string& bytes) {
    const std::set<base::entry_id> wanted(entries.begin(), entries.end());
    for (const auto& [key, peer] : this->links) {
        if (peer.open && wanted.count(peer.id) > 0) {
            peer.link->send(bytes);
        }
    }
}

// Queries the entry ahead in the order of succession and one other peer in turn, in case the former
// has nothing newer.
void peers::query_store() {
    this->next_query = this->context.now() + query_period;
    this->drop_unresponsive();
    const auto ahead =
        entries::duty_parent(this->connected_entries(), this->context.settings.id, store_duty_name);
    if (ahead) {
        const auto found = std::find_if(this->links.begin(), this->links.end(), [&](auto& peer) {
            return peer.second.open && peer.second.id == *ahead;
        });
        if (found != this->links.end() && this->may_query(found->second)) {
            this->send_query(found->second);
        }
    }
    // Visits every link at most once, starting after the one that was queried last.
    auto next = this->links.upper_bound(this->last_queried);
    for (std::size_t seen = 0; seen < this->links.size(); ++seen) {
        next = next == this->links.end() ? this->links.begin() : next;
        auto& [key, peer] = *next;
        ++next;
        if (this->may_query(peer)) {
            this->last_queried = key;
            this->send_query(peer);
            return;
        }
    }
}

// An entry of an older build includes large values in its reply. If one is being read already, the
// reply would only add to what fills the links.
bool peers::may_query(const peer_link& peer) const {
    const bool may_omit_values = peer.protocol >= peering::omitted_value_protocol;
    return peer.open && peer.query_id == 0 && (may_omit_values || !this->is_reading_store());
}

void peers::query_large_values() {
    this->large_values_until = this->context.now() + large_value_query_time;
    this->query_soon();
}

void peers::send_query(peer_link& peer) {
    const base::instant now = this->context.now();
    peer.query_id = ++this->last_query_id;
    peer.queried_at = now;
    peer.link->send(this->encode_frame(peering::store_query{
        peer.query_id, this->context.state.store.revision, now < this->large_values_until}));
}

void peers::drop_unresponsive() {
    const base::instant now = this->context.now();
    this->drop_links([now](const peer_link& peer) {
        return peer.open && peer.query_id != 0 && now - peer.queried_at > query_timeout;
    });
}

void peers::drop_unidentified() {
    const base::instant now = this->context.now();
    this->drop_links([now](const peer_link& peer) {
        return peer.id.empty() && now - peer.added_at > identification_time;
    });
}

void peers::drop_links(const std::function<bool(const peer_link&)>& is_lost) {
    std::vector<link_key> lost;
    for (const auto& [key, peer] : this->links) {
        if (is_lost(peer)) {
            lost.push_back(key);
        }
    }
    for (const link_key key : lost) {
        this->drop_link(key);
    }
}

void peers::on_received(link_key key, std::string_view bytes) {
    // A dropped link still delivers what it had received before it was closed.
    if (this->links.count(key) == 0) {
        return;
    }
    auto frame = peering::decode(bytes);
    if (!frame.has_value()) {
        this->context.log.line(importance::keep, "entry_message_unreadable");
        this->drop_link(key);
        return;
    }
    auto& [payload, uptime] = frame.value();
    resolve_unknown_eras(payload, this->context.state.store.revision.era);
    auto& from = this->links.at(key);
    if (const auto* handshake = std::get_if<peering::handshake>(&payload)) {
        this->identify_peer(from, *handshake);
    }
    const base::instant written = base::estimate_sent_at(*from.clock, uptime, this->context.now());
    std::visit([&](const auto& message) { this->handle(key, message, written); }, payload);
}

// Drops what is known of entries that have no link, once too many have been seen: a link may state
// one name after the other.
void peers::limit_known_senders() {
    if (this->known_senders.size() < max_known_senders) {
        return;
    }
    std::set<base::entry_id> linked;
    for (const auto& [key, peer] : this->links) {
        linked.insert(peer.id);
    }
    std::erase_if(this->known_senders,
                  [&linked](const auto& each) { return linked.count(each.first) == 0; });
}

void peers::identify_peer(peer_link& peer, const peering::handshake& message) {
    this->limit_known_senders();
    auto& known = this->known_senders[message.from];
    if (known.clock == nullptr || known.incarnation != message.incarnation) {
        known = {message.incarnation, std::make_shared<base::sender_clock>()};
    }
    peer.clock = known.clock;
    peer.id = message.from;
    peer.zone = message.zone;
    peer.protocol = message.protocol;
}

void peers::handle(link_key key, const peering::handshake& message, base::instant /*written*/) {
    this->context.log.line(importance::keep, "entry_link_stands").text("entry", message.from.value);
    if (auto& peer = this->links.at(key);
        this->context.state.store.awaiting_peers && peer.query_id == 0) {
        this->send_query(peer);
    }
    this->entry_connected(message.from);
}

void peers::handle(link_key key, const peering::stream_origins& message, base::instant written) {
    this->origin_message_received(this->links.at(key).id, message, written);
}

void peers::handle(link_key key, const peering::origin_query& message, base::instant written) {
    this->origin_message_received(this->links.at(key).id, message, written);
}

void peers::handle(link_key key, const peering::origin_reply& message, base::instant written) {
    this->origin_message_received(this->links.at(key).id, message, written);
}

void peers::handle(link_key key, const peering::software_record_seen& message,
                   base::instant /*written*/) {
    this->software_record_seen_received(this->links.at(key).id, message);
}

void peers::handle(link_key key, const peering::upstream_limits& message, base::instant written) {
    this->upstream_limits_received(this->links.at(key).id, message, written);
}

void peers::handle(link_key key, const peering::suspicion& message, base::instant written) {
    auto* found = fleet::find_instance(this->context.state.fleet, message.upstream);
    if (found == nullptr) {
        return;
    }
    auto& member = *found;
    const base::instant until = written + message.duration;
    if (message.changing_weights) {
        member.busy_until = std::max<base::instant>(member.busy_until, until);
        member.weights_change_until = std::max<base::instant>(member.weights_change_until, until);
    } else {
        member.suspected_until = std::max<base::instant>(member.suspected_until, until);
    }
    if (this->suspicion_received(this->links.at(key).id, message, written)) {
        // Changes of the common suspicion are logged in place of single reports.
        return;
    }
    if (message.duration == base::milliseconds(0)) {
        return;
    }
    this->context.log.line(importance::keep, "upstream_suspected_by_entry")
        .text("upstream", message.upstream.id.value)
        .text("entry", this->links.at(key).id.value)
        .text("why", message.reason)
        .number("for_ms", message.duration.count());
}

void peers::handle(link_key key, const peering::upstream_responding& message,
                   base::instant written) {
    this->upstream_responding_received(this->links.at(key).id, message, written);
}

void peers::handle(link_key /*key*/, const peering::loaded_weights& message,
                   base::instant /*written*/) {
    this->weights_changed(message);
}

void peers::handle(link_key key, const peering::load_report& message, base::instant /*written*/) {
    const auto& from = this->links.at(key);
    const bool is_far = !from.zone.empty() && from.zone != this->context.settings.zone;
    this->loads.receive(message, is_far);
}

void peers::handle(link_key key, const peering::kv_store_contents& message,
                   base::instant /*written*/) {
    this->kv_store_contents_received(this->links.at(key).id, message);
}

void peers::handle(link_key key, const peering::crash_report& message, base::instant written) {
    this->crash_report_received(this->links.at(key).id, message, written);
}

void peers::handle(link_key key, const peering::cleared_prompt_parts& message,
                   base::instant /*written*/) {
    this->cleared_prompt_parts_received(this->links.at(key).id, message);
}

void peers::handle(link_key key, const peering::quarantine_notice& message, base::instant written) {
    this->quarantine_notice_received(this->links.at(key).id, message, written);
}

void peers::handle(link_key key, const peering::upstream_draining& message, base::instant written) {
    record_drain_report(this->context, message.upstream, this->links.at(key).id.value,
                        written - message.age);
}

void peers::handle(link_key key, const peering::store_changes& message, base::instant /*written*/) {
    if (this->store_changes_received(message, {})) {
        return;
    }
    // An earlier change was missed, so the sender, which has all of them, is queried.
    auto& from = this->links.at(key);
    if (from.query_id == 0) {
        this->send_query(from);
    }
}

void peers::handle(link_key key, const peering::store_query& message, base::instant /*written*/) {
    const auto& store = this->context.state.store;
    if (message.revision.era > store.revision.era) {
        // The peer knows of a restoration of the store that this entry has missed.
        this->query_soon();
    }
    peering::store_view view;
    view.query_id = message.query_id;
    if (const auto age = mirror::age(store, this->context.now())) {
        view.confirmed = true;
        view.age = *age;
    }
    if (store.complete_as_of) {
        view.complete_age = this->context.now() - *store.complete_as_of;
    }
    auto since = mirror::changes_since(store, message.revision);
    view.complete = !since;
    view.changes = since ? std::move(*since) : mirror::complete_contents(store);
    view.targets = target_weights_to_report(this->context);
    auto& peer = this->links.at(key);
    const bool may_omit_values = !view.complete && !message.needs_large_values &&
                                 peer.protocol >= peering::omitted_value_protocol;
    if (may_omit_values) {
        view.omitted_keys = omit_large_values(view.changes);
    }
    const std::string bytes = this->encode_frame(view);
    if (bytes.size() >= min_logged_view_bytes) {
        this->context.log.line(importance::keep, "large_store_view_sent")
            .text("entry", peer.id.value)
            .number("bytes", static_cast<std::int64_t>(bytes.size()))
            .flag("complete", view.complete)
            .flag("requested", message.needs_large_values)
            .number("queued_bytes", static_cast<std::int64_t>(peer.link->queued_bytes()));
    }
    peer.link->send(bytes);
}

void peers::handle(link_key key, const peering::store_view& message, base::instant /*written*/) {
    auto& peer = this->links.at(key);
    if (message.query_id != peer.query_id) {
        return;
    }
    peer.query_id = 0;
    const auto from = peer.id;
    const auto queried_at = peer.queried_at;
    if (message.confirmed) {
        this->apply_store_view(peer, message);
    }
    this->record_startup_response(from, message.confirmed);
    this->target_weights_received(from, message.targets, queried_at);
}

void peers::apply_store_view(const peer_link& peer, const peering::store_view& view) {
    auto& store = this->context.state.store;
    // The age was measured when the peer responded, so its verification is at least that old
    // counted from the time of the query.
    const base::instant proved = peer.queried_at - view.age;
    const auto before = mirror::age(store, this->context.now());
    const base::revision revision_before = store.revision;
    std::set<std::string> changed;
    if (view.complete) {
        changed =
            mirror::apply_snapshot(store, snapshot_of(view.changes), proved, this->context.now());
    } else if (view.omitted_keys.empty()) {
        changed = mirror::apply_changes(store, view.changes);
        if (view.changes.revision.era == store.revision.era) {
            mirror::mark_verified(store, proved);
        }
    } else {
        this->store_changes_received({store.revision, view.omitted_keys, view.changes}, proved);
    }
    if (view.complete_age) {
        mirror::record_revision(store, view.changes.revision, peer.queried_at - *view.complete_age);
    }
    this->context.log.line(importance::keep, "store_view_from_entry")
        .text("entry", peer.id.value)
        .number("revision", view.changes.revision.number)
        .number("era", view.changes.revision.era)
        .span("age_ms", view.age)
        .span("our_age_ms", before.value_or(base::micros(-1)))
        .number("changed", static_cast<std::int64_t>(changed.size()));
    log_store_restored(this->context, revision_before, "entry_asked");
    const auto documents = make_retained_documents_message(store);
    if (documents && revision_before.era != store.revision.era) {
        // The peer may not know what the store has lost.
        peer.link->send(this->encode_frame(*documents));
    }
    if (!changed.empty()) {
        this->store_changed(changed);
    }
}

void peers::deregister() {
    if (this->lease.id == 0) {
        return;
    }
    ports::transaction change;
    change.writes = {
        {registration_prefix(this->context) + this->context.settings.id.value, "", true, 0}};
    this->platform.commit(change, [](const base::result<ports::commit_result>& /*done*/) {
        // If the call fails, the registration expires with its lease.
    });
}

} // namespace camphorrail::proxy
