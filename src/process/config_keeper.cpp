#include "process/config_keeper.h"

#include "adapters/logging.h"

#include <nlohmann/json.hpp>

namespace camphorrail::process {

void config_keeper::follow(adapters::event_loop& loop, ports::platform from,
                           base::milliseconds poll) {
    this->platform = std::move(from);
    loop.every(poll, [this] { this->read_version(); });
}

// Reads are kept small: the version alone, then the newest changes, and the whole document only at
// the start or after a long time away.
void config_keeper::read_version() {
    this->platform.revision(config_key, [this](const base::result<std::int64_t>& answer) {
        if (!answer.has_value() || answer.value() <= this->version().value ||
            answer.value() == this->refused.value) {
            return;
        }
        if (this->ready()) {
            this->read_deltas();
        } else {
            this->read_document();
        }
    });
}

void config_keeper::read_deltas() {
    this->platform.read(deltas_key, [this](const base::result<ports::snapshot>& answer) {
        if (!answer.has_value()) {
            return;
        }
        for (const auto& item : answer.value().values) {
            const auto read = config::parse_deltas(item.value);
            if (item.key == deltas_key && read.has_value() &&
                this->offer_deltas({item.mod_revision.number}, read.value())) {
                return;
            }
        }
        this->read_document();
    });
}

void config_keeper::read_document() {
    this->platform.read(config_key, [this](const base::result<ports::snapshot>& answer) {
        if (!answer.has_value()) {
            return;
        }
        for (const auto& item : answer.value().values) {
            if (item.key == config_key) {
                this->offer({item.mod_revision.number}, item.value);
            }
        }
    });
}

bool config_keeper::offer_deltas(base::config_version version, const config::delta_log& newer) {
    if (version <= this->version()) {
        return true;
    }
    const auto made = config::catch_up(this->text, this->version(), newer);
    if (!made.has_value() || !this->offer(version, made.value())) {
        return false;
    }
    this->log = newer;
    return true;
}

bool config_keeper::offer(base::config_version version, const std::string& document) {
    // Words of a version arrive late and crossed, from the platform and from peers. Taking an older
    // one would bring back an upstream that has left or a preset no longer in force.
    if (version <= this->tables.config.version || version == this->refused) {
        return false;
    }
    auto parsed = config::parse_configuration(document, version);
    if (!parsed.faults.empty()) {
        this->refused = version;
        const auto& first = parsed.faults.front();
        adapters::log(adapters::log_level::error, "configuration_refused",
                      {{"version", version.value},
                       {"code", static_cast<int>(first.number)},
                       {"field", first.path},
                       {"text", first.text}});
        return false;
    }
    this->tables = config::make_directory(std::move(parsed.config));
    this->text = document;
    this->log = {};
    adapters::log(adapters::log_level::info, "configuration_in_force",
                  {{"version", version.value}, {"preset", this->tables.config.preset_in_force}});
    this->changed.emit();
    return true;
}

} // namespace camphorrail::process
