#include "peering/messages.h"

#include "base/json_values.h"

#include <nlohmann/json.hpp>

#include <map>
#include <stdexcept>
#include <utility>

namespace camphorrail::peering {

namespace {

using nlohmann::json;

constexpr base::value_limits message_limits{250'000, 4096};
// Names of entries and of their availability zones, in bytes.
constexpr std::size_t max_name_size = 256;

// Throws for a name that is too long to be kept.
std::string read_name(const json& value) {
    auto name = value.get<std::string>();
    if (name.size() > max_name_size) {
        throw std::length_error("the name is too long");
    }
    return name;
}

json to_json(const base::upstream_instance& instance) {
    return {instance.id.value, instance.incarnation.value};
}

base::upstream_instance read_instance(const json& value) {
    return {{value.at(0).get<std::string>()}, {value.at(1).get<std::int64_t>()}};
}

json to_json(const handshake& message) {
    return {"hello", message.from.value, message.zone.value, message.incarnation, message.protocol};
}

json to_json(const suspicion& message) {
    return {"suspicion", to_json(message.upstream), message.duration.count(), message.reason,
            message.changing_weights};
}

json to_json(const upstream_responding& message) {
    return {"responding", to_json(message.upstream), message.age.count()};
}

json to_json(const loaded_weights& message) {
    return {"weights", to_json(message.upstream), message.model.value, message.version};
}

// The era at an index behind the fields that all builds send.
std::int64_t read_era(const json& value, std::size_t index) {
    return index < value.size() ? value.at(index).get<std::int64_t>() : unknown_era;
}

void replace_unknown_era(base::revision& revision, std::int64_t era) {
    if (revision.era == unknown_era) {
        revision.era = era;
    }
}

void replace_unknown_eras(ports::changes& changes, std::int64_t era) {
    replace_unknown_era(changes.revision, era);
    for (auto& each : changes.items) {
        replace_unknown_era(each.item.mod_revision, era);
    }
}

json to_json(const store_query& message) {
    return {"ask", message.query_id, message.revision.number, message.revision.era,
            message.needs_large_values};
}

json changes_to_json(const ports::changes& changes) {
    json items = json::array();
    for (const auto& each : changes.items) {
        const auto& item = each.item;
        items.push_back(
            {item.key, item.value, item.mod_revision.number, each.deleted, item.mod_revision.era});
    }
    return {changes.revision.number, items, changes.revision.era};
}

ports::changes read_changes(const json& value) {
    ports::changes changes;
    changes.revision = {read_era(value, 2), value.at(0).get<std::int64_t>()};
    for (const auto& item : value.at(1)) {
        const base::revision written{read_era(item, 4), item.at(2).get<std::int64_t>()};
        changes.items.push_back(
            {{item.at(0).get<std::string>(), item.at(1).get<std::string>(), written},
             item.at(3).get<bool>()});
    }
    return changes;
}

// JSON null if the age is unknown.
json to_json(const std::optional<base::micros>& age) {
    return age ? json(age->count()) : json();
}

std::optional<base::micros> read_age(const json& value) {
    return value.is_null() ? std::nullopt : std::optional(base::micros(value.get<std::int64_t>()));
}

json to_json(const target_weights& target) {
    return {target.model.value, target.version, to_json(target.age)};
}

target_weights read_target_weights(const json& value) {
    return {
        {value.at(0).get<std::string>()}, value.at(1).get<std::int64_t>(), read_age(value.at(2))};
}

json to_json(const store_view& message) {
    json targets = json::array();
    for (const auto& each : message.targets) {
        targets.push_back(to_json(each));
    }
    return {"view",
            message.query_id,
            message.confirmed,
            message.age.count(),
            to_json(message.complete_age),
            message.complete,
            changes_to_json(message.changes),
            targets,
            message.omitted_keys};
}

json to_json(const store_changes& message) {
    return {"changes", message.base_revision.number, message.omitted_keys,
            changes_to_json(message.changes), message.base_revision.era};
}

json to_json(const latency::first_byte_sample& sample) {
    return {sample.work.tokens, sample.work.queued_tokens, sample.work.million_pairs, sample.ms};
}

latency::first_byte_sample read_sample(const json& value) {
    return {{value.at(0).get<double>(), value.at(1).get<double>(), value.at(2).get<double>()},
            value.at(3).get<double>()};
}

json to_json(const kvcache::prompt_prefill& read) {
    json levels = json::array();
    for (const auto& level : read.levels) {
        levels.push_back({level.key, level.tokens});
    }
    json fields = {levels,     read.unshared_tokens,    read.weights, to_json(read.engine),
                   read.saved, to_json(read.first_byte)};
    if (read.shared_space != 0) {
        fields.push_back(read.shared_space);
    }
    return fields;
}

// Index of the queue by rank in an upstream's load, behind the fields that all builds send.
constexpr std::size_t queue_index = 7;

// The ranks at which requests wait: [rank, requests, unread tokens].
json to_json(const queueing::rank_queue& queue) {
    json ranks = json::array();
    for (std::size_t rank = 0; rank < queue.by_rank.size(); ++rank) {
        const auto& waiting = queue.by_rank[rank];
        if (waiting.requests != 0) {
            ranks.push_back({rank, waiting.requests, waiting.unread_tokens});
        }
    }
    return ranks;
}

json to_json(const upstream_load& item) {
    const auto& work = item.work;
    json values{
        to_json(item.upstream), work.in_flight,     work.pending_prefill_tokens, work.kv_tokens,
        work.non_retryable,     work.short_prompts, item.last_byte_age.count()};
    const bool has_ranks = work.in_flight > 0 && work.queue.ranked_requests == work.in_flight;
    if (has_ranks) {
        values.push_back(to_json(work.queue));
    }
    return values;
}

json to_json(const store_transfer& transfer) {
    return {transfer.store, transfer.duration_ms};
}

json to_json(const quarantine::request_identity& request) {
    return {request.digest.value, request.body_bytes};
}

json to_json(const quota::usage_count& count) {
    return {count.team.value, count.count_id, count.age.count(), count.used.value,
            count.requested.value};
}

// Counts are grouped by pool, since its name would make up a large part of each.
json to_json(const share_counts& message) {
    std::map<base::pool_id, json> pools;
    for (const auto& each : message.counts) {
        pools[each.pool].push_back({each.team.value, each.count_id, each.requested, each.admitted});
    }
    json groups = json::array();
    for (auto& [pool, counts] : pools) {
        groups.push_back({pool.value, std::move(counts)});
    }
    return {message.uptime.count(), std::move(groups)};
}

json to_json(const stream_origin_item& item) {
    return {item.request.value, item.origin.pool.value, item.origin.software.value,
            to_json(item.origin.upstream), item.remaining.count()};
}

json to_json(const upstream_limit& item) {
    return {to_json(item.upstream), item.limit ? json(item.limit->value) : json(),
            item.asked_ago.count(), item.heard_ago.count()};
}

json to_json(const entry_load& load);
json to_json(const crash_victim& victim);

template <class Part>
json to_json_array(const std::vector<Part>& parts) {
    json list = json::array();
    for (const auto& each : parts) {
        list.push_back(to_json(each));
    }
    return list;
}

json to_json(const crash_victim& victim) {
    return {to_json(victim.request), victim.sent_ago.count(), victim.response_started_ago.count(),
            to_json_array(victim.parts)};
}

json to_json(const entry_load& load) {
    json list{load.from.value,
              load.age.count(),
              load.report_interval.count(),
              load.complete,
              to_json_array(load.items),
              to_json_array(load.transfers),
              to_json_array(load.reads),
              load.uptime.count(),
              to_json_array(load.usage)};
    if (load.shares) {
        list.push_back(to_json(*load.shares));
    }
    return list;
}

json to_json(const load_report& message) {
    return {"load", to_json_array(message.loads)};
}

json to_json(const kv_store_contents& message) {
    json parts = json::array();
    for (const auto& each : message.parts) {
        parts.push_back({each.part, each.tokens});
    }
    return {"kept", message.store, message.complete, message.unreachable, parts};
}

quarantine::request_identity read_identity(const json& value) {
    return {{value.at(0).get<std::string>()}, value.at(1).get<std::size_t>()};
}

json to_json_list(const std::vector<base::request_digest>& digests) {
    json list = json::array();
    for (const auto& each : digests) {
        list.push_back(each.value);
    }
    return list;
}

std::vector<base::request_digest> read_digests(const json& list) {
    std::vector<base::request_digest> digests;
    for (const auto& each : list) {
        digests.push_back({each.get<std::string>()});
    }
    return digests;
}

json to_json(const crash_report& message) {
    return {"crash", to_json(message.upstream), message.age.count(), to_json_array(message.victims),
            to_json_list(message.survived)};
}

json to_json(const quarantine_notice& message) {
    return {"hold", to_json(message.request), message.remaining.count()};
}

json to_json(const cleared_prompt_parts& message) {
    return {"cleared", to_json_list(message.parts)};
}

cleared_prompt_parts read_cleared_prompt_parts(const json& value) {
    return {read_digests(value.at(1))};
}

json to_json(const upstream_draining& message) {
    return {"leaving", to_json(message.upstream), message.age.count()};
}

stream_origin_item read_stream_origin(const json& value) {
    return {{value.at(0).get<std::string>()},
            {{value.at(1).get<std::string>()},
             {value.at(2).get<std::string>()},
             read_instance(value.at(3))},
            base::milliseconds(value.at(4).get<std::int64_t>())};
}

json to_json(const stream_origins& message) {
    return {"origins", to_json_array(message.items)};
}

json to_json(const origin_query& message) {
    return {"origin_of", message.query_id, message.request.value};
}

json to_json(const origin_reply& message) {
    return {"origin", message.query_id, message.item ? to_json(*message.item) : json()};
}

json to_json(const software_record_seen& message) {
    return {"software_seen", message.pool.value, message.revision.number, message.revision.era};
}

json to_json(const upstream_limits& message) {
    return {"limits", to_json_array(message.items)};
}

upstream_limits read_upstream_limits(const json& value) {
    upstream_limits message;
    for (const auto& each : value.at(1)) {
        const auto& limit = each.at(1);
        message.items.push_back(
            {read_instance(each.at(0)),
             limit.is_null() ? std::nullopt
                             : std::optional(ratelimit::requests_per_second{limit.get<double>()}),
             base::micros(each.at(2).get<std::int64_t>()),
             base::micros(each.at(3).get<std::int64_t>())});
    }
    return message;
}

stream_origins read_stream_origins(const json& value) {
    stream_origins message;
    for (const auto& each : value.at(1)) {
        message.items.push_back(read_stream_origin(each));
    }
    return message;
}

origin_reply read_origin_reply(const json& value) {
    origin_reply reply;
    reply.query_id = value.at(1).get<std::int64_t>();
    if (!value.at(2).is_null()) {
        reply.item = read_stream_origin(value.at(2));
    }
    return reply;
}

crash_report read_crash_report(const json& value) {
    crash_report crash;
    crash.upstream = read_instance(value.at(1));
    crash.age = base::micros(value.at(2).get<std::int64_t>());
    for (const auto& each : value.at(3)) {
        crash.victims.push_back({read_identity(each.at(0)),
                                 base::micros(each.at(1).get<std::int64_t>()),
                                 base::micros(each.at(2).get<std::int64_t>())});
        const json parts = each.size() > 3 ? each.at(3) : json::array();
        for (const auto& part : parts) {
            crash.victims.back().parts.push_back(read_identity(part));
        }
    }
    // Missing in reports of older builds.
    constexpr std::size_t survived_index = 4;
    if (value.size() > survived_index) {
        crash.survived = read_digests(value.at(survived_index));
    }
    return crash;
}

// Index of the shared space in a report of a prefilled prompt. Missing if the space is 0, as in
// reports of older builds.
constexpr std::size_t shared_space_index = 6;

kvcache::prompt_prefill read_prompt_read(const json& value) {
    kvcache::prompt_prefill one;
    for (const auto& level : value.at(0)) {
        one.levels.push_back({level.at(0).get<std::uint64_t>(), level.at(1).get<std::int64_t>()});
    }
    if (one.levels.empty()) {
        throw std::invalid_argument("prompt read without levels");
    }
    one.unshared_tokens = value.at(1).get<std::int64_t>();
    one.weights = value.at(2).get<std::int64_t>();
    one.engine = read_instance(value.at(3));
    one.saved = value.at(4).get<bool>();
    one.first_byte = read_sample(value.at(5));
    if (shared_space_index < value.size()) {
        one.shared_space = value.at(shared_space_index).get<std::uint64_t>();
    }
    return one;
}

kv_store_contents read_kv_store_contents(const json& value) {
    kv_store_contents contents;
    contents.store = value.at(1).get<std::string>();
    contents.complete = value.at(2).get<bool>();
    contents.unreachable = value.at(3).get<bool>();
    for (const auto& each : value.at(4)) {
        contents.parts.push_back({each.at(0).get<std::uint64_t>(), each.at(1).get<std::int64_t>()});
    }
    return contents;
}

// Indexes of fields that older builds do not send.
constexpr std::size_t needs_large_values_index = 4;
constexpr std::size_t omitted_keys_index = 8;

store_view read_store_view(const json& value) {
    store_view view;
    view.query_id = value.at(1).get<std::int64_t>();
    view.confirmed = value.at(2).get<bool>();
    view.age = base::micros(value.at(3).get<std::int64_t>());
    view.complete_age = read_age(value.at(4));
    view.complete = value.at(5).get<bool>();
    view.changes = read_changes(value.at(6));
    for (const auto& each : value.at(7)) {
        view.targets.push_back(read_target_weights(each));
    }
    if (omitted_keys_index < value.size()) {
        view.omitted_keys = value.at(omitted_keys_index).get<std::set<std::string>>();
    }
    return view;
}

// Throws if an item names a rank that does not exist.
queueing::rank_queue read_rank_queue(const json& value, std::int64_t in_flight) {
    queueing::rank_queue queue;
    for (const auto& item : value) {
        queue.by_rank.at(item.at(0).get<std::size_t>()) = {item.at(1).get<std::int32_t>(),
                                                           item.at(2).get<std::int32_t>()};
    }
    queue.ranked_requests = in_flight;
    return queue;
}

upstream_load read_upstream_load(const json& value) {
    fleet::workload work{value.at(1).get<std::int64_t>(), value.at(2).get<std::int64_t>(),
                         value.at(3).get<std::int64_t>(), value.at(4).get<std::int64_t>(),
                         value.at(5).get<std::int64_t>()};
    if (queue_index < value.size()) {
        work.queue = read_rank_queue(value.at(queue_index), work.in_flight);
    }
    return {read_instance(value.at(0)), work, base::milliseconds(value.at(6).get<std::int64_t>())};
}

quota::usage_count read_usage_count(const json& value) {
    return {{value.at(0).get<std::string>()},
            value.at(1).get<std::int64_t>(),
            base::micros(value.at(2).get<std::int64_t>()),
            {value.at(3).get<std::int64_t>()},
            {value.at(4).get<std::int64_t>()}};
}

share_counts read_share_counts(const json& value) {
    share_counts message{base::milliseconds(value.at(0).get<std::int64_t>()), {}};
    for (const auto& group : value.at(1)) {
        const base::pool_id pool{group.at(0).get<std::string>()};
        for (const auto& each : group.at(1)) {
            message.counts.push_back({{each.at(0).get<std::string>()},
                                      pool,
                                      each.at(1).get<std::uint32_t>(),
                                      each.at(2).get<shares::cumulative_ms>(),
                                      each.at(3).get<shares::cumulative_ms>()});
        }
    }
    return message;
}

entry_load read_entry_load(const json& value) {
    entry_load load;
    load.from = {value.at(0).get<std::string>()};
    load.age = base::milliseconds(value.at(1).get<std::int64_t>());
    load.report_interval = base::milliseconds(value.at(2).get<std::int64_t>());
    load.complete = value.at(3).get<bool>();
    for (const auto& item : value.at(4)) {
        load.items.push_back(read_upstream_load(item));
    }
    for (const auto& each : value.at(5)) {
        load.transfers.push_back({each.at(0).get<std::string>(), each.at(1).get<double>()});
    }
    for (const auto& each : value.at(6)) {
        load.reads.push_back(read_prompt_read(each));
    }
    load.uptime = base::milliseconds(value.at(7).get<std::int64_t>());
    for (const auto& each : value.at(8)) {
        load.usage.push_back(read_usage_count(each));
    }
    if (value.size() > 9 && !value.at(9).is_null()) {
        load.shares = read_share_counts(value.at(9));
    }
    return load;
}

load_report read_load_report(const json& value) {
    load_report report;
    for (const auto& each : value.at(1)) {
        report.loads.push_back(read_entry_load(each));
    }
    return report;
}

message read_message(const json& value) {
    const std::string kind = value.at(0).get<std::string>();
    if (kind == "hello") {
        return handshake{{read_name(value.at(1))},
                         {read_name(value.at(2))},
                         value.at(3).get<std::int64_t>(),
                         value.size() > 4 ? value.at(4).get<std::int64_t>() : first_protocol};
    }
    if (kind == "suspicion") {
        return suspicion{read_instance(value.at(1)),
                         base::milliseconds(value.at(2).get<std::int64_t>()),
                         value.at(3).get<std::string>(), value.at(4).get<bool>()};
    }
    if (kind == "responding") {
        return upstream_responding{read_instance(value.at(1)),
                                   base::micros(value.at(2).get<std::int64_t>())};
    }
    if (kind == "weights") {
        return loaded_weights{read_instance(value.at(1)),
                              {value.at(2).get<std::string>()},
                              value.at(3).get<std::int64_t>()};
    }
    if (kind == "load") {
        return read_load_report(value);
    }
    if (kind == "ask") {
        const bool needs_large_values = needs_large_values_index < value.size() &&
                                        value.at(needs_large_values_index).get<bool>();
        return store_query{value.at(1).get<std::int64_t>(),
                           {read_era(value, 3), value.at(2).get<std::int64_t>()},
                           needs_large_values};
    }
    if (kind == "view") {
        return read_store_view(value);
    }
    if (kind == "changes") {
        return store_changes{{read_era(value, 4), value.at(1).get<std::int64_t>()},
                             value.at(2).get<std::set<std::string>>(),
                             read_changes(value.at(3))};
    }
    if (kind == "kept") {
        return read_kv_store_contents(value);
    }
    if (kind == "crash") {
        return read_crash_report(value);
    }
    if (kind == "hold") {
        return quarantine_notice{read_identity(value.at(1)),
                                 base::milliseconds(value.at(2).get<std::int64_t>())};
    }
    if (kind == "cleared") {
        return read_cleared_prompt_parts(value);
    }
    if (kind == "leaving") {
        return upstream_draining{read_instance(value.at(1)),
                                 base::micros(value.at(2).get<std::int64_t>())};
    }
    if (kind == "origins") {
        return read_stream_origins(value);
    }
    if (kind == "origin_of") {
        return origin_query{value.at(1).get<std::int64_t>(), {value.at(2).get<std::string>()}};
    }
    if (kind == "origin") {
        return read_origin_reply(value);
    }
    if (kind == "software_seen") {
        return software_record_seen{
            {value.at(1).get<std::string>()},
            {value.at(3).get<std::int64_t>(), value.at(2).get<std::int64_t>()}};
    }
    if (kind == "limits") {
        return read_upstream_limits(value);
    }
    throw std::invalid_argument("unknown message kind");
}

} // namespace

void replace_unknown_eras(store_query& message, std::int64_t era) {
    replace_unknown_era(message.revision, era);
}

void replace_unknown_eras(store_view& message, std::int64_t era) {
    replace_unknown_eras(message.changes, era);
}

void replace_unknown_eras(store_changes& message, std::int64_t era) {
    replace_unknown_era(message.base_revision, era);
    replace_unknown_eras(message.changes, era);
}

crash_report to_message(const quarantine::crash_report& report, base::instant sent_at) {
    crash_report message{report.upstream, sent_at - report.at, {}, report.survived};
    for (const auto& each : report.victims) {
        const base::micros response_started_ago =
            each.response_started_at ? sent_at - *each.response_started_at : base::micros(-1);
        message.victims.push_back(
            {each.request, sent_at - each.sent_at, response_started_ago, each.parts});
    }
    return message;
}

quarantine::crash_report from_message(const crash_report& message, base::instant sent_at) {
    quarantine::crash_report report{message.upstream, sent_at - message.age, {}, message.survived};
    for (const auto& each : message.victims) {
        quarantine::crash_victim victim{each.request, sent_at - each.sent_ago, {}, each.parts};
        if (each.response_started_ago >= base::micros(0)) {
            victim.response_started_at = sent_at - each.response_started_ago;
        }
        report.victims.push_back(std::move(victim));
    }
    return report;
}

std::string encode(const frame& outgoing) {
    const json payload =
        std::visit([](const auto& each) { return to_json(each); }, outgoing.payload);
    const json encoded = {outgoing.uptime.count(), payload};
    std::string bytes;
    json::to_cbor(encoded, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

base::result<frame> decode(std::string_view bytes) {
    const auto parsed = base::parse_values(bytes, json::input_format_t::cbor, message_limits);
    try {
        const json& decoded = parsed.document;
        return frame{read_message(decoded.at(1)), base::micros(decoded.at(0).get<std::int64_t>())};
    } catch (const std::exception&) {
        return base::code::frame_malformed;
    }
}

} // namespace camphorrail::peering
