#include "proxy/peers.h"

#include "entries/duty_ranking.h"
#include "proxy/store_follower.h"
#include "proxy/weights_news.h"

#include <algorithm>
#include <vector>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// An entry that vanishes leaves the list after this long. Who is there is known by links; the list
// only says whom to link to, and how many share the retry budget. Renewals cost a tenth of a call:
// of 100 entries every 2.5 s, four calls a second, as much as following the store takes.
constexpr std::int64_t lease_seconds = 16;
constexpr base::milliseconds renewal_period{5000};
// After a call for the list that failed.
constexpr base::milliseconds registration_retry{2500};
constexpr base::milliseconds connect_pause{700};
// The entry that proves for all asks others when its own proofs fail: well above their period, well
// below the age that ends service. The others ask all the time.
constexpr base::milliseconds ask_after_age_proving{1600};
constexpr base::milliseconds ask_after_age{600};
constexpr base::milliseconds ask_period{300};
// An entry that answers no ask for this long is cut off too, or its link has fallen silent.
constexpr base::milliseconds ask_patience{900};
// A configuration of 350 routes beside a list of 2,000 upstreams is below 1 MB.
constexpr std::size_t max_message_bytes = 8U << 20U;

ports::changes whole_store(const mirror::store_mirror& store) {
    ports::changes all;
    all.revision = store.revision;
    for (const auto& [key, item] : store.items) {
        all.items.push_back({item, false});
    }
    return all;
}

ports::snapshot snapshot_of(const ports::changes& all) {
    ports::snapshot read;
    read.revision = all.revision;
    for (const auto& each : all.items) {
        read.values.push_back(each.item);
    }
    return read;
}

} // namespace

std::vector<peering::upstream_draining> leaving_to_tell(const entry_context& context) {
    std::vector<peering::upstream_draining> told;
    for (const auto& [id, one] : context.state.fleet.members) {
        if (one.drain_reported_at) {
            told.push_back({fleet::instance_of(one), context.now() - *one.drain_reported_at});
        }
    }
    return told;
}

peers::peers(entry_context& context, ports::platform platform)
    : context(context), platform(std::move(platform)), started_at(context.now()), loads(context),
      load_timer(context.loop.base(), [this] { this->tell_load(); }) {}

std::string peers::list_prefix() const {
    return this->context.codec.own_prefix + "entries/";
}

std::map<base::entry_id, std::string> peers::listed() const {
    std::map<base::entry_id, std::string> found;
    const std::string prefix = this->list_prefix();
    for (const auto& item : mirror::items_with_prefix(this->context.state.store, prefix)) {
        found[{item.key.substr(prefix.size())}] = item.value;
    }
    return found;
}

std::int64_t peers::count() const {
    const auto all = this->listed();
    const bool listed_self = all.count(this->context.settings.id) > 0;
    return static_cast<std::int64_t>(all.size()) + (listed_self ? 0 : 1);
}

quota::listed_entries peers::listed_entries() const {
    quota::listed_entries found;
    for (const auto& [id, address] : this->listed()) {
        if (id == this->context.settings.id) {
            found.includes_self = true;
        } else {
            found.others.insert(id);
        }
    }
    return found;
}

std::vector<base::entry_id> peers::linked() const {
    std::vector<base::entry_id> found;
    for (const auto& [key, each] : this->links) {
        if (each.open && !each.id.empty()) {
            found.push_back(each.id);
        }
    }
    return found;
}

bool peers::listen() {
    this->listener = adapters::listen_for_links(
        this->context.loop.base(), this->context.settings.peer_listen, {max_message_bytes},
        [this](const adapters::link_ptr& link) { this->add(link, {}); });
    this->tell_load();
    return this->listener != nullptr;
}

