#include "once/records.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace camphorrail::once {

namespace {

using nlohmann::json;

constexpr int number_width = 9;

std::string hex_encode(const std::string& bytes) {
    static constexpr const char* digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

std::string hex_decode(const std::string& hex) {
    std::string bytes;
    for (std::size_t position = 0; position + 1 < hex.size(); position += 2) {
        bytes += static_cast<char>(std::stoi(hex.substr(position, 2), nullptr, 16));
    }
    return bytes;
}

json to_json(const journal_record& record) {
    json fields{{"key", record.key.value},
                {"print", record.fingerprint},
                {"state", static_cast<int>(record.state)},
                {"at", record.claimed_at_ms}};
    if (record.state == outcome::completed) {
        fields["status"] = record.response.status;
        fields["type"] = record.response.content_type;
        fields["kept"] = record.response.body_recorded;
        fields["body"] = hex_encode(record.response.body);
    }
    return fields;
}

journal_record read_record(const json& fields) {
    journal_record record;
    record.key.value = fields.at("key").get<std::string>();
    record.fingerprint = fields.at("print").get<std::string>();
    record.state = static_cast<outcome>(fields.at("state").get<int>());
    record.claimed_at_ms = fields.at("at").get<std::int64_t>();
    if (record.state == outcome::completed) {
        record.response = {fields.at("status").get<int>(), fields.at("type").get<std::string>(),
                           hex_decode(fields.at("body").get<std::string>()),
                           fields.at("kept").get<bool>()};
    }
    return record;
}

std::string padded(std::int64_t number) {
    std::ostringstream text;
    text << std::setw(number_width) << std::setfill('0') << number;
    return text.str();
}

} // namespace

std::string to_text(const owner_record& record) {
    json owners = json::array();
    for (const auto& owner : record.owners) {
        owners.push_back(owner.value);
    }
    return json{{"agent", record.agent.value},
                {"life", record.incarnation.value},
                {"nonce", record.nonce},
                {"owners", owners},
                {"closed", record.closed},
                {"clean", record.clean},
                {"closed_at", record.closed_at_ms},
                {"grace_ms", record.outage_grace.count()},
                {"unrecorded_until", record.unrecorded_until_ms}}
        .dump();
}

base::result<owner_record> parse_owner(const std::string& text) {
    try {
        const json fields = json::parse(text);
        owner_record record;
        record.agent.value = fields.at("agent").get<std::string>();
        record.incarnation.value = fields.at("life").get<std::int64_t>();
        record.nonce = fields.at("nonce").get<std::string>();
        for (const auto& owner : fields.at("owners")) {
            record.owners.push_back({owner.get<std::string>()});
        }
        record.closed = fields.at("closed").get<bool>();
        record.clean = fields.at("clean").get<bool>();
        record.closed_at_ms = fields.at("closed_at").get<std::int64_t>();
        record.outage_grace = base::milliseconds(fields.at("grace_ms").get<std::int64_t>());
        record.unrecorded_until_ms = fields.at("unrecorded_until").get<std::int64_t>();
        return record;
    } catch (const json::exception&) {
        return base::code::platform_answer_malformed;
    }
}

std::string to_text(const segment& records) {
    json list = json::array();
    for (const auto& record : records) {
        list.push_back(to_json(record));
    }
    return list.dump();
}

base::result<segment> parse_segment(const std::string& text) {
    try {
        segment records;
        for (const auto& fields : json::parse(text)) {
            records.push_back(read_record(fields));
        }
        return records;
    } catch (const std::exception&) {
        return base::code::platform_answer_malformed;
    }
}

std::string pool_prefix(const base::pool_id& pool) {
    return "camphorrail/once/" + pool.value + "/";
}

std::string members_prefix(const base::pool_id& pool) {
    return pool_prefix(pool) + "members/";
}

std::string owner_key(const base::pool_id& pool, const base::upstream_id& agent) {
    return members_prefix(pool) + agent.value + "/owner";
}

std::string alive_key(const base::pool_id& pool, const base::upstream_id& agent) {
    return members_prefix(pool) + agent.value + "/alive";
}

std::string journal_prefix(const base::pool_id& pool) {
    return pool_prefix(pool) + "journal/";
}

std::string segment_key(const base::pool_id& pool, const base::upstream_id& agent,
                        base::incarnation incarnation, std::int64_t number) {
    return journal_prefix(pool) + agent.value + "/" + padded(incarnation.value) + "/" +
           padded(number);
}

} // namespace camphorrail::once
