#include "proxy/kv_store_follower.h"

#include "adapters/http_client.h"
#include "entries/duty_ranking.h"
#include "proxy/control_call.h"

#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr int status_ok = 200;
// A store answers when something has changed, or else after this long.
constexpr base::milliseconds longest_wait{1000};
// Changes come many times a second; asked less often, they come in larger answers.
constexpr base::milliseconds ask_pause{250};
// Beyond the wait: two ways through the region, and a loaded machine's turn.
constexpr base::milliseconds answer_time{400};
// After a failure, before it is held to be down.
constexpr base::milliseconds retry_pause{50};
constexpr base::milliseconds down_pause{500};
constexpr int failures_to_down = 2;
// Somebody tells of each store at least every 1.3 s; whoever is next in line waits for so long, and
// the one after it twice as long.
constexpr base::seconds silence_a_place{2};
// So many in line ask a store that was said to be down, since the first may be cut off itself.
constexpr std::size_t places_that_check = 3;
// A store of 1.2 million tokens lists about 500 parts of 50 bytes.
constexpr std::size_t most_answer_bytes = 4U << 20U;

} // namespace

kv_store_follower::kv_store_follower(entry_context& context,
                                     std::function<std::vector<base::entry_id>()> linked_entries)
    : context(context), linked_entries(std::move(linked_entries)) {}

void kv_store_follower::tick() {
    if (this->context.state.config == nullptr) {
        return;
    }
    const base::instant now = this->context.now();
    for (const auto& each : this->context.state.config->kv_stores) {
        const auto [found, is_new] = this->stores.try_emplace(each.address);
        auto& store = found->second;
        if (is_new) {
            store.told_at = now;
        }
        if (store.asking || now < store.next_ask) {
            continue;
        }
        const bool ours = this->is_our_turn(each.address, store);
        if (ours != store.followed) {
            store.followed = ours;
            store.listed = false;
            this->context.log.line(importance::keep, ours ? "kv_store_followed" : "kv_store_left")
                .text("store", each.address);
        }
        if (ours) {
            this->ask(each.address, store);
        }
    }
}

bool kv_store_follower::is_our_turn(const std::string& address, const followed_store& store) const {
    const std::size_t place =
        entries::duty_rank(this->linked_entries(), this->context.settings.id, address);
    const auto known = this->context.state.stored_prompts.find(address);
    const bool down = known != this->context.state.stored_prompts.end() && known->second.down;
    const auto unheard = this->context.now() - store.told_at;
    return place == 0 || unheard > silence_a_place * static_cast<std::int64_t>(place) ||
           (down && place < places_that_check);
}

void kv_store_follower::ask(const std::string& address, followed_store& store) {
    store.asking = true;
    const bool listing = !store.listed;
    const auto& words = this->context.codec;
    const auto wait = store.failures > 0 ? base::milliseconds(0) : longest_wait;
    const auto call =
        listing ? words.cache_listing_request : words.make_cache_changes_request(store.next, wait);
    adapters::http_fetch(
        this->context.loop.base(), address, to_call(call), {wait + answer_time, false},
        most_answer_bytes, [this, address, listing](base::result<adapters::http_answer> answer) {
            this->stores.at(address).asking = false;
            const bool fine = answer.has_value() && answer.value().status == status_ok;
            const auto& words = this->context.codec;
            const auto read = !fine     ? base::code::upstream_failed
                              : listing ? words.parse_cache_listing(answer.value().body)
                                        : words.parse_cache_changes(answer.value().body);
            if (read.has_value()) {
                this->take_answer(address, read.value(), listing);
            } else {
                this->take_failure(address);
            }
        });
}

void kv_store_follower::take_answer(const std::string& address, const ports::cache_update& news,
                                    bool listing) {
    auto& store = this->stores.at(address);
    const base::instant now = this->context.now();
    store.failures = 0;
    const bool lost = !listing && (news.has_gap || news.incarnation != store.incarnation);
    store.listed = !lost;
    store.incarnation = news.incarnation;
    store.next = news.next_sequence;
    store.next_ask = lost ? now : now + ask_pause;
    this->note_reachable(address, true);
    if (lost) {
        return;
    }
    peering::kv_store_contents told{address, listing, false, {}};
    for (const auto& each : news.parts) {
        told.parts.push_back({kvcache::part_key(each.salt, each.part), each.tokens});
    }
    auto& kept = this->context.state.stored_prompts[address];
    if (listing) {
        kvcache::apply_listing(kept, told.parts, now);
    } else {
        kvcache::apply_changes(kept, told.parts, now);
    }
    this->tell(told);
}

void kv_store_follower::take_failure(const std::string& address) {
    auto& store = this->stores.at(address);
    const base::instant now = this->context.now();
    ++store.failures;
    if (store.failures < failures_to_down) {
        store.next_ask = now + retry_pause;
        return;
    }
    store.listed = false;
    store.next_ask = now + down_pause;
    auto& kept = this->context.state.stored_prompts[address];
    const bool news = !kept.down;
    kvcache::mark_down(kept, now);
    if (news) {
        this->note_reachable(address, false);
        this->tell({address, false, true, {}});
    }
}

void kv_store_follower::note_reachable(const std::string& address, bool reachable) {
    const auto known = this->context.state.stored_prompts.find(address);
    const bool was_down = known != this->context.state.stored_prompts.end() && known->second.down;
    if (reachable != was_down) {
        return;
    }
    this->context.log.line(importance::keep, reachable ? "kv_store_regained" : "kv_store_lost")
        .text("store", address);
}

void kv_store_follower::take(const base::entry_id& from, const peering::kv_store_contents& told) {
    const base::instant now = this->context.now();
    this->stores[told.store].told_at = now;
    auto& kept = this->context.state.stored_prompts[told.store];
    if (told.unreachable != kept.down) {
        this->context.log
            .line(importance::keep, told.unreachable ? "kv_store_lost" : "kv_store_regained")
            .text("store", told.store)
            .text("entry", from.value);
    }
    if (told.unreachable) {
        kvcache::mark_down(kept, now);
    } else if (told.complete) {
        kvcache::apply_listing(kept, told.parts, now);
    } else {
        kvcache::apply_changes(kept, told.parts, now);
    }
}

std::vector<peering::message> kv_store_follower::whole_views() const {
    std::vector<peering::message> views;
    for (const auto& [address, store] : this->stores) {
        const auto known = this->context.state.stored_prompts.find(address);
        if (!store.followed || !store.listed || known == this->context.state.stored_prompts.end()) {
            continue;
        }
        peering::kv_store_contents view{address, true, false, {}};
        for (const auto& [part, tokens] : known->second.parts) {
            view.parts.push_back({part, tokens});
        }
        views.emplace_back(std::move(view));
    }
    return views;
}

} // namespace camphorrail::proxy