void peers::tick() {
    const base::instant now = this->context.now();
    if (!this->context.state.stopping && !this->registering && now >= this->next_registration) {
        this->register_self();
    }
    this->connect_to_new();
    const auto age = mirror::age(this->context.state.store, now);
    const auto longest = this->proves_store() ? ask_after_age_proving : ask_after_age;
    const bool wants_proof = !age || *age > longest;
    const bool wants_answer = wants_proof || this->ask_wanted || wants_weights_dates(this->context);
    if (now >= this->next_ask && !this->awaits_store() && wants_answer) {
        this->ask_wanted = false;
        this->ask_for_store();
    }
    if (const auto entries = this->count(); entries != this->last_count) {
        this->last_count = entries;
        this->context.state.entry_count = entries;
        this->count_changed();
    }
}

void peers::register_self() {
    const std::string key = this->list_prefix() + this->context.settings.id.value;
    const auto& items = this->context.state.store.items;
    const auto found = items.find(key);
    const bool there =
        found != items.end() && found->second.value == this->context.settings.peer_listen;
    this->registering = true;
    if (this->lease != 0 && there) {
        this->renew_place();
    } else {
        this->take_place(key);
    }
}

void peers::renew_place() {
    this->next_registration = this->context.now() + renewal_period;
    this->platform.renew_lease(this->lease, [this](base::result<bool> kept) {
        this->registering = false;
        if (kept.has_value() && !kept.value()) {
            this->lease = 0;
            this->next_registration = this->context.now();
        }
    });
}

void peers::take_place(const std::string& key) {
    this->next_registration = this->context.now() + registration_retry;
    this->platform.grant_lease(lease_seconds, [this, key](base::result<std::int64_t> granted) {
        this->registering = false;
        if (!granted.has_value()) {
            return;
        }
        this->lease = granted.value();
        ports::transaction change;
        change.writes = {{key, this->context.settings.peer_listen, false, this->lease}};
        this->platform.commit(change, [this](base::result<ports::commit_result> done) {
            const bool fine = done.has_value() && done.value().applied;
            this->context.log.line(importance::keep, "entry_listed").flag("done", fine);
        });
    });
}

void peers::connect_to_new() {
    const base::instant now = this->context.now();
    std::set<base::entry_id> linked;
    for (const auto& [key, each] : this->links) {
        linked.insert(each.id);
    }
    for (const auto& [id, address] : this->listed()) {
        // One link a pair: the entry with the lower name connects.
        if (!(this->context.settings.id < id) || linked.count(id) > 0 || now < this->next_try[id]) {
            continue;
        }
        this->next_try[id] = now + connect_pause;
        const auto link =
            adapters::connect_link(this->context.loop.base(), address, {max_message_bytes});
        this->add(link, id);
    }
}

void peers::greet(peer_link& to) {
    to.open = true;
    to.link->send(
        this->frame_of(peering::handshake{this->context.settings.id, this->context.settings.zone,
                                          this->started_at.time_since_epoch().count()}));
    for (const auto& message : this->greeting()) {
        to.link->send(this->frame_of(message));
    }
}

void peers::add(const adapters::link_ptr& link, base::entry_id id) {
    const link_key key = ++this->last_link;
    this->links[key] = {link, std::move(id), {}, std::make_shared<base::sender_clock>(), false, 0,
                        {}};
    // What is sent before a link stands is lost.
    link->opened.connect([this, key] {
        const auto found = this->links.find(key);
        if (found != this->links.end()) {
            this->greet(found->second);
        }
    });
    link->received.connect([this, key](std::string_view bytes) { this->received(key, bytes); });
    link->closed.connect([this, key] { this->drop(key); });
}

void peers::drop(link_key key) {
    const auto found = this->links.find(key);
    if (found == this->links.end()) {
        return;
    }
    const auto held = std::move(found->second);
    this->links.erase(found);
    this->context.log.line(importance::keep, "entry_link_lost")
        .text("entry", held.id.value)
        .flag("stood", held.open);
    // The link may be telling us this itself.
    this->context.loop.after(base::micros(0), [link = held.link] { link->close(); });
}

std::string peers::frame_of(const peering::message& message) const {
    return peering::encode({message, this->context.now() - this->started_at});
}

void peers::tell(const peering::message& message) {
    const std::string bytes = this->frame_of(message);
    for (const auto& [key, each] : this->links) {
        if (each.open) {
            each.link->send(bytes);
        }
    }
}

