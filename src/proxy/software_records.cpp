#include "proxy/software_records.h"

#include "base/hash.h"
#include "entries/holders.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr base::milliseconds call_pause{100};
// Records are compared with the list of upstreams when either has changed, and this often, since
// versions become due with time. Each comparison visits all upstreams.
constexpr base::milliseconds check_period{500};
// Time after which the next entry writes a record that one has failed to write.
constexpr base::milliseconds writer_time{400};
// Time over which the entries are spread that write if none of the chosen ones does, so that not
// all of a large fleet call the store in the same moment.
constexpr base::milliseconds succession_time{1600};

constexpr const char* software_prefix = "software/";
// Acknowledgements of pools or entries that do not exist are kept up to this number, since an entry
// may acknowledge before it is listed.
constexpr std::size_t max_acknowledgements = 8192;
constexpr std::size_t max_pool_name = 256;

} // namespace

software_records::software_records(entry_context& context, ports::platform platform_calls)
    : context(context), platform(std::move(platform_calls)) {}

std::string software_records::key_of(const base::pool_id& pool) const {
    return this->context.codec.own_prefix + software_prefix + pool.value;
}

resumption::stored_record software_records::stored_record(const base::pool_id& pool) const {
    const std::string key = this->key_of(pool);
    const auto& store = this->context.state.store;
    const auto found = store.items.find(key);
    // An item that the store has lost is retained in the mirror for a while.
    if (found == store.items.end() || store.retained.count(key) > 0) {
        return {};
    }
    return {resumption::parse_record(found->second.value),
            this->is_seen_by_all(pool, found->second.mod_revision)};
}

bool software_records::is_seen_by_all(const base::pool_id& pool, base::revision revision) const {
    const auto acknowledged = this->seen.find(pool);
    const auto others = this->listed_entries();
    return std::all_of(others.begin(), others.end(), [&](const base::entry_id& other) {
        if (acknowledged == this->seen.end()) {
            return false;
        }
        const auto found = acknowledged->second.find(other);
        return found != acknowledged->second.end() && !(found->second < revision);
    });
}

void software_records::receive(const base::entry_id& from,
                               const peering::software_record_seen& message) {
    if (message.pool.value.size() > max_pool_name) {
        return;
    }
    auto& latest = this->seen[message.pool][from];
    latest = std::max(latest, message.revision);
    this->limit_seen();
    this->next_check = {};
}

std::size_t software_records::acknowledgement_count() const {
    std::size_t count = 0;
    for (const auto& [pool, entries] : this->seen) {
        count += entries.size();
    }
    return count;
}

// A link may name any pools and any entries. Once there are too many, those are dropped that do not
// exist.
void software_records::limit_seen() {
    if (this->acknowledgement_count() <= max_acknowledgements) {
        return;
    }
    const auto others = this->listed_entries();
    std::erase_if(this->seen, [this](const auto& each) {
        return this->context.state.software.count(each.first) == 0;
    });
    for (auto& [pool, entries] : this->seen) {
        std::erase_if(entries,
                      [&others](const auto& each) { return others.count(each.first) == 0; });
    }
}

std::vector<base::entry_id> software_records::writers_of(const base::pool_id& pool) const {
    auto all = this->connected_entries();
    all.push_back({this->context.settings.id, this->context.settings.zone});
    return entries::rank_holders(all, this->key_of(pool), entries::record_holder_count);
}

void software_records::acknowledge(const base::pool_id& pool) {
    const auto item = this->context.state.store.items.find(this->key_of(pool));
    auto writers = this->writers_of(pool);
    std::erase(writers, this->context.settings.id);
    if (item != this->context.state.store.items.end()) {
        this->send(writers, peering::software_record_seen{pool, item->second.mod_revision});
    }
}

void software_records::acknowledge_all() {
    for (const auto& [pool, versions] : this->context.state.software) {
        if (resumption::has_announced_version(versions)) {
            this->acknowledge(pool);
        }
    }
}

std::set<base::pool_id> software_records::stream_pools() const {
    std::set<base::pool_id> pools;
    if (this->context.state.config == nullptr) {
        return pools;
    }
    for (const auto& route : this->context.state.config->routes) {
        if (route.kind != routes::request_kind::stream || !route.resumable) {
            continue;
        }
        for (const auto& destination : route.destinations) {
            pools.insert(destination.pool);
        }
    }
    return pools;
}

