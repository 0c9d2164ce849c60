#include "peering/messages.h"

#include <nlohmann/json.hpp>

namespace camphorrail::peering {

namespace {

using nlohmann::json;

json to_json(const base::upstream_instance& instance) {
    return {instance.id.value, instance.incarnation.value};
}

base::upstream_instance read_instance(const json& read) {
    return {{read.at(0).get<std::string>()}, {read.at(1).get<std::int64_t>()}};
}

json to_json(const handshake& message) {
    return {"hello", message.from.value, message.zone.value, message.incarnation};
}

json to_json(const suspicion& message) {
    return {"suspicion", to_json(message.upstream), message.duration.count(), message.reason,
            message.changing_weights};
}

json to_json(const loaded_weights& message) {
    return {"weights", to_json(message.upstream), message.model.value, message.version};
}

json to_json(const store_query& message) {
    return {"ask", message.query_id, message.revision};
}

json changes_to_json(const ports::changes& changes) {
    json items = json::array();
    for (const auto& each : changes.items) {
        items.push_back({each.item.key, each.item.value, each.item.mod_revision, each.deleted});
    }
    return {changes.revision, items};
}

ports::changes read_changes(const json& read) {
    ports::changes changes;
    changes.revision = read.at(0).get<std::int64_t>();
    for (const auto& item : read.at(1)) {
        changes.items.push_back({{item.at(0).get<std::string>(), item.at(1).get<std::string>(),
                                  item.at(2).get<std::int64_t>()},
                                 item.at(3).get<bool>()});
    }
    return changes;
}

// Null where it is not known.
json to_json(const std::optional<base::micros>& age) {
    return age ? json(age->count()) : json();
}

std::optional<base::micros> read_age(const json& read) {
    return read.is_null() ? std::nullopt : std::optional(base::micros(read.get<std::int64_t>()));
}

json to_json(const target_weights& named) {
    return {named.model.value, named.version, to_json(named.age)};
}

target_weights read_weights_named(const json& read) {
    return {{read.at(0).get<std::string>()}, read.at(1).get<std::int64_t>(), read_age(read.at(2))};
}

json to_json(const store_view& message) {
    json named = json::array();
    for (const auto& each : message.targets) {
        named.push_back(to_json(each));
    }
    return {"view",
            message.query_id,
            message.confirmed,
            message.age.count(),
            to_json(message.complete_age),
            message.complete,
            changes_to_json(message.changes),
            named};
}

json to_json(const store_changes& message) {
    return {"changes", message.base_revision, message.omitted_keys,
            changes_to_json(message.changes)};
}

json to_json(const latency::first_byte_sample& sample) {
    return {sample.work.to_read, sample.work.ahead, sample.work.pairs, sample.ms};
}

latency::first_byte_sample read_sample(const json& read) {
    return {{read.at(0).get<double>(), read.at(1).get<double>(), read.at(2).get<double>()},
            read.at(3).get<double>()};
}

json to_json(const kvcache::prompt_read& read) {
    json levels = json::array();
    for (const auto& level : read.levels) {
        levels.push_back({level.key, level.tokens});
    }
    return {levels,           read.own_tokens, read.weights,
            to_json(read.by), read.saved,      to_json(read.shown)};
}

json to_json(const upstream_load& item) {
    return {to_json(item.upstream),    item.work.in_flight,    item.work.unread_tokens,
            item.work.held_tokens,     item.work.unrepeatable, item.work.short_prompts,
            item.last_byte_age.count()};
}

json to_json(const store_transfer& transfer) {
    return {transfer.store, transfer.duration_ms};
}

json to_json(const quarantine::request_identity& request) {
    return {request.digest.value, request.body_bytes};
}

json to_json(const crash_victim& victim) {
    return {to_json(victim.request), victim.sent_ago.count(), victim.response_started_ago.count()};
}

json to_json(const quota::usage_count& count) {
    return {count.team.value, count.number, count.age.count(), count.used.value, count.asked.value};
}

json to_json(const entry_load& load);

template <class Part>
json list_of(const std::vector<Part>& parts) {
    json list = json::array();
    for (const auto& each : parts) {
        list.push_back(to_json(each));
    }
    return list;
}

json to_json(const entry_load& load) {
    return {load.from.value,     load.age.count(),    load.report_interval.count(),
            load.complete,       list_of(load.items), list_of(load.transfers),
            list_of(load.reads), load.uptime.count(), list_of(load.usage)};
}

json to_json(const load_report& message) {
    return {"load", list_of(message.loads)};
}

json to_json(const kv_store_contents& message) {
    json parts = json::array();
    for (const auto& each : message.parts) {
        parts.push_back({each.part, each.tokens});
    }
    return {"kept", message.store, message.complete, message.unreachable, parts};
}

quarantine::request_identity read_identity(const json& read) {
    return {{read.at(0).get<std::string>()}, read.at(1).get<std::size_t>()};
}

json to_json(const crash_report& message) {
    return {"crash", to_json(message.upstream), message.age.count(), list_of(message.victims)};
}

json to_json(const quarantine_notice& message) {
    return {"hold", to_json(message.request), message.remaining.count()};
}

json to_json(const upstream_draining& message) {
    return {"leaving", to_json(message.upstream), message.age.count()};
}

crash_report read_crash(const json& read) {
    crash_report crash;
    crash.upstream = read_instance(read.at(1));
    crash.age = base::micros(read.at(2).get<std::int64_t>());
    for (const auto& each : read.at(3)) {
        crash.victims.push_back({read_identity(each.at(0)),
                                 base::micros(each.at(1).get<std::int64_t>()),
                                 base::micros(each.at(2).get<std::int64_t>())});
    }
    return crash;
}

kvcache::prompt_read read_prompt_read(const json& read) {
    kvcache::prompt_read one;
    for (const auto& level : read.at(0)) {
        one.levels.push_back({level.at(0).get<std::uint64_t>(), level.at(1).get<std::int64_t>()});
    }
    if (one.levels.empty()) {
        throw std::invalid_argument("a reading of nothing");
    }
    one.own_tokens = read.at(1).get<std::int64_t>();
    one.weights = read.at(2).get<std::int64_t>();
    one.by = read_instance(read.at(3));
    one.saved = read.at(4).get<bool>();
    one.shown = read_sample(read.at(5));
    return one;
}

kv_store_contents read_kept(const json& read) {
    kv_store_contents kept;
    kept.store = read.at(1).get<std::string>();
    kept.complete = read.at(2).get<bool>();
    kept.unreachable = read.at(3).get<bool>();
    for (const auto& each : read.at(4)) {
        kept.parts.push_back({each.at(0).get<std::uint64_t>(), each.at(1).get<std::int64_t>()});
    }
    return kept;
}

store_view read_view(const json& read) {
    store_view view;
    view.query_id = read.at(1).get<std::int64_t>();
    view.confirmed = read.at(2).get<bool>();
    view.age = base::micros(read.at(3).get<std::int64_t>());
    view.complete_age = read_age(read.at(4));
    view.complete = read.at(5).get<bool>();
    view.changes = read_changes(read.at(6));
    for (const auto& each : read.at(7)) {
        view.targets.push_back(read_weights_named(each));
    }
    return view;
}

upstream_load read_load_item(const json& read) {
    const fleet::workload work{read.at(1).get<std::int64_t>(), read.at(2).get<std::int64_t>(),
                               read.at(3).get<std::int64_t>(), read.at(4).get<std::int64_t>(),
                               read.at(5).get<std::int64_t>()};
    return {read_instance(read.at(0)), work, base::milliseconds(read.at(6).get<std::int64_t>())};
}

quota::usage_count read_usage(const json& read) {
    return {{read.at(0).get<std::string>()},
            read.at(1).get<std::int64_t>(),
            base::micros(read.at(2).get<std::int64_t>()),
            {read.at(3).get<std::int64_t>()},
            {read.at(4).get<std::int64_t>()}};
}

entry_load read_told_load(const json& read) {
    entry_load load;
    load.from = {read.at(0).get<std::string>()};
    load.age = base::milliseconds(read.at(1).get<std::int64_t>());
    load.report_interval = base::milliseconds(read.at(2).get<std::int64_t>());
    load.complete = read.at(3).get<bool>();
    for (const auto& item : read.at(4)) {
        load.items.push_back(read_load_item(item));
    }
    for (const auto& each : read.at(5)) {
        load.transfers.push_back({each.at(0).get<std::string>(), each.at(1).get<double>()});
    }
    for (const auto& each : read.at(6)) {
        load.reads.push_back(read_prompt_read(each));
    }
    load.uptime = base::milliseconds(read.at(7).get<std::int64_t>());
    for (const auto& each : read.at(8)) {
        load.usage.push_back(read_usage(each));
    }
    return load;
}

load_report read_load(const json& read) {
    load_report load;
    for (const auto& each : read.at(1)) {
        load.loads.push_back(read_told_load(each));
    }
    return load;
}

message read_message(const json& read) {
    const std::string kind = read.at(0).get<std::string>();
    if (kind == "hello") {
        return handshake{{read.at(1).get<std::string>()},
                         {read.at(2).get<std::string>()},
                         read.at(3).get<std::int64_t>()};
    }
    if (kind == "suspicion") {
        return suspicion{read_instance(read.at(1)),
                         base::milliseconds(read.at(2).get<std::int64_t>()),
                         read.at(3).get<std::string>(), read.at(4).get<bool>()};
    }
    if (kind == "weights") {
        return loaded_weights{read_instance(read.at(1)),
                              {read.at(2).get<std::string>()},
                              read.at(3).get<std::int64_t>()};
    }
    if (kind == "load") {
        return read_load(read);
    }
    if (kind == "ask") {
        return store_query{read.at(1).get<std::int64_t>(), read.at(2).get<std::int64_t>()};
    }
    if (kind == "view") {
        return read_view(read);
    }
    if (kind == "changes") {
        return store_changes{read.at(1).get<std::int64_t>(),
                             read.at(2).get<std::set<std::string>>(), read_changes(read.at(3))};
    }
    if (kind == "kept") {
        return read_kept(read);
    }
    if (kind == "crash") {
        return read_crash(read);
    }
    if (kind == "hold") {
        return quarantine_notice{read_identity(read.at(1)),
                                 base::milliseconds(read.at(2).get<std::int64_t>())};
    }
    if (kind == "leaving") {
        return upstream_draining{read_instance(read.at(1)),
                                 base::micros(read.at(2).get<std::int64_t>())};
    }
    throw std::invalid_argument("no such message");
}

} // namespace

crash_report to_message(const quarantine::crash_report& report, base::instant written) {
    crash_report told{report.upstream, written - report.at, {}};
    for (const auto& each : report.victims) {
        const base::micros begun_ago = each.begun_at ? written - *each.begun_at : base::micros(-1);
        told.victims.push_back({each.request, written - each.sent_at, begun_ago});
    }
    return told;
}

quarantine::crash_report from_message(const crash_report& told, base::instant written) {
    quarantine::crash_report report{told.upstream, written - told.age, {}};
    for (const auto& each : told.victims) {
        quarantine::crash_victim victim{each.request, written - each.sent_ago, {}};
        if (each.response_started_ago >= base::micros(0)) {
            victim.begun_at = written - each.response_started_ago;
        }
        report.victims.push_back(std::move(victim));
    }
    return report;
}

std::string encode(const frame& sent) {
    const json told = std::visit([](const auto& each) { return to_json(each); }, sent.payload);
    const json written = {sent.uptime.count(), told};
    std::string bytes;
    json::to_cbor(written, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

base::result<frame> decode(std::string_view bytes) {
    try {
        const json read = json::from_cbor(bytes);
        return frame{read_message(read.at(1)), base::micros(read.at(0).get<std::int64_t>())};
    } catch (const std::exception&) {
        return base::code::frame_malformed;
    }
}

} // namespace camphorrail::peering