void peers::tell_load() {
    std::vector<entries::linked_entry> linked;
    for (const auto& [key, each] : this->links) {
        if (each.open && !each.id.empty()) {
            linked.push_back({each.id, each.zone});
        }
    }
    const auto& settings = this->context.settings;
    const auto relays =
        entries::choose_relay_targets(linked, settings.id, settings.zone, this->context.now());
    this->load_timer.set(load_exchange::period(relays));
    const auto news = this->loads.collect(linked.size());
    if (news.near) {
        this->tell_to(relays.same_zone, this->frame_of(*news.near));
    }
    if (news.far) {
        this->tell_to(relays.zone_relays, this->frame_of(*news.far));
    }
}

void peers::tell_to(const std::vector<base::entry_id>& entries, const std::string& bytes) {
    const std::set<base::entry_id> wanted(entries.begin(), entries.end());
    for (const auto& [key, each] : this->links) {
        if (each.open && wanted.count(each.id) > 0) {
            each.link->send(bytes);
        }
    }
}

// Asks the entry ahead in line, and another one by turns for where that one knows nothing new.
void peers::ask_for_store() {
    this->next_ask = this->context.now() + ask_period;
    this->drop_silent();
    const auto ahead =
        entries::duty_parent(this->linked(), this->context.settings.id, store_duty_name);
    if (ahead) {
        const auto found = std::find_if(this->links.begin(), this->links.end(), [&](auto& each) {
            return each.second.open && each.second.id == *ahead;
        });
        if (found != this->links.end() && found->second.asked == 0) {
            this->ask(found->second);
        }
    }
    // Once through all links, from the one after the last that was asked.
    auto next = this->links.upper_bound(this->last_asked);
    for (std::size_t seen = 0; seen < this->links.size(); ++seen) {
        next = next == this->links.end() ? this->links.begin() : next;
        auto& [key, each] = *next;
        ++next;
        if (each.open && each.asked == 0) {
            this->last_asked = key;
            this->ask(each);
            return;
        }
    }
}

void peers::ask(peer_link& of) {
    of.asked = ++this->last_ask;
    of.asked_at = this->context.now();
    of.link->send(
        this->frame_of(peering::store_query{of.asked, this->context.state.store.revision}));
}

void peers::drop_silent() {
    const base::instant now = this->context.now();
    std::vector<link_key> silent;
    for (const auto& [key, each] : this->links) {
        if (each.open && each.asked != 0 && now - each.asked_at > ask_patience) {
            silent.push_back(key);
        }
    }
    for (const link_key key : silent) {
        this->drop(key);
    }
}

void peers::received(link_key key, std::string_view bytes) {
    // A link that was given up still reads what had come by then.
    if (this->links.count(key) == 0) {
        return;
    }
    const auto frame = peering::decode(bytes);
    if (!frame.has_value()) {
        this->context.log.line(importance::keep, "entry_message_unreadable");
        this->drop(key);
        return;
    }
    const auto& [told, uptime] = frame.value();
    auto& from = this->links.at(key);
    if (const auto* first = std::get_if<peering::handshake>(&told)) {
        this->meet(from, *first);
    }
    const base::instant written = base::estimate_sent_at(*from.clock, uptime, this->context.now());
    std::visit([&](const auto& each) { this->take(key, each, written); }, told);
}

void peers::meet(peer_link& other, const peering::handshake& message) {
    auto& known = this->tellers[message.from];
    if (known.clock == nullptr || known.life != message.incarnation) {
        known = {message.incarnation, std::make_shared<base::sender_clock>()};
    }
    other.clock = known.clock;
    other.id = message.from;
    other.zone = message.zone;
}

void peers::take(link_key /*key*/, const peering::handshake& message, base::instant /*written*/) {
    this->context.log.line(importance::keep, "entry_link_stands").text("entry", message.from.value);
}

