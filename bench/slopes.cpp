#include "base/hash.h"
#include "base/random.h"
#include "config/delta.h"
#include "config/directory.h"
#include "config/edits.h"
#include "once/ledger.h"
#include "once/ownership.h"
#include "peering/messages.h"
#include "process/config_keeper.h"
#include "quota/quota.h"
#include "resumption/stream_origins.h"
#include "routing/engine_view.h"
#include "routing/router.h"
#include "wire/messages.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <unistd.h>

using namespace camphorrail;

// Measures what one decision, message or record costs over a range of sizes, so that growth shows.
// docs/CAPACITY.md is worked out from these lines.
namespace {

double microseconds_each(int rounds, const std::function<void(int)>& action) {
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        action(round);
    }
    const std::chrono::duration<double, std::micro> span = std::chrono::steady_clock::now() - start;
    return span.count() / rounds;
}

double resident_megabytes() {
    std::ifstream statm("/proc/self/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

void print(const std::string& what, const std::string& size, double value, const char* unit) {
    std::printf("%-44s %-24s %12.3f %s\n", what.c_str(), size.c_str(), value, unit);
}

prefix::prefix_chain make_chain(base::random_source& random, std::uint64_t groups) {
    const std::uint64_t group = 1 + base::random_below(random, groups);
    const std::uint64_t history = base::combine_hashes(group, base::random_below(random, 40));
    return {{base::combine_hashes(group, 1), {4000}},
            {history, {5500}},
            {base::random_bits(random), {5600}}};
}

routing::pool_view make_pool(int size) {
    routing::pool_view pool;
    std::vector<base::upstream_id> ids;
    ids.reserve(static_cast<std::size_t>(size));
    for (int index = 0; index < size; ++index) {
        ids.push_back({"pool-" + std::to_string(index)});
    }
    routing::set_members(pool, ids, std::vector<base::availability_zone>(ids.size()));
    return pool;
}

void routing_slopes() {
    for (const int size : {20, 200, 2000}) {
        auto pool = make_pool(size);
        routing::affinity_table table;
        base::random_source random{1};
        const routing::routing_rules rules;
        base::instant now{base::seconds(100)};
        const auto step = [&](int) {
            now += base::micros(1000);
            const auto chain = make_chain(random, 400);
            const auto made =
                routing::choose_upstream(pool, table, {&chain, {}}, now, random, rules);
            routing::record_sent(pool, table, *made, chain, now);
            routing::record_served(pool, table, pool.upstreams[made->index].id, chain, made->basis,
                                   {5500}, now, rules);
        };
        microseconds_each(2000, step);
        print("routing decision, sending and learning", std::to_string(size) + " upstreams",
              microseconds_each(20000, step), "us");
        print("load report", std::to_string(size) + " upstreams",
              microseconds_each(100000,
                                [&](int round) {
                                    const auto& id =
                                        pool.upstreams[static_cast<std::size_t>(round % size)].id;
                                    routing::record_load(pool, id, base::micros(10), 100, 1, now);
                                }),
              "us");
    }
}

void memory_slopes() {
    const double before = resident_megabytes();
    routing::affinity_table table;
    for (std::size_t key = 0; key < table.capacity; ++key) {
        routing::add_holder(table, base::combine_hashes(key, 3), {1, 1, {}});
    }
    const double after = resident_megabytes();
    print("affinity table, full", std::to_string(table.capacity) + " prefixes", after - before,
          "MB");
    auto pool = make_pool(2000);
    print("views of upstreams", "2000 upstreams", resident_megabytes() - after, "MB");
}

void engine_slopes() {
    // What an agent does for one order is also what keeps its knowledge of its engine's cache up to
    // date: it takes the place of a feed of cache events.
    for (const int blocks : {1000, 10000, 50000}) {
        auto view = routing::make_engine_view({"pool-1"});
        base::random_source random{1};
        base::instant now{base::seconds(100)};
        const auto step = [&](int) {
            now += base::micros(1000);
            const auto chain = make_chain(random, static_cast<std::uint64_t>(blocks) / 40 + 1);
            const auto estimate = routing::estimate_work(view, chain, now);
            routing::record_accepted(view, chain, now);
            routing::record_served(view, chain, estimate.basis, {5500}, base::milliseconds(10),
                                   now);
        };
        microseconds_each(blocks, step);
        print("agent's knowledge of its cache, an order", std::to_string(blocks) + " prefixes",
              microseconds_each(20000, step), "us");
    }
}

void message_slopes() {
    wire::order order;
    order.attempt = "entry-17/1796236207773/123456";
    order.pool = "model:desk-8b";
    order.level_keys = {~0ULL, ~1ULL, ~2ULL};
    order.level_tokens = {4000, 5500, 5600};
    for (const std::size_t body : {1000U, 24000U, 100000U}) {
        order.body = std::string(body, 'x');
        const std::string bytes = wire::encode(order);
        print("order, envelope", std::to_string(body) + " bytes of body",
              static_cast<double>(bytes.size() - body), "bytes");
        print("order, coded and read", std::to_string(body) + " bytes of body",
              microseconds_each(2000, [&](int) { (void)wire::decode(wire::encode(order)); }), "us");
    }
    const wire::heartbeat beat{123456, {1796236207773, 3, 2, 120000, 98.5, false}};
    print("heartbeat", "one", static_cast<double>(wire::encode(beat).size()), "bytes");
    print("heartbeat, coded and read", "one",
          microseconds_each(20000, [&](int) { (void)wire::decode(wire::encode(beat)); }), "us");
    const wire::chunk piece{order.attempt, 17, std::string(60, 'x')};
    print("token of a stream", "one", static_cast<double>(wire::encode(piece).size()), "bytes");
    print("token of a stream, coded and read", "one",
          microseconds_each(20000, [&](int) { (void)wire::decode(wire::encode(piece)); }), "us");
    const wire::placed note{~0ULL, ~1ULL};
    print("note to a prefix's home", "one", static_cast<double>(wire::encode(note).size()),
          "bytes");
}

void config_slopes() {
    for (const int size : {20, 200, 2000}) {
        auto config = config::initial_configuration();
        for (int index = 0; index < size; ++index) {
            config::upstream item;
            item.id.value = "pool-" + std::to_string(index);
            item.link = "10.0.0.1:18101";
            item.zone.value = "zone-" + std::to_string(index % 10);
            item.serves = {"model-" + std::to_string(index % 28)};
            config.upstreams.push_back(item);
        }
        for (int index = 0; index < std::min(size, 320); ++index) {
            config.teams.push_back({{"team-" + std::to_string(index)},
                                    1.0,
                                    {{"app", 5, base::milliseconds(620), {}}}});
            config.teams.back().applications[0].key_hashes.push_back(
                base::sha256_hex(std::to_string(index)));
        }
        const std::string document = config::to_document(config);
        const std::string label = std::to_string(size) + " upstreams";
        print("configuration document", label, static_cast<double>(document.size()), "bytes");
        const auto drained = config::set_upstream_state(config, config.upstreams[3].id,
                                                        config::upstream_state::draining)
                                 .value();
        config::delta_log log;
        config::append(log, {{1}, config::make_changes(document, config::to_document(drained))});
        print("configuration delta, one upstream drained", label,
              static_cast<double>(config::to_text(log).size()), "bytes");
        print("configuration delta, applied, checked, tabled", label,
              microseconds_each(10,
                                [&](int) {
                                    const auto made = config::catch_up(document, {1}, log);
                                    auto parsed = config::parse_configuration(made.value(), {2});
                                    (void)config::make_directory(std::move(parsed.config));
                                }),
              "us");
        print("configuration read, checked and tabled", label,
              microseconds_each(10,
                                [&](int) {
                                    auto parsed = config::parse_configuration(document, {1});
                                    (void)config::make_directory(std::move(parsed.config));
                                }),
              "us");
    }
}

void once_slopes() {
    for (const int size : {3, 70, 300}) {
        std::vector<base::upstream_id> owners;
        owners.reserve(static_cast<std::size_t>(size));
        for (int index = 0; index < size; ++index) {
            owners.push_back({"pool-" + std::to_string(index)});
        }
        print("owners of a key", std::to_string(size) + " in the pool",
              microseconds_each(
                  5000,
                  [&](int round) { (void)once::ranked_owners({std::to_string(round)}, owners); }),
              "us");
        once::owner_record record{{"pool-1"}, {3}, "pool-1@1796236207773.4", owners};
        print("owner record", std::to_string(size) + " in the pool",
              static_cast<double>(once::to_text(record).size()), "bytes");
    }
    once::journal_record record{{"team-17/017f22e2-79b0-7cc3-98c4-dc0c0c07398f"},
                                std::string(32, 'f'),
                                once::outcome::completed,
                                {200, "application/json", std::string(200, 'x'), true},
                                1796236207773};
    for (const std::size_t keys : {1U, 16U, 64U}) {
        const once::segment segment(keys, record);
        print("journal segment", std::to_string(keys) + " keys",
              static_cast<double>(once::to_text(segment).size()), "bytes");
    }
}

// Entries that all have counted all teams: the most that is ever known.
void quota_slopes() {
    constexpr int teams = 320;
    for (const int entries : {22, 100, 400}) {
        const auto label = std::to_string(entries) + " entries, 320 teams";
        quota::ledger known;
        quota::quota_rules rules;
        std::vector<routes::team> limited(teams);
        for (int each = 0; each < teams; ++each) {
            limited[static_cast<std::size_t>(each)].id = {"team-" + std::to_string(each)};
            limited[static_cast<std::size_t>(each)].quota = {routes::quota_unit::tokens, 1e6, 1e6,
                                                             1};
        }
        const base::instant now{base::seconds(1000)};
        quota::set_limits(known, limited, now, rules);
        quota::usage_report report{{}, {}, base::seconds(100), {}};
        for (const auto& team : limited) {
            report.counts.push_back({team.id, 1, base::seconds(10), {1000}, {1000}});
        }
        for (int entry = 1; entry < entries; ++entry) {
            report.from = {"entry-" + std::to_string(entry)};
            quota::apply_report(known, report, now, rules);
        }
        print("decision by a quota", label,
              microseconds_each(20000,
                                [&](int round) {
                                    const auto number = static_cast<std::uint64_t>(round);
                                    (void)quota::admit(known, limited[number % teams].id, {1},
                                                       base::combine_hashes(number, 1), now, rules);
                                }),
              "us");
        report.counts.resize(4);
        print("taking four counts of an entry", label,
              microseconds_each(
                  20000, [&](int /*round*/) { quota::apply_report(known, report, now, rules); }),
              "us");
    }
    print("count of one team of one entry, held", "one",
          static_cast<double>(sizeof(quota::remote_count)), "bytes");
    peering::entry_load told;
    const auto bare = peering::encode({peering::load_report{{told}}}).size();
    told.usage = {{{"team-17"}, 1796236207773000, base::seconds(100), {123456789}, {234567890}}};
    print("count of one team, told", "one",
          static_cast<double>(peering::encode({peering::load_report{{told}}}).size() - bare),
          "bytes");
}

void resumption_slopes() {
    const peering::stream_origin_item item{
        {"9c41d07be2a35f68"},
        {{"lm-pool"}, {"v1.2"}, {{"i-8b495aca44"}, {1796236207773000}}},
        base::milliseconds(17000)};
    const peering::frame frame{peering::stream_origins{{item}}, base::seconds(3600)};
    const std::string bytes = peering::encode(frame);
    print("origin of a stream, told", "one", static_cast<double>(bytes.size()), "bytes");
    print("origin of a stream, coded and read", "one",
          microseconds_each(20000,
                            [&](int /*round*/) { (void)peering::decode(peering::encode(frame)); }),
          "us");
    for (const int records : {1000, 10000, 50000}) {
        resumption::origin_table table;
        const base::instant now{base::seconds(1000)};
        const auto name = [](int number) {
            return base::request_id{"request-" + std::to_string(number)};
        };
        for (int each = 0; each < records; ++each) {
            resumption::record_origin(table,
                                      {name(each), item.origin, now + base::milliseconds(each)});
        }
        print("origin of a stream, found", std::to_string(records),
              microseconds_each(
                  20000,
                  [&](int round) { (void)resumption::find_origin(table, name(round % records)); }),
              "us");
    }
}

} // namespace

int main() {
    std::printf("%-44s %-24s %12s\n", "what", "size", "value");
    routing_slopes();
    memory_slopes();
    engine_slopes();
    message_slopes();
    config_slopes();
    once_slopes();
    quota_slopes();
    resumption_slopes();
    return 0;
}
