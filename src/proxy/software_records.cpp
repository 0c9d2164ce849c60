#include "proxy/software_records.h"

#include "base/hash.h"

#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr base::milliseconds call_pause{100};
// The leader writes first. If it fails, the other entries follow one after another, so that not all
// of a large fleet call the store in the same moment.
constexpr base::milliseconds leader_time{400};
constexpr base::milliseconds succession_time{1600};

} // namespace

software_records::software_records(entry_context& context, ports::platform platform_calls,
                                   std::function<bool()> is_leader)
    : context(context), platform(std::move(platform_calls)), is_leader(std::move(is_leader)) {}

std::string software_records::prefix() const {
    return this->context.codec.own_prefix + "software/";
}

std::optional<resumption::version_record>
software_records::stored_record(const std::string& key) const {
    const auto& store = this->context.state.store;
    const auto found = store.items.find(key);
    // An item that the store has lost is retained in the mirror for a while.
    const bool is_stored = found != store.items.end() && store.retained.count(key) == 0;
    return is_stored ? resumption::parse_record(found->second.value) : std::nullopt;
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
        if (member.listed.pool == pool) {
            versions.insert(member.listed.software);
        }
    }
    return versions;
}

void software_records::apply(const std::set<std::string>& keys) {
    const std::string below = this->prefix();
    for (const auto& key : keys) {
        if (key.starts_with(below)) {
            this->apply_pool({key.substr(below.size())});
        }
    }
}

void software_records::apply_pool(const base::pool_id& pool) {
    auto& versions = this->context.state.software[pool];
    const bool had_several = resumption::has_several_versions(versions);
    const auto record = this->stored_record(this->prefix() + pool.value);
    resumption::apply_record(versions, record, this->context.now(), {});
    this->due_since.erase(pool);
    this->context.log.line(importance::keep, "software_versions")
        .text("pool", pool.value)
        .text("versions", record ? resumption::encode(*record) : "")
        .number("known", static_cast<std::int64_t>(versions.known.size()))
        .number("revision", this->context.state.store.revision.number);
    if (!had_several && resumption::has_several_versions(versions)) {
        this->several_versions(pool);
    }
}

bool software_records::is_our_turn(const base::pool_id& pool) {
    if (this->is_leader()) {
        return true;
    }
    const base::instant now = this->context.now();
    const auto [since, is_new] = this->due_since.try_emplace(pool, now);
    const auto own_share = base::stable_hash(this->context.settings.id.value) %
                           static_cast<std::uint64_t>(succession_time.count());
    const base::milliseconds own_delay =
        leader_time + base::milliseconds(static_cast<std::int64_t>(own_share));
    return now - since->second >= own_delay;
}

void software_records::tick() {
    const base::instant now = this->context.now();
    for (const auto& pool : this->stream_pools()) {
        const auto running_now = this->running(pool);
        auto& versions = this->context.state.software[pool];
        resumption::record_running(versions, running_now, now);
        if (this->call_pending || now < this->next_call) {
            continue;
        }
        const auto stored = this->stored_record(this->prefix() + pool.value);
        const auto wanted = resumption::next_record(versions, stored, running_now, now, {});
        if (!wanted) {
            this->due_since.erase(pool);
        } else if (this->is_our_turn(pool)) {
            this->write(pool, *wanted);
        }
    }
}

void software_records::write(const base::pool_id& pool, const resumption::version_record& record) {
    const std::string key = this->prefix() + pool.value;
    ports::transaction change;
    change.preconditions = {{key, mirror::store_revision_of(this->context.state.store, key)}};
    change.writes = {{key, resumption::encode(record), false, 0}};
    this->call_pending = true;
    this->platform.commit(change,
                          [this, pool, record](const base::result<ports::commit_result>& done) {
                              this->call_pending = false;
                              this->next_call = this->context.now() + call_pause;
                              this->context.log.line(importance::keep, "software_versions_written")
                                  .text("pool", pool.value)
                                  .text("versions", resumption::encode(record))
                                  .flag("done", done.has_value() && done.value().applied);
                          });
}

} // namespace camphorrail::proxy
