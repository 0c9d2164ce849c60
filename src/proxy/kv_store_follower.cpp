#include "proxy/kv_store_follower.h"

#include "adapters/http_client.h"
#include "entries/duty_ranking.h"
#include "proxy/control_call.h"

#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr int status_ok = 200;
// Long-poll limit: a store responds on a change, or after this time at the latest.
constexpr base::milliseconds max_wait{1000};
// Pause between polls. Changes occur many times per second; with less frequent polls they arrive in
// fewer, larger responses.
constexpr base::milliseconds request_pause{250};
// Added to the wait for the timeout: a round trip through the region and one event loop iteration
// of a loaded machine.
constexpr base::milliseconds response_margin{400};
// Pause after a failure, while the store is not considered down yet.
constexpr base::milliseconds retry_pause{50};
constexpr base::milliseconds down_pause{500};
constexpr int failures_to_down = 2;
// Each store is reported at least every 1.3 s. The next entry in order takes over after this
// silence, the one after it after twice as long.
constexpr base::seconds silence_per_rank{2};
// This many entries in order poll a store that was reported down, since the first one may itself be
// cut off.
constexpr std::size_t ranks_polling_down_store = 3;
// A store of 1.2 million tokens lists about 500 parts of 50 bytes each.
constexpr std::size_t max_response_bytes = 4U << 20U;

} // namespace

kv_store_follower::kv_store_follower(entry_context& context,
                                     std::function<std::vector<base::entry_id>()> connected_entries)
    : context(context), connected_entries(std::move(connected_entries)) {}

void kv_store_follower::tick() {
    if (this->context.state.config == nullptr) {
        return;
    }
    const base::instant now = this->context.now();
    for (const auto& each : this->context.state.config->kv_stores) {
        const auto [found, is_new] = this->stores.try_emplace(each.address);
        auto& store = found->second;
        if (is_new) {
            store.last_reported_at = now;
        }
        if (store.request_pending || now < store.next_request_at) {
            continue;
        }
        const bool our_turn = this->is_our_turn(each.address, store);
        if (our_turn != store.followed) {
            store.followed = our_turn;
            store.listed = false;
            this->context.log
                .line(importance::keep, our_turn ? "kv_store_followed" : "kv_store_left")
                .text("store", each.address);
        }
        if (our_turn) {
            this->send_request(each.address, store);
        }
    }
}

bool kv_store_follower::is_our_turn(const std::string& address, const followed_store& store) const {
    const std::size_t rank =
        entries::duty_rank(this->connected_entries(), this->context.settings.id, address);
    const auto known = this->context.state.stored_prompts.find(address);
    const bool down = known != this->context.state.stored_prompts.end() && known->second.down;
    const auto silence = this->context.now() - store.last_reported_at;
    return rank == 0 || silence > silence_per_rank * static_cast<std::int64_t>(rank) ||
           (down && rank < ranks_polling_down_store);
}

void kv_store_follower::send_request(const std::string& address, followed_store& store) {
    store.request_pending = true;
    const bool listing = !store.listed;
    const auto& codec = this->context.codec;
    const auto wait = store.failures > 0 ? base::milliseconds(0) : max_wait;
    const auto call = listing ? codec.cache_listing_request
                              : codec.make_cache_changes_request(store.next_sequence, wait);
    adapters::http_fetch(
        this->context.loop.base(), address, to_call(call), {wait + response_margin, false},
        max_response_bytes, [this, address, listing](base::result<adapters::http_answer> answer) {
            this->stores.at(address).request_pending = false;
            const bool succeeded = answer.has_value() && answer.value().status == status_ok;
            const auto& codec = this->context.codec;
            const auto read = !succeeded ? base::code::upstream_failed
                              : listing  ? codec.parse_cache_listing(answer.value().body)
                                         : codec.parse_cache_changes(answer.value().body);
            if (read.has_value()) {
                this->handle_answer(address, read.value(), listing);
            } else {
                this->handle_failure(address);
            }
        });
}

void kv_store_follower::handle_answer(const std::string& address, const ports::cache_update& update,
                                      bool listing) {
    auto& store = this->stores.at(address);
    const base::instant now = this->context.now();
    store.failures = 0;
    const bool lost = !listing && (update.has_gap || update.incarnation != store.incarnation);
    store.listed = !lost;
    store.incarnation = update.incarnation;
    store.next_sequence = update.next_sequence;
    store.next_request_at = lost ? now : now + request_pause;
    this->log_reachability(address, true);
    if (lost) {
        return;
    }
    peering::kv_store_contents contents{address, listing, false, {}};
    for (const auto& each : update.parts) {
        contents.parts.push_back({kvcache::part_key(each.salt, each.part), each.tokens});
    }
    auto& stored = this->context.state.stored_prompts[address];
    if (listing) {
        kvcache::apply_listing(stored, contents.parts, now);
    } else {
        kvcache::apply_changes(stored, contents.parts, now);
    }
    this->broadcast(contents);
}

void kv_store_follower::handle_failure(const std::string& address) {
    auto& store = this->stores.at(address);
    const base::instant now = this->context.now();
    ++store.failures;
    if (store.failures < failures_to_down) {
        store.next_request_at = now + retry_pause;
        return;
    }
    store.listed = false;
    store.next_request_at = now + down_pause;
    auto& stored = this->context.state.stored_prompts[address];
    const bool went_down = !stored.down;
    kvcache::mark_down(stored, now);
    if (went_down) {
        this->log_reachability(address, false);
        this->broadcast({address, false, true, {}});
    }
}

void kv_store_follower::log_reachability(const std::string& address, bool reachable) {
    const auto known = this->context.state.stored_prompts.find(address);
    const bool was_down = known != this->context.state.stored_prompts.end() && known->second.down;
    if (reachable != was_down) {
        return;
    }
    this->context.log.line(importance::keep, reachable ? "kv_store_regained" : "kv_store_lost")
        .text("store", address);
}

void kv_store_follower::receive(const base::entry_id& from,
                                const peering::kv_store_contents& contents) {
    const base::instant now = this->context.now();
    this->stores[contents.store].last_reported_at = now;
    auto& stored = this->context.state.stored_prompts[contents.store];
    if (contents.unreachable != stored.down) {
        this->context.log
            .line(importance::keep, contents.unreachable ? "kv_store_lost" : "kv_store_regained")
            .text("store", contents.store)
            .text("entry", from.value);
    }
    if (contents.unreachable) {
        kvcache::mark_down(stored, now);
    } else if (contents.complete) {
        kvcache::apply_listing(stored, contents.parts, now);
    } else {
        kvcache::apply_changes(stored, contents.parts, now);
    }
}

std::vector<peering::message> kv_store_follower::complete_views() const {
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
