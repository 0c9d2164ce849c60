#include "proxy/peer_messages.h"

#include <nlohmann/json.hpp>

namespace camphorrail::proxy {

namespace {

using nlohmann::json;

json to_json(const base::upstream_instance& instance) {
    return {instance.id.value, instance.incarnation.value};
}

base::upstream_instance read_instance(const json& read) {
    return {{read.at(0).get<std::string>()}, {read.at(1).get<std::int64_t>()}};
}

json to_json(const peer_hello& message) {
    return {"hello", message.from.value};
}

json to_json(const peer_suspicion& message) {
    return {"suspicion", to_json(message.upstream), message.span.count(), message.why,
            message.changing};
}

json to_json(const peer_weights& message) {
    return {"weights", to_json(message.upstream), message.model.value, message.version};
}

json to_json(const peer_load& message) {
    json items = json::array();
    for (const auto& item : message.items) {
        items.push_back({to_json(item.upstream), item.work.in_flight, item.work.unread_tokens,
                         item.work.held_tokens, item.work.unrepeatable, item.work.short_prompts,
                         item.heard_ago.count()});
    }
    json transfers = json::array();
    for (const auto& each : message.transfers) {
        transfers.push_back({each.store, each.ms});
    }
    return {"load", message.period.count(), items, transfers};
}

json to_json(const peer_named& message) {
    return {"named", message.model.value, message.version, message.age.count()};
}

json to_json(const peer_store_ask& message) {
    return {"ask", message.number, message.revision};
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

json to_json(const peer_store_view& message) {
    return {"view",         message.number,
            message.proved, message.age.count(),
            message.whole,  changes_to_json(message.changes)};
}

json to_json(const peer_store_changes& message) {
    return {"changes", message.after, message.large, changes_to_json(message.changes)};
}

json to_json(const latency::first_byte_sample& sample) {
    return {sample.work.to_read, sample.work.ahead, sample.work.pairs, sample.ms};
}

latency::first_byte_sample read_sample(const json& read) {
    return {{read.at(0).get<double>(), read.at(1).get<double>(), read.at(2).get<double>()},
            read.at(3).get<double>()};
}

json to_json(const peer_reads& message) {
    json items = json::array();
    for (const auto& item : message.items) {
        json levels = json::array();
        for (const auto& level : item.levels) {
            levels.push_back({level.key, level.tokens});
        }
        items.push_back({levels, item.own_tokens, item.weights, to_json(item.by), item.saved,
                         to_json(item.shown)});
    }
    return {"reads", items};
}

json to_json(const peer_kept& message) {
    json parts = json::array();
    for (const auto& each : message.parts) {
        parts.push_back({each.part, each.tokens});
    }
    return {"kept", message.store, message.whole, message.down, parts};
}

peer_reads read_reads(const json& read) {
    peer_reads reads;
    for (const auto& item : read.at(1)) {
        kvcache::prompt_read one;
        for (const auto& level : item.at(0)) {
            one.levels.push_back(
                {level.at(0).get<std::uint64_t>(), level.at(1).get<std::int64_t>()});
        }
        if (one.levels.empty()) {
            throw std::invalid_argument("a reading of nothing");
        }
        one.own_tokens = item.at(1).get<std::int64_t>();
        one.weights = item.at(2).get<std::int64_t>();
        one.by = read_instance(item.at(3));
        one.saved = item.at(4).get<bool>();
        one.shown = read_sample(item.at(5));
        reads.items.push_back(std::move(one));
    }
    return reads;
}

peer_kept read_kept(const json& read) {
    peer_kept kept;
    kept.store = read.at(1).get<std::string>();
    kept.whole = read.at(2).get<bool>();
    kept.down = read.at(3).get<bool>();
    for (const auto& each : read.at(4)) {
        kept.parts.push_back({each.at(0).get<std::uint64_t>(), each.at(1).get<std::int64_t>()});
    }
    return kept;
}

peer_store_view read_view(const json& read) {
    peer_store_view view;
    view.number = read.at(1).get<std::int64_t>();
    view.proved = read.at(2).get<bool>();
    view.age = base::micros(read.at(3).get<std::int64_t>());
    view.whole = read.at(4).get<bool>();
    view.changes = read_changes(read.at(5));
    return view;
}

peer_load read_load(const json& read) {
    peer_load load;
    load.period = base::milliseconds(read.at(1).get<std::int64_t>());
    for (const auto& item : read.at(2)) {
        const fleet::workload work{item.at(1).get<std::int64_t>(), item.at(2).get<std::int64_t>(),
                                   item.at(3).get<std::int64_t>(), item.at(4).get<std::int64_t>(),
                                   item.at(5).get<std::int64_t>()};
        load.items.push_back(
            {read_instance(item.at(0)), work, base::milliseconds(item.at(6).get<std::int64_t>())});
    }
    for (const auto& each : read.at(3)) {
        load.transfers.push_back({each.at(0).get<std::string>(), each.at(1).get<double>()});
    }
    return load;
}

peer_message read_message(const json& read) {
    const std::string kind = read.at(0).get<std::string>();
    if (kind == "hello") {
        return peer_hello{{read.at(1).get<std::string>()}};
    }
    if (kind == "suspicion") {
        return peer_suspicion{read_instance(read.at(1)),
                              base::milliseconds(read.at(2).get<std::int64_t>()),
                              read.at(3).get<std::string>(), read.at(4).get<bool>()};
    }
    if (kind == "weights") {
        return peer_weights{read_instance(read.at(1)),
                            {read.at(2).get<std::string>()},
                            read.at(3).get<std::int64_t>()};
    }
    if (kind == "load") {
        return read_load(read);
    }
    if (kind == "named") {
        return peer_named{{read.at(1).get<std::string>()},
                          read.at(2).get<std::int64_t>(),
                          base::micros(read.at(3).get<std::int64_t>())};
    }
    if (kind == "ask") {
        return peer_store_ask{read.at(1).get<std::int64_t>(), read.at(2).get<std::int64_t>()};
    }
    if (kind == "view") {
        return read_view(read);
    }
    if (kind == "changes") {
        return peer_store_changes{read.at(1).get<std::int64_t>(),
                                  read.at(2).get<std::set<std::string>>(),
                                  read_changes(read.at(3))};
    }
    if (kind == "reads") {
        return read_reads(read);
    }
    if (kind == "kept") {
        return read_kept(read);
    }
    throw std::invalid_argument("no such message");
}

} // namespace

std::string encode(const peer_message& message) {
    const json written = std::visit([](const auto& each) { return to_json(each); }, message);
    std::string bytes;
    json::to_cbor(written, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

base::result<peer_message> decode(std::string_view bytes) {
    try {
        return read_message(json::from_cbor(bytes));
    } catch (const std::exception&) {
        return base::code::frame_malformed;
    }
}

} // namespace camphorrail::proxy