void peers::take(link_key key, const peering::suspicion& message, base::instant written) {
    auto* found = fleet::find_instance(this->context.state.fleet, message.upstream);
    if (found == nullptr) {
        return;
    }
    auto& one = *found;
    const base::instant until = written + message.duration;
    if (message.changing_weights) {
        one.busy_until = std::max<base::instant>(one.busy_until, until);
        one.weights_change_until = std::max<base::instant>(one.weights_change_until, until);
    } else {
        one.suspected_until = std::max<base::instant>(one.suspected_until, until);
    }
    this->context.log.line(importance::keep, "upstream_suspected_by_entry")
        .text("upstream", message.upstream.id.value)
        .text("entry", this->links.at(key).id.value)
        .text("why", message.reason)
        .number("for_ms", message.duration.count());
}

void peers::take(link_key /*key*/, const peering::loaded_weights& message,
                 base::instant /*written*/) {
    this->weights_changed(message);
}

void peers::take(link_key key, const peering::load_report& message, base::instant /*written*/) {
    const auto& from = this->links.at(key);
    const bool is_far = !from.zone.empty() && from.zone != this->context.settings.zone;
    this->loads.take(message, is_far);
}

void peers::take(link_key key, const peering::kv_store_contents& message,
                 base::instant /*written*/) {
    this->kept_told(this->links.at(key).id, message);
}

void peers::take(link_key key, const peering::crash_report& message, base::instant written) {
    this->crash_told(this->links.at(key).id, message, written);
}

void peers::take(link_key key, const peering::quarantine_notice& message, base::instant written) {
    this->hold_told(this->links.at(key).id, message, written);
}

void peers::take(link_key key, const peering::upstream_draining& message, base::instant written) {
    record_drain_report(this->context, message.upstream, this->links.at(key).id.value,
                        written - message.age);
}

void peers::take(link_key key, const peering::store_changes& message, base::instant /*written*/) {
    if (this->store_told(message)) {
        return;
    }
    // Something before it was missed; whoever tells of it knows all.
    auto& from = this->links.at(key);
    if (from.asked == 0) {
        this->ask(from);
    }
}

void peers::take(link_key key, const peering::store_query& message, base::instant /*written*/) {
    const auto& store = this->context.state.store;
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
    view.changes = since ? std::move(*since) : whole_store(store);
    view.targets = named_weights_to_tell(this->context);
    this->links.at(key).link->send(this->frame_of(view));
}

void peers::take(link_key key, const peering::store_view& message, base::instant /*written*/) {
    auto& asked = this->links.at(key);
    if (message.query_id != asked.asked) {
        return;
    }
    asked.asked = 0;
    const auto from = asked.id;
    const auto asked_at = asked.asked_at;
    if (message.confirmed) {
        this->take_store(asked, message);
    }
    this->named_weights_told(from, message.targets, asked_at);
}

void peers::take_store(const peer_link& asked, const peering::store_view& view) {
    auto& store = this->context.state.store;
    // The other end's proof was that old when it answered, so at least that old when we asked.
    const base::instant proved = asked.asked_at - view.age;
    const auto before = mirror::age(store, this->context.now());
    std::set<std::string> changed;
    if (view.complete) {
        changed = mirror::apply_snapshot(store, snapshot_of(view.changes), proved);
    } else {
        changed = mirror::apply_changes(store, view.changes);
        mirror::mark_verified(store, proved);
    }
    if (view.complete_age) {
        mirror::record_revision(store, view.changes.revision, asked.asked_at - *view.complete_age);
    }
    this->context.log.line(importance::keep, "store_view_from_entry")
        .text("entry", asked.id.value)
        .number("revision", view.changes.revision)
        .span("age_ms", view.age)
        .span("our_age_ms", before.value_or(base::micros(-1)))
        .number("changed", static_cast<std::int64_t>(changed.size()));
    if (!changed.empty()) {
        this->store_changed(changed);
    }
}

void peers::resign() {
    if (this->lease == 0) {
        return;
    }
    ports::transaction change;
    change.writes = {{this->list_prefix() + this->context.settings.id.value, "", true, 0}};
    this->platform.commit(change, [](const base::result<ports::commit_result>& /*done*/) {
        // If it fails, the lease ends by itself.
    });
}

} // namespace camphorrail::proxy
