#include "proxy/quarantine_records.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using nlohmann::json;

constexpr base::milliseconds call_pause{1000};
// Limit on recorded requests, since the platform's store is shared. Further ones are only exchanged
// between the entries.
constexpr std::size_t max_records = 64;

std::string encode_record(const quarantine::quarantined_request& quarantined) {
    const auto span = std::chrono::duration_cast<base::milliseconds>(quarantined.span);
    return json{{"body_bytes", quarantined.request.body_bytes},
                {"hold_ms", span.count()},
                {"crashes", quarantined.crashes}}
        .dump();
}

std::optional<quarantine::quarantined_request> parse_record(const std::string& digest,
                                                            const std::string& text) {
    const json read = json::parse(text, nullptr, false);
    const bool fits = read.is_object() && read.contains("body_bytes") &&
                      read["body_bytes"].is_number_unsigned() && read.contains("hold_ms") &&
                      read["hold_ms"].is_number_unsigned() && read.contains("crashes") &&
                      read["crashes"].is_number_unsigned();
    if (!fits) {
        return std::nullopt;
    }
    return quarantine::quarantined_request{{{digest}, read["body_bytes"].get<std::size_t>()},
                                           base::milliseconds(read["hold_ms"].get<std::uint32_t>()),
                                           read["crashes"].get<std::size_t>()};
}

} // namespace

quarantine_records::quarantine_records(entry_context& context, ports::platform platform_calls,
                                       std::function<bool()> is_leader)
    : context(context), platform(std::move(platform_calls)), is_leader(std::move(is_leader)) {}

std::string quarantine_records::prefix() const {
    return this->context.codec.own_prefix + "quarantine/";
}

void quarantine_records::add(const quarantine::quarantined_request& quarantined) {
    this->unwritten[quarantined.request.digest] = quarantined;
    this->tick();
}

std::vector<quarantine::quarantined_request>
quarantine_records::read(const std::set<std::string>& keys) const {
    std::vector<quarantine::quarantined_request> found;
    const std::string below = this->prefix();
    for (const auto& key : keys) {
        const auto item = this->context.state.store.items.find(key);
        if (!key.starts_with(below) || item == this->context.state.store.items.end()) {
            continue;
        }
        const auto record = parse_record(key.substr(below.size()), item->second.value);
        if (!record) {
            this->context.log.line(importance::keep, "quarantine_unreadable").text("key", key);
            continue;
        }
        found.push_back(*record);
    }
    return found;
}

void quarantine_records::tick() {
    this->rewrite_lost();
    if (this->call_pending || this->context.now() < this->next_call) {
        return;
    }
    if (!this->unwritten.empty()) {
        this->write_next();
    } else if (this->is_leader()) {
        this->erase_next();
    }
}

bool quarantine_records::is_held(const base::request_digest& request) const {
    return quarantine::evaluate(this->context.state.quarantine, request, this->context.now(), {})
               .what == quarantine::verdict::quarantined;
}

void quarantine_records::rewrite_lost() {
    const auto& state = this->context.state;
    if (state.store.revision == base::revision{}) {
        return;
    }
    const std::int64_t era = state.store.revision.era;
    if (!this->complete_era) {
        this->complete_era = era;
    }
    if (this->complete_era == era || state.store.lost_items_retained_until || !this->is_leader()) {
        return;
    }
    for (const auto& held :
         quarantine::quarantined_requests(state.quarantine, this->context.now())) {
        this->unwritten.emplace(held.request.digest, held);
    }
    this->complete_era = era;
}

void quarantine_records::write_next() {
    const auto next = this->unwritten.begin();
    const std::string key = this->prefix() + next->first.value;
    const auto& store = this->context.state.store;
    const bool written = store.items.count(key) > 0;
    const bool full = mirror::items_with_prefix(store, this->prefix()).size() >= max_records;
    if (written || full || !this->is_held(next->first)) {
        this->unwritten.erase(next);
        return;
    }
    ports::transaction change;
    change.preconditions = {{key, 0}};
    change.writes = {{key, encode_record(next->second), false, 0}};
    this->commit(change);
}

void quarantine_records::erase_next() {
    for (const auto& item : mirror::items_with_prefix(this->context.state.store, this->prefix())) {
        if (this->is_held({item.key.substr(this->prefix().size())})) {
            continue;
        }
        ports::transaction change;
        change.preconditions = {
            {item.key, mirror::store_revision_of(this->context.state.store, item.key)}};
        change.writes = {{item.key, "", true, 0}};
        this->commit(change);
        return;
    }
}

void quarantine_records::commit(const ports::transaction& change) {
    this->call_pending = true;
    const base::request_digest digest{change.writes.front().key.substr(this->prefix().size())};
    this->platform.commit(change, [this, digest](const base::result<ports::commit_result>& done) {
        this->call_pending = false;
        this->next_call = this->context.now() + call_pause;
        if (done.has_value()) {
            // If another entry wrote first, its record says the same.
            this->unwritten.erase(digest);
        }
    });
}

} // namespace camphorrail::proxy
