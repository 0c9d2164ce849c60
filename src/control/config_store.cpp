#include "control/config_store.h"

#include "config/delta.h"
#include "once/records.h"
#include "process/config_keeper.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <memory>
#include <sstream>

namespace camphorrail::control {

namespace {

using nlohmann::json;

constexpr const char* history_prefix = "camphorrail/history/";
constexpr int most_tries = 20;
constexpr std::size_t most_history = 200;
constexpr int time_width = 15;

std::string history_key(const change_note& note) {
    std::ostringstream key;
    key << history_prefix << std::setw(time_width) << std::setfill('0') << note.at_ms << "-"
        << note.nonce;
    return key.str();
}

std::string to_text(const change_note& note) {
    return json{{"by", note.by}, {"what", note.what}, {"at_ms", note.at_ms}, {"nonce", note.nonce}}
        .dump();
}

base::result<changed> parse_stored(const ports::snapshot& stored) {
    for (const auto& item : stored.values) {
        if (item.key != process::config_key) {
            continue;
        }
        auto parsed = config::parse_configuration(item.value, {item.mod_revision.number});
        if (!parsed.faults.empty()) {
            return parsed.faults.front().number;
        }
        return changed{{item.mod_revision.number}, std::move(parsed.config)};
    }
    return changed{{0}, config::initial_configuration()};
}

// One change over all its tries.
class change_run : public std::enable_shared_from_this<change_run> {
public:
    change_run(ports::platform platform, edit_function edit, change_note note,
               std::optional<base::config_version> only_if,
               std::function<void(base::result<changed>)> done)
        : platform(std::move(platform)), edit(std::move(edit)), note(std::move(note)),
          only_if(only_if), done(std::move(done)) {}

    void start() {
        const auto held = this->shared_from_this();
        this->platform.read(
            process::config_key,
            [held](const base::result<ports::snapshot>& stored) { held->on_config(stored); });
    }

private:
    // The history is read after the configuration: a try of ours that took effect before the first
    // read then shows in the second, and one that takes effect between the two makes the write
    // fail.
    void on_config(const base::result<ports::snapshot>& stored) {
        if (!stored.has_value()) {
            this->again(base::to_code(stored.error()));
            return;
        }
        const auto held = this->shared_from_this();
        this->platform.read(history_prefix, [held, config = stored.value()](
                                                const base::result<ports::snapshot>& history) {
            held->on_history(config, history);
        });
    }

    void on_history(const ports::snapshot& stored, const base::result<ports::snapshot>& history) {
        if (!history.has_value()) {
            this->again(base::to_code(history.error()));
            return;
        }
        auto present = parse_stored(stored);
        if (!present.has_value()) {
            this->done(present);
            return;
        }
        for (const auto& item : history.value().values) {
            if (item.key == history_key(this->note)) {
                // An earlier try took effect although its answer was lost.
                this->done(changed{{item.mod_revision.number}, present.value().config});
                return;
            }
        }
        if (this->only_if && *this->only_if != present.value().version) {
            this->done(base::code::platform_conflict);
            return;
        }
        this->write(present.value(), stored, history.value());
    }

    void write(const changed& present, const ports::snapshot& stored,
               const ports::snapshot& history) {
        auto edited = this->edit(present.config);
        if (!edited.has_value()) {
            this->done(base::to_code(edited.error()));
            return;
        }
        const std::string document = config::to_document(edited.value());
        const auto checked = config::parse_configuration(document, {0});
        if (!checked.faults.empty()) {
            this->done(checked.faults.front().number);
            return;
        }
        ports::transaction change;
        change.preconditions.push_back({process::config_key, present.version.value});
        change.writes.push_back({process::config_key, document});
        change.writes.push_back({process::deltas_key, next_deltas(present, stored, document)});
        change.writes.push_back({history_key(this->note), to_text(this->note)});
        trim_history(history, change);
        const auto held = this->shared_from_this();
        this->platform.commit(change, [held, config = edited.value()](
                                          const base::result<ports::commit_result>& answer) {
            held->on_committed(answer, config);
        });
    }

