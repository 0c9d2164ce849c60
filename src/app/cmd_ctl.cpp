#include "app/blocking.h"
#include "app/commands.h"
#include "app/usage.h"
#include "base/hash.h"
#include "config/edits.h"
#include "control/config_store.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace camphorrail::app {

namespace {

constexpr const char* usage =
    R"(Changes and shows the operators' configuration in the platform's store.

Usage:
  camphorrail ctl [options] show
  camphorrail ctl [options] history
  camphorrail ctl [options] status ADDRESS...
  camphorrail ctl [options] apply FILE
  camphorrail ctl [options] team add TEAM APPLICATION --key=KEY [--priority=N] [--first-token-ms=N]
  camphorrail ctl [options] team share TEAM SHARE
  camphorrail ctl [options] team retire TEAM
  camphorrail ctl [options] model set MODEL WEIGHTS
  camphorrail ctl [options] upstream add ID --link=ADDRESS --serves=LIST [--service] [--zone=ZONE] [--not-repeatable] [--checks-fencing]
  camphorrail ctl [options] upstream drain ID
  camphorrail ctl [options] upstream serve ID
  camphorrail ctl [options] upstream retire ID
  camphorrail ctl [options] upstream dead ID
  camphorrail ctl [options] preset add NAME [--lowest-priority=N] [--wait-to-target=X] [--outage-grace-s=N]
  camphorrail ctl [options] preset switch NAME
  camphorrail ctl [options] preset retire NAME
  camphorrail ctl --help

Options:
  --platform=ADDRESS    The platform's key-value service [default: 127.0.0.1:2379].
  --if-version=N        Change only if the configuration still has this version.
  --key=KEY             The application's bearer key; only its SHA-256 is stored.
  --priority=N          0 to 9, higher goes first [default: 5].
  --first-token-ms=N    Target for the first token [default: 2000].
  --link=ADDRESS        IP:PORT that the upstream's agent listens on.
  --serves=LIST         Models, or with --service the one service, separated by commas.
  --service             A plain service; otherwise a model engine.
  --zone=ZONE           Availability zone.
  --not-repeatable      Calls other than GET and HEAD must not run twice.
  --checks-fencing      It refuses orders with an old fencing number.
  --lowest-priority=N   Lower priorities are refused under this preset [default: 0].
  --wait-to-target=X    Longest predicted wait, in parts of the target [default: 1].
  --outage-grace-s=N    How long dated keys may run unrecorded in an outage [default: 0].

Two operators at once: the slower one's change is made again on the newer configuration.
'upstream dead' is for a VM that is certainly gone: others take over its keys at once.
)";

std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> items;
    std::istringstream input(text);
    for (std::string item; std::getline(input, item, ',');) {
        items.push_back(item);
    }
    return items;
}

bool is_set(const options& given, const std::string& word) {
    const auto found = given.find(word);
    return found != given.end() && found->second.isBool() && found->second.asBool();
}

double number(const options& given, const std::string& name) {
    return std::strtod(text_or(given, name, "0").c_str(), nullptr);
}

std::string text(const options& given, const std::string& name) {
    return text_or(given, name, "");
}

control::edit_function team_edit(const options& given) {
    const base::team_id team{text(given, "TEAM")};
    if (is_set(given, "add")) {
        const config::application app{
            text(given, "APPLICATION"),
            static_cast<int>(number(given, "--priority")),
            base::milliseconds(static_cast<std::int64_t>(number(given, "--first-token-ms"))),
            {base::sha256_hex(text(given, "--key"))}};
        return [team, app](config::configuration config) {
            return config::add_application(std::move(config), team, app);
        };
    }
    if (is_set(given, "share")) {
        const double share = number(given, "SHARE");
        return [team, share](config::configuration config) {
            return config::set_share(std::move(config), team, share);
        };
    }
    return [team](config::configuration config) {
        return config::retire_team(std::move(config), team);
    };
}

control::edit_function upstream_edit(const options& given) {
    const base::upstream_id id{text(given, "ID")};
    if (is_set(given, "add")) {
        config::upstream item;
        item.id = id;
        item.kind = is_set(given, "--service") ? config::upstream_kind::service
                                               : config::upstream_kind::engine;
        item.link = text(given, "--link");
        item.zone.value = text(given, "--zone");
        item.serves = split_list(text(given, "--serves"));
        item.checks_fencing = is_set(given, "--checks-fencing");
        item.repeatable = !is_set(given, "--not-repeatable");
        return [item](config::configuration config) {
            return config::add_upstream(std::move(config), item);
        };
    }
    if (is_set(given, "retire")) {
        return [id](config::configuration config) {
            return config::retire_upstream(std::move(config), id);
        };
    }
    const auto state =
        is_set(given, "drain") ? config::upstream_state::draining : config::upstream_state::serving;
    return [id, state](config::configuration config) {
        return config::set_upstream_state(std::move(config), id, state);
    };
}

control::edit_function preset_edit(const options& given) {
    const std::string name = text(given, "NAME");
    if (is_set(given, "add")) {
        config::preset item;
        item.name = name;
        item.lowest_priority = static_cast<int>(number(given, "--lowest-priority"));
        item.wait_to_target = number(given, "--wait-to-target");
        item.outage_grace =
            base::seconds(static_cast<std::int64_t>(number(given, "--outage-grace-s")));
        return [item](config::configuration config) {
            return config::add_preset(std::move(config), item);
        };
    }
    if (is_set(given, "switch")) {
        return [name](config::configuration config) {
            return config::switch_preset(std::move(config), name);
        };
    }
    return [name](config::configuration config) {
        return config::retire_preset(std::move(config), name);
    };
}

