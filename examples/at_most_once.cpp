#include "once/ledger.h"

#include <chrono>
#include <iostream>
#include <map>
#include <string>

using namespace camphorrail;

// Embeds the at-most-once part without the daemons. The store here is a map in memory; a program of
// yours puts its key-value service in its place. One call is asked for twice, before and after a
// crash, and runs once.
namespace {

struct memory_store {
    std::map<std::string, ports::stored_value> values;
    std::int64_t revision = 0;

    ports::snapshot read(const std::string& prefix) const {
        ports::snapshot answer{this->revision, {}};
        for (const auto& [key, value] : this->values) {
            if (key.compare(0, prefix.size(), prefix) == 0) {
                answer.values.push_back(value);
            }
        }
        return answer;
    }

    ports::commit_result commit(const ports::transaction& change) {
        for (const auto& expected : change.preconditions) {
            const auto found = this->values.find(expected.key);
            const auto present = found == this->values.end() ? 0 : found->second.mod_revision;
            if (present != expected.mod_revision) {
                return {false, this->revision};
            }
        }
        ++this->revision;
        for (const auto& item : change.writes) {
            this->values[item.key] = {item.key, item.value, this->revision};
        }
        return {true, this->revision};
    }
};

class booking_desk {
public:
    booking_desk(memory_store& store, const std::string& nonce)
        : store(&store), ledger(once::make_ledger({"desk-1"}, {"slots"}, nonce)) {
        this->carry_out(once::on_lease_renewed(this->ledger, 1, now().now, now()));
        this->carry_out(once::set_placement(this->ledger, {{{"desk-1"}}}, now()));
    }

    void confirm(const std::string& attempt, const std::string& key) {
        const auto at = now();
        this->carry_out(once::on_order(
            this->ledger, {{attempt}, {key}, "slot 17", at.now + base::seconds(5)}, at));
    }

private:
    static once::event_time now() {
        return {std::chrono::time_point_cast<base::micros>(std::chrono::steady_clock::now()),
                std::chrono::duration_cast<base::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()};
    }

    void carry_out(const once::actions& todo) {
        for (const auto& action : todo) {
            std::visit([this](const auto& one) { this->carry_out_one(one); }, action);
        }
    }
    void carry_out_one(const once::read_action& todo) {
        this->carry_out(once::on_read(this->ledger, this->store->read(todo.prefix), now()));
    }
    void carry_out_one(const once::commit_action& todo) {
        this->carry_out(once::on_committed(this->ledger, this->store->commit(todo.change), now()));
    }
    void carry_out_one(const once::run_action& todo) {
        std::cout << "the call leaves: " << todo.key.value << ", fencing number "
                  << todo.fencing_number << "\n";
        this->carry_out(once::on_completed(this->ledger, todo.key,
                                           {200, "text/plain", "confirmed", true}, now()));
    }
    void carry_out_one(const once::response_action& todo) {
        std::cout << todo.attempt.value << ": " << todo.response.body << "\n";
    }
    void carry_out_one(const once::refuse_action& todo) {
        std::cout << todo.attempt.value << ": refused, " << base::to_string(todo.ran) << "\n";
    }
    void carry_out_one(const once::tombstoned_action& /*todo*/) {}

    memory_store* store;
    once::ledger ledger;
};

} // namespace

int main() {
    memory_store store;
    booking_desk first(store, "first life");
    first.confirm("first attempt", "slot-17");
    first.confirm("second attempt", "slot-17");
    booking_desk second(store, "second life");
    second.confirm("third attempt, after a crash", "slot-17");
    return 0;
}
