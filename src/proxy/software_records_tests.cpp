#include "mirrored_store.h"
#include "proxy/software_records.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using resumption::introduction;
using resumption::version_record;

namespace {

const base::software_version first{"v1"};
const base::software_version second{"v2"};

// An entry with a pool whose engines run the given versions, and nothing recorded yet.
struct record_world {
    tests::proxy_world world;
    tests::mirrored_store store{this->world.state.store};
    std::vector<base::pool_id> told;
    // The other entries: those that are linked, and those that are registered.
    std::vector<entries::linked_entry> linked;
    std::set<base::entry_id> listed;
    std::vector<std::pair<base::entry_id, base::revision>> acknowledged;
    proxy::software_records records{this->world.entry(), this->store.calls_to()};

    explicit record_world(const std::vector<std::string>& versions) {
        this->world.stop_clock();
        for (const auto& version : versions) {
            this->add_engine(version);
        }
        this->world.state.software.clear();
        this->records.several_versions = [this](const base::pool_id& pool) {
            this->told.push_back(pool);
        };
        this->records.connected_entries = [this] { return this->linked; };
        this->records.listed_entries = [this] { return this->listed; };
        this->records.send = [this](const std::vector<base::entry_id>& to,
                                    const peering::message& message) {
            for (const auto& entry : to) {
                this->acknowledged.emplace_back(
                    entry, std::get<peering::software_record_seen>(message).revision);
            }
        };
    }

    base::revision stored_revision() {
        return this->world.state.store.items.at(this->key()).mod_revision;
    }

    void add_engine(const std::string& version) {
        const std::string id = "i-" + std::to_string(this->world.state.fleet.members.size());
        auto& member = this->world.state.fleet.members[{id}];
        member.listed = {.id = {id}, .pool = {"pool"}, .slots = 6};
        member.listed.software = {version};
    }

    // Time passes, and the entry sees what it has written.
    void run(base::milliseconds span) {
        constexpr base::milliseconds step{100};
        for (base::milliseconds passed{0}; passed < span; passed += step) {
            this->world.move_clock(step);
            this->records.tick();
            this->see_store();
        }
    }

    void see_store() {
        const auto found = this->world.state.store.items.find(this->key());
        const auto revision = found == this->world.state.store.items.end()
                                  ? base::revision{}
                                  : found->second.mod_revision;
        if (revision != this->seen) {
            this->seen = revision;
            this->records.apply({this->key()});
        }
    }

    [[nodiscard]] std::string key() const { return "camphorrail/software/pool"; }

    std::optional<version_record> stored() {
        const auto found = this->world.state.store.items.find(this->key());
        return found == this->world.state.store.items.end()
                   ? std::nullopt
                   : resumption::parse_record(found->second.value);
    }

    bool may_begin(const base::software_version& version) {
        return resumption::may_begin_streams(this->world.state.software[{"pool"}], version);
    }

    base::revision seen;
};

} // namespace

TEST_CASE("an entry records the versions of a pool that serves streams", "[proxy][resumption]") {
    record_world entry({"v1", "v1"});
    entry.listed = {{"entry-9"}};
    // The entry is not ready before streams may begin.
    CHECK_FALSE(entry.records.is_complete());
    entry.run(base::milliseconds(500));
    CHECK(entry.records.is_complete());
    CHECK(entry.stored() == version_record{{first, introduction::active}});
    CHECK(entry.may_begin(first));
    CHECK(entry.told.empty());

    SECTION("and writes nothing while they stay the same") {
        const int calls = entry.store.calls;
        entry.run(base::seconds(30));
        CHECK(entry.store.calls == calls);
    }
    SECTION("a new one is introduced in two steps") {
        entry.add_engine("v2");
        entry.records.apply({});
        entry.run(base::milliseconds(200));
        CHECK(entry.stored()->at(second) == introduction::announced);
        CHECK_FALSE(entry.may_begin(second));
        // Before it begins streams, other entries are told of those that began before.
        CHECK(entry.told == std::vector<base::pool_id>{{"pool"}});

        SECTION("with time between them, if an entry does not say that it has seen the first") {
            entry.records.receive({"entry-8"}, {{"pool"}, entry.stored_revision()});
            entry.records.receive({"entry-9"}, {{"pool"}, base::revision{0, 1}});
            entry.run(resumption::version_rules{}.introduction_time - base::milliseconds(300));
            CHECK_FALSE(entry.may_begin(second));
            entry.run(base::milliseconds(900));
            CHECK(entry.stored()->at(second) == introduction::active);
            CHECK(entry.may_begin(second));
            CHECK(entry.told.size() == 1);
        }
        SECTION("one after the other, if all have") {
            entry.records.receive({"entry-9"}, {{"pool"}, entry.stored_revision()});
            entry.run(base::milliseconds(200));
            CHECK(entry.may_begin(second));
        }
    }
    SECTION("and writes a record again that the store has lost") {
        entry.world.state.store.items.erase(entry.key());
        entry.see_store();
        CHECK_FALSE(entry.may_begin(first));
        entry.run(resumption::version_rules{}.introduction_time + base::milliseconds(900));
        CHECK(entry.may_begin(first));
    }
    SECTION("and replaces one that can't be read") {
        entry.world.state.store.items[entry.key()].value = "{";
        entry.world.state.store.items[entry.key()].mod_revision = {0, 900};
        entry.see_store();
        entry.run(resumption::version_rules{}.introduction_time + base::milliseconds(900));
        CHECK(entry.may_begin(first));
    }
}