std::set<base::software_version> software_records::running(const base::pool_id& pool) const {
    std::set<base::software_version> versions;
    for (const auto& [id, member] : this->context.state.fleet.members) {
        if (member.listed.pool == pool && !member.listed.software.empty()) {
            versions.insert(member.listed.software);
        }
    }
    return versions;
}

void software_records::apply(const std::set<std::string>& keys) {
    this->next_check = {};
    const std::string below = this->context.codec.own_prefix + software_prefix;
    for (const auto& key : keys) {
        if (key.starts_with(below)) {
            this->apply_pool({key.substr(below.size())});
        }
    }
}

void software_records::apply_pool(const base::pool_id& pool) {
    auto& versions = this->context.state.software[pool];
    const bool had_several = resumption::has_several_versions(versions);
    const auto record = this->stored_record(pool).versions;
    resumption::apply_record(versions, record, this->context.now(), {});
    this->due_since.erase(pool);
    this->drop_old_acknowledgements(pool);
    this->context.log.line(importance::keep, "software_versions")
        .text("pool", pool.value)
        .text("versions", record ? resumption::encode(*record) : "")
        .number("known", static_cast<std::int64_t>(versions.known.size()))
        .number("revision", this->context.state.store.revision.number);
    if (resumption::has_announced_version(versions)) {
        this->acknowledge(pool);
    }
    if (!had_several && resumption::has_several_versions(versions)) {
        this->several_versions(pool);
    }
}

// Entries that have left acknowledge nothing any more.
void software_records::drop_old_acknowledgements(const base::pool_id& pool) {
    const auto item = this->context.state.store.items.find(this->key_of(pool));
    const auto acknowledged = this->seen.find(pool);
    if (item == this->context.state.store.items.end() || acknowledged == this->seen.end()) {
        return;
    }
    std::erase_if(acknowledged->second,
                  [&item](const auto& each) { return each.second < item->second.mod_revision; });
}

base::milliseconds software_records::write_delay(const base::pool_id& pool) const {
    const auto writers = this->writers_of(pool);
    const auto own = std::find(writers.begin(), writers.end(), this->context.settings.id);
    const base::milliseconds delay = writer_time * (own - writers.begin());
    if (own != writers.end()) {
        return delay;
    }
    const auto own_share = base::stable_hash(this->context.settings.id.value) %
                           static_cast<std::uint64_t>(succession_time.count());
    return delay + base::milliseconds(static_cast<std::int64_t>(own_share));
}

bool software_records::is_our_turn(const base::pool_id& pool) {
    const base::instant now = this->context.now();
    const auto [since, is_new] = this->due_since.try_emplace(pool, now);
    return now - since->second >= this->write_delay(pool);
}

void software_records::tick() {
    const base::instant now = this->context.now();
    if (this->call_pending || now < this->next_check) {
        return;
    }
    this->next_check = now + check_period;
    for (const auto& pool : this->stream_pools()) {
        const auto running_now = this->running(pool);
        auto& versions = this->context.state.software[pool];
        resumption::record_running(versions, running_now, now);
        if (this->call_pending) {
            continue;
        }
        const auto wanted =
            resumption::next_record(versions, this->stored_record(pool), running_now, now, {});
        if (!wanted) {
            this->due_since.erase(pool);
        } else if (this->is_our_turn(pool)) {
            this->write(pool, *wanted);
        }
    }
}

bool software_records::is_complete() const {
    const auto pools = this->stream_pools();
    return std::all_of(pools.begin(), pools.end(), [this](const base::pool_id& pool) {
        const auto versions = this->context.state.software.find(pool);
        const bool is_recorded =
            versions != this->context.state.software.end() && versions->second.recorded;
        return is_recorded || this->running(pool).empty();
    });
}

void software_records::write(const base::pool_id& pool, const resumption::version_record& record) {
    const std::string key = this->key_of(pool);
    ports::transaction change;
    change.preconditions = {{key, mirror::store_revision_of(this->context.state.store, key)}};
    change.writes = {{key, resumption::encode(record), false, 0}};
    this->call_pending = true;
    this->platform.commit(change,
                          [this, pool, record](const base::result<ports::commit_result>& done) {
                              this->call_pending = false;
                              this->next_check = this->context.now() + call_pause;
                              this->context.log.line(importance::keep, "software_versions_written")
                                  .text("pool", pool.value)
                                  .text("versions", resumption::encode(record))
                                  .flag("done", done.has_value() && done.value().applied);
                          });
}

} // namespace camphorrail::proxy