control::edit_function model_edit(const options& given) {
    const config::model item{{text(given, "MODEL")}, text(given, "WEIGHTS")};
    return
        [item](config::configuration config) { return config::set_model(std::move(config), item); };
}

int fail(base::code number) {
    std::cerr << "camphorrail: error " << static_cast<int>(number) << ": "
              << base::describe(number).text << "\n";
    return exit_failed;
}

// Reads a whole document from a file and prints its faults.
std::optional<config::configuration> load_document(const std::string& file) {
    std::ifstream input(file);
    std::ostringstream document;
    document << input.rdbuf();
    auto parsed = config::parse_configuration(document.str(), {0});
    for (const auto& fault : parsed.faults) {
        std::cerr << file << ": error " << static_cast<int>(fault.number) << ": '" << fault.path
                  << "' " << fault.text << "\n";
    }
    if (!parsed.faults.empty()) {
        return std::nullopt;
    }
    return std::move(parsed.config);
}

std::string describe(const arguments& args) {
    std::string what;
    for (std::size_t index = 1; index < args.size(); ++index) {
        // Keys are kept only as hashes, and so not in the history either.
        const bool secret = args[index].rfind("--key", 0) == 0;
        what += (what.empty() ? "" : " ") + (secret ? std::string("--key=...") : args[index]);
    }
    return what;
}

control::change_note make_note(const arguments& args, const ports::clock& clock) {
    const char* user = std::getenv("USER");
    const std::int64_t now = clock.wall_ms();
    return {user == nullptr ? "operator" : user, describe(args), now,
            std::to_string(getpid()) + "-" +
                std::to_string(clock.now().time_since_epoch().count())};
}

int change(adapters::event_loop& loop, const ports::platform& platform, const options& given,
           const arguments& args, const control::edit_function& edit) {
    std::optional<base::config_version> only_if;
    if (!text(given, "--if-version").empty()) {
        only_if = {static_cast<std::int64_t>(number(given, "--if-version"))};
    }
    const auto note = make_note(args, loop.clock());
    const auto done = wait_for<control::changed>(loop, [&](auto callback) {
        control::change_config(platform, edit, note, only_if, callback);
    });
    if (!done.has_value()) {
        return fail(base::to_code(done.error()));
    }
    std::cout << "version " << done.value().version.value << "\n";
    return exit_ok;
}

int show(adapters::event_loop& loop, const ports::platform& platform) {
    const auto stored = wait_for<control::changed>(
        loop, [&](auto callback) { control::read_config(platform, callback); });
    if (!stored.has_value()) {
        return fail(base::to_code(stored.error()));
    }
    std::cout << "# version " << stored.value().version.value << "\n"
              << config::to_document(stored.value().config) << "\n";
    return exit_ok;
}

int history(adapters::event_loop& loop, const ports::platform& platform) {
    const auto notes = wait_for<std::vector<control::change_note>>(
        loop, [&](auto callback) { control::read_history(platform, callback); });
    if (!notes.has_value()) {
        return fail(base::to_code(notes.error()));
    }
    for (const auto& note : notes.value()) {
        std::cout << note.at_ms << "  " << note.by << "  " << note.what << "\n";
    }
    return exit_ok;
}

int status(adapters::event_loop& loop, const options& given) {
    int exit_code = exit_ok;
    for (const auto& address : given.at("ADDRESS").asStringList()) {
        const auto answer = fetch_text(loop, address, "/status");
        std::cout << address << "  " << (answer.has_value() ? answer.value() : "no answer\n");
        exit_code = answer.has_value() ? exit_code : exit_failed;
    }
    return exit_code;
}

int declare_dead(adapters::event_loop& loop, const ports::platform& platform,
                 const options& given) {
    const auto closed = wait_for<int>(loop, [&](auto callback) {
        control::declare_dead(platform, {text(given, "ID")}, loop.clock().wall_ms(), callback);
    });
    if (!closed.has_value()) {
        return fail(base::to_code(closed.error()));
    }
    std::cout << "closed in " << closed.value() << " pools\n";
    return exit_ok;
}

} // namespace

int cmd_ctl(const arguments& args) {
    int exit_code = exit_ok;
    const auto given = read_options(usage, args, exit_code);
    if (!given) {
        return exit_code;
    }
    constexpr base::milliseconds timeout{3000};
    adapters::event_loop loop;
    const auto platform =
        adapters::make_http_platform(loop.base(), text(*given, "--platform"), timeout);
    if (is_set(*given, "show")) {
        return show(loop, platform);
    }
    if (is_set(*given, "history")) {
        return history(loop, platform);
    }
    if (is_set(*given, "status")) {
        return status(loop, *given);
    }
    if (is_set(*given, "dead")) {
        return declare_dead(loop, platform, *given);
    }
    if (is_set(*given, "apply")) {
        const auto document = load_document(text(*given, "FILE"));
        if (!document) {
            return exit_failed;
        }
        return change(loop, platform, *given, args, [&document](const config::configuration&) {
            return base::result<config::configuration>(*document);
        });
    }
    const auto edit = is_set(*given, "team")       ? team_edit(*given)
                      : is_set(*given, "model")    ? model_edit(*given)
                      : is_set(*given, "upstream") ? upstream_edit(*given)
                                                   : preset_edit(*given);
    return change(loop, platform, *given, args, edit);
}

} // namespace camphorrail::app