TEST_CASE("an entry tells those that write a record that it has seen an announcement",
          "[proxy][resumption]") {
    record_world entry({"v1", "v2"});
    entry.linked = {{{"entry-8"}, {"a"}}, {{"entry-9"}, {"b"}}};
    const version_record announced{{first, introduction::active},
                                   {second, introduction::announced}};
    entry.world.state.store.items[entry.key()] = {entry.key(), resumption::encode(announced), 40};
    entry.see_store();
    REQUIRE(entry.acknowledged.size() == 2);
    CHECK(entry.acknowledged[0].second == entry.stored_revision());

    SECTION("and an entry that connects later") {
        entry.acknowledged.clear();
        entry.linked.push_back({{"entry-7"}, {"c"}});
        entry.records.acknowledge_all();
        CHECK_FALSE(entry.acknowledged.empty());
    }
    SECTION("but says nothing of a record that announces no version") {
        entry.acknowledged.clear();
        entry.world.state.store.items[entry.key()].value =
            resumption::encode({{first, introduction::active}, {second, introduction::active}});
        entry.world.state.store.items[entry.key()].mod_revision = {0, 41};
        entry.see_store();
        entry.records.acknowledge_all();
        CHECK(entry.acknowledged.empty());
    }
}

TEST_CASE("another entry records a version if those chosen for it do not", "[proxy][resumption]") {
    record_world entry({"v1"});
    for (int each = 0; each < 60; ++each) {
        entry.linked.push_back({{"other-" + std::to_string(each)}, {}});
    }
    entry.run(base::milliseconds(1000));
    CHECK_FALSE(entry.stored().has_value());
    entry.run(base::milliseconds(2700));
    CHECK(entry.stored().has_value());

    SECTION("and tries again after a call has failed") {
        record_world cut({"v1"});
        cut.store.unavailable = true;
        cut.run(base::seconds(1));
        CHECK_FALSE(cut.may_begin(first));
        CHECK(cut.store.calls > 1);
        cut.store.unavailable = false;
        cut.run(base::milliseconds(600));
        CHECK(cut.may_begin(first));
    }
}

TEST_CASE("a pool that serves no streams is not recorded", "[proxy][resumption]") {
    record_world entry({"v1", "v2"});
    for (auto& route : entry.world.config.routes) {
        route.resumable = false;
    }
    entry.world.prove_config();
    entry.run(base::seconds(5));
    CHECK(entry.store.calls == 0);
    CHECK(entry.records.is_complete());
}

// Guards against links that fill the memory with names of pools.
TEST_CASE("acknowledgements of pools and entries that do not exist are bounded",
          "[proxy][resumption]") {
    constexpr std::size_t limit = 8192;
    constexpr std::size_t unknown = 20'000;
    record_world entry({"v1"});
    entry.listed = {{"entry-9"}};
    entry.run(base::milliseconds(500));
    entry.records.receive({"entry-9"}, {{"pool"}, entry.stored_revision()});
    for (std::size_t each = 0; each < unknown; ++each) {
        const std::string name = "x" + std::to_string(each);
        entry.records.receive({name}, {{name}, {}});
    }
    // The one of the listed entry is kept each time.
    CHECK(entry.records.acknowledgement_count() == 1 + unknown % limit);
    entry.records.receive({"x"}, {{std::string(257, 'x')}, {}});
    CHECK(entry.records.acknowledgement_count() == 1 + unknown % limit);
}