    // The log of deltas with this change added. It is written together with the document, so both
    // always have the same revision.
    static std::string next_deltas(const changed& present, const ports::snapshot& stored,
                                   const std::string& document) {
        config::delta_log log;
        for (const auto& item : stored.values) {
            auto kept = item.key == process::deltas_key ? config::parse_deltas(item.value)
                                                        : base::code::config_not_found;
            if (kept.has_value()) {
                log = std::move(kept.value());
            }
        }
        config::append(log, {present.version,
                             config::make_changes(config::to_document(present.config), document)});
        return config::to_text(log);
    }

    static void trim_history(const ports::snapshot& history, ports::transaction& change) {
        std::vector<std::string> keys;
        for (const auto& item : history.values) {
            keys.push_back(item.key);
        }
        for (std::size_t index = 0; index + most_history < keys.size(); ++index) {
            change.writes.push_back({keys[index], "", true});
        }
    }

    void on_committed(const base::result<ports::commit_result>& answer,
                      const config::configuration& config) {
        if (answer.has_value() && answer.value().applied) {
            this->done(changed{{answer.value().revision.number}, config});
            return;
        }
        // Someone else was faster, or the answer was lost: the next read tells which.
        this->again(answer.has_value() ? base::code::platform_conflict
                                       : base::code::platform_unreachable);
    }

    void again(base::code number) {
        if (++this->tries >= most_tries || number == base::code::platform_unreachable) {
            this->unreachable += number == base::code::platform_unreachable ? 1 : 0;
            if (this->tries >= most_tries || this->unreachable > 2) {
                this->done(number);
                return;
            }
        }
        this->start();
    }

    ports::platform platform;
    edit_function edit;
    change_note note;
    std::optional<base::config_version> only_if;
    std::function<void(base::result<changed>)> done;
    int tries = 0;
    int unreachable = 0;
};

} // namespace

void change_config(const ports::platform& platform, const edit_function& edit,
                   const change_note& note, std::optional<base::config_version> only_if,
                   std::function<void(base::result<changed>)> done) {
    std::make_shared<change_run>(platform, edit, note, only_if, std::move(done))->start();
}

void read_config(const ports::platform& platform, std::function<void(base::result<changed>)> done) {
    platform.read(process::config_key, [done](const base::result<ports::snapshot>& stored) {
        if (!stored.has_value()) {
            done(base::to_code(stored.error()));
            return;
        }
        done(parse_stored(stored.value()));
    });
}

void read_history(const ports::platform& platform,
                  std::function<void(base::result<std::vector<change_note>>)> done) {
    platform.read(history_prefix, [done](const base::result<ports::snapshot>& stored) {
        if (!stored.has_value()) {
            done(base::to_code(stored.error()));
            return;
        }
        std::vector<change_note> notes;
        for (const auto& item : stored.value().values) {
            const auto fields = json::parse(item.value, nullptr, false);
            if (fields.is_object()) {
                notes.push_back({fields.value("by", ""), fields.value("what", ""),
                                 fields.value("at_ms", std::int64_t{0}),
                                 fields.value("nonce", "")});
            }
        }
        done(std::move(notes));
    });
}

void declare_dead(const ports::platform& platform, const base::upstream_id& agent,
                  std::int64_t wall_ms, std::function<void(base::result<int>)> done) {
    platform.read("camphorrail/once/", [=](const base::result<ports::snapshot>& stored) {
        if (!stored.has_value()) {
            done(base::to_code(stored.error()));
            return;
        }
        ports::transaction change;
        for (const auto& item : stored.value().values) {
            auto record = once::parse_owner(item.value);
            if (!record.has_value() || record.value().agent != agent || record.value().closed) {
                continue;
            }
            record.value().closed = true;
            record.value().clean = false;
            record.value().closed_at_ms = wall_ms;
            change.preconditions.push_back({item.key, item.mod_revision});
            change.writes.push_back({item.key, once::to_text(record.value())});
        }
        const int count = static_cast<int>(change.writes.size());
        if (count == 0) {
            done(0);
            return;
        }
        platform.commit(change, [=](const base::result<ports::commit_result>& answer) {
            if (!answer.has_value()) {
                done(base::to_code(answer.error()));
            } else if (!answer.value().applied) {
                done(base::code::platform_conflict);
            } else {
                done(count);
            }
        });
    });
}

} // namespace camphorrail::control
