#include "proxy/limit_exchange.h"

#include "entries/holders.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// An entry whose link was lost keeps its shares for this long, so that they are not used twice
// while a link is established again.
constexpr base::milliseconds departure_delay{2000};
// A report is repeated in case another entry took it for older than what it knew: as often as this,
// while the upstream goes on stating the same.
constexpr base::milliseconds repeat_period{2000};
constexpr base::milliseconds repeat_time{10000};

// For the log; -1 for no limit.
double logged(const std::optional<ratelimit::requests_per_second>& limit) {
    return limit ? limit->value : -0.001;
}

peering::upstream_limit item_of(const fleet::member& member, base::instant now) {
    return {fleet::instance_of(member), member.limit.limit, now - member.limit.asked_at,
            now - member.limit.stated_at};
}

} // namespace

void limit_exchange::record(const base::upstream_instance& upstream,
                            const ratelimit::statement& stated) {
    auto* member = fleet::find_instance(this->context.state.fleet, upstream);
    if (member == nullptr) {
        return;
    }
    if (this->apply(*member, stated, {})) {
        this->reports[upstream.id] = {upstream, stated.heard_at, stated.heard_at + repeat_time};
        this->send_report(*member);
        return;
    }
    const auto reported = this->reports.find(upstream.id);
    if (reported != this->reports.end() && stated.limit == member->limit.limit) {
        reported->second.heard_again = true;
    }
}

void limit_exchange::receive(const base::entry_id& from, const peering::upstream_limits& message,
                             base::instant written) {
    auto& fleet = this->context.state.fleet;
    for (const auto& item : message.items) {
        const ratelimit::statement stated{item.limit, written - item.asked_ago,
                                          written - item.heard_ago};
        if (auto* member = fleet::find_instance(fleet, item.upstream)) {
            this->apply(*member, stated, from);
        } else {
            ratelimit::apply_statement(fleet::unlisted_limit(fleet, item.upstream), stated);
        }
    }
}

// Returns whether the limit has changed.
bool limit_exchange::apply(fleet::member& member, const ratelimit::statement& stated,
                           const base::entry_id& from) {
    const auto before = member.limit;
    if (!ratelimit::apply_statement(member.limit, stated)) {
        return false;
    }
    this->update_share(member, this->sharing_entries());
    this->log_change(member, before, from);
    return true;
}

void limit_exchange::log_change(const fleet::member& member, const ratelimit::stated_limit& before,
                                const base::entry_id& from) {
    this->context.log.line(importance::keep, "upstream_limit")
        .text("upstream", member.listed.id.value)
        .number("incarnation", member.listed.incarnation.value)
        .text("told_by", from.value)
        .thousandths("limit_in_1000", logged(member.limit.limit))
        .thousandths("before_in_1000", logged(before.limit))
        .span("asked_ago_ms", this->context.now() - member.limit.asked_at)
        .thousandths("share_in_1000", member.permits.rate.value)
        .number("entries", static_cast<std::int64_t>(this->sharers.size()) + 1);
    this->context.metrics.count("camphorrail_upstream_limit_changes_total");
}

std::vector<entries::linked_entry> limit_exchange::sharing_entries() const {
    const auto& self = this->context.settings;
    std::vector<entries::linked_entry> all{{self.id, self.zone}};
    for (const auto& [id, each] : this->sharers) {
        all.push_back({id, each.zone});
    }
    return all;
}

void limit_exchange::update_share(fleet::member& member,
                                  const std::vector<entries::linked_entry>& among) {
    if (!member.limit.limit) {
        member.permits = {};
        return;
    }
    const ratelimit::permit_rules rules;
    const auto count = ratelimit::holder_count(*member.limit.limit, among.size(), rules);
    const auto holders = entries::rank_holders(among, member.listed.id.value, count);
    const bool has_share =
        std::find(holders.begin(), holders.end(), this->context.settings.id) != holders.end();
    ratelimit::set_share(member.permits, *member.limit.limit, has_share ? count : 0,
                         this->context.now(), rules);
}

void limit_exchange::update_sharers() {
    const base::instant now = this->context.now();
    bool has_changed = false;
    for (const auto& entry : this->connected_entries()) {
        const auto [found, is_new] =
            this->sharers.insert_or_assign(entry.id, sharer{entry.zone, now});
        has_changed = has_changed || is_new;
    }
    const auto departed = std::erase_if(this->sharers, [now](const auto& each) {
        return now - each.second.connected_at > departure_delay;
    });
    if (has_changed || departed > 0) {
        this->divide_limits();
    }
}

void limit_exchange::divide_limits() {
    const auto among = this->sharing_entries();
    std::int64_t limited = 0;
    std::int64_t shared = 0;
    for (auto& [id, member] : this->context.state.fleet.members) {
        if (member.limit.limit) {
            this->update_share(member, among);
            ++limited;
            shared += member.permits.capacity > 0.0 ? 1 : 0;
        }
    }
    if (limited > 0) {
        this->context.log.line(importance::keep, "upstream_limits_divided")
            .number("entries", static_cast<std::int64_t>(this->sharers.size()) + 1)
            .number("limited", limited)
            .number("with_share", shared);
    }
}

void limit_exchange::tick() {
    this->update_sharers();
    this->repeat_reports();
}

void limit_exchange::repeat_reports() {
    const base::instant now = this->context.now();
    std::erase_if(this->reports,
                  [now](const auto& each) { return now > each.second.repeat_until; });
    for (auto& [id, report] : this->reports) {
        const auto* member = fleet::find_instance(this->context.state.fleet, report.upstream);
        const bool is_due = report.heard_again && now - report.reported_at > repeat_period;
        if (member != nullptr && is_due) {
            report.heard_again = false;
            report.reported_at = now;
            this->send_report(*member);
        }
    }
}

void limit_exchange::send_report(const fleet::member& member) {
    std::vector<base::entry_id> to;
    for (const auto& entry : this->connected_entries()) {
        to.push_back(entry.id);
    }
    this->send(to, peering::upstream_limits{{item_of(member, this->context.now())}});
}

void limit_exchange::send_all_to(const base::entry_id& entry) {
    peering::upstream_limits message;
    for (const auto& [id, member] : this->context.state.fleet.members) {
        if (member.limit.changed_at) {
            message.items.push_back(item_of(member, this->context.now()));
        }
    }
    if (!message.items.empty()) {
        this->send({entry}, message);
    }
}

} // namespace camphorrail::proxy
