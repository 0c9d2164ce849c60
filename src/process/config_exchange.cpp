#include "process/config_exchange.h"

#include <algorithm>

namespace camphorrail::process {

namespace {

bool reaches_back(const config::delta_log& log, std::int64_t have) {
    return std::any_of(log.newest.begin(), log.newest.end(),
                       [have](const config::delta& item) { return item.from.value == have; });
}

} // namespace

void note_version(const config_keeper& keeper, wire_link& other, std::int64_t version) {
    if (version > keeper.version().value) {
        other.send(wire::config_request{keeper.version().value});
    }
}

void answer(const config_keeper& keeper, wire_link& other, const wire::config_request& asked) {
    if (!keeper.ready()) {
        return;
    }
    const std::int64_t version = keeper.version().value;
    if (reaches_back(keeper.deltas(), asked.have)) {
        other.send(wire::config_reply{version, "", config::to_text(keeper.deltas())});
    } else {
        other.send(wire::config_reply{version, keeper.document(), ""});
    }
}

void take(config_keeper& keeper, wire_link& other, const wire::config_reply& reply) {
    if (reply.deltas.empty()) {
        keeper.offer({reply.version}, reply.document);
        return;
    }
    const auto log = config::parse_deltas(reply.deltas);
    if (!log.has_value() || !keeper.offer_deltas({reply.version}, log.value())) {
        // Version 0 is behind every log, so the whole document comes.
        other.send(wire::config_request{0});
    }
}

} // namespace camphorrail::process
