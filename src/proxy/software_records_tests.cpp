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
    bool leads = true;
    std::vector<base::pool_id> told;
    proxy::software_records records{this->world.entry(), this->store.calls_to(),
                                    [this] { return this->leads; }};

    explicit record_world(const std::vector<std::string>& versions) {
        this->world.stop_clock();
        for (const auto& version : versions) {
            this->add_engine(version);
        }
        this->world.state.software.clear();
        this->records.several_versions = [this](const base::pool_id& pool) {
            this->told.push_back(pool);
        };
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

TEST_CASE("the leader records the versions of a pool that serves streams", "[proxy][resumption]") {
    record_world entry({"v1", "v1"});
    entry.run(base::milliseconds(200));
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
        entry.run(base::milliseconds(200));
        CHECK(entry.stored()->at(second) == introduction::announced);
        CHECK_FALSE(entry.may_begin(second));
        // Before it begins streams, other entries are told of those that began before.
        CHECK(entry.told == std::vector<base::pool_id>{{"pool"}});
        entry.run(resumption::version_rules{}.introduction_time + base::milliseconds(200));
        CHECK(entry.stored()->at(second) == introduction::active);
        CHECK(entry.may_begin(second));
        CHECK(entry.told.size() == 1);
    }
    SECTION("and writes a record again that the store has lost") {
        entry.world.state.store.items.erase(entry.key());
        entry.see_store();
        CHECK_FALSE(entry.may_begin(first));
        entry.run(resumption::version_rules{}.introduction_time + base::milliseconds(400));
        CHECK(entry.may_begin(first));
    }
    SECTION("and replaces one that can't be read") {
        entry.world.state.store.items[entry.key()].value = "{";
        entry.world.state.store.items[entry.key()].mod_revision = {0, 900};
        entry.see_store();
        entry.run(resumption::version_rules{}.introduction_time + base::milliseconds(400));
        CHECK(entry.may_begin(first));
    }
}

TEST_CASE("another entry records a version if the leader does not", "[proxy][resumption]") {
    record_world entry({"v1"});
    entry.leads = false;
    entry.run(base::milliseconds(300));
    CHECK_FALSE(entry.stored().has_value());
    entry.run(base::milliseconds(2200));
    CHECK(entry.stored().has_value());

    SECTION("and tries again after a call has failed") {
        record_world cut({"v1"});
        cut.store.unavailable = true;
        cut.run(base::seconds(1));
        CHECK_FALSE(cut.may_begin(first));
        CHECK(cut.store.calls > 1);
        cut.store.unavailable = false;
        cut.run(base::milliseconds(300));
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
}
