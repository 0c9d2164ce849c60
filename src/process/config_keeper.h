#pragma once

#include "adapters/event_loop.h"
#include "config/delta.h"
#include "config/directory.h"
#include "ports/platform.h"
#include "settings/settings.h"

#include <sigc++/sigc++.h>

#include <string>

namespace camphorrail::process {

// Place of the operators' configuration in the platform's store.
inline constexpr const char* config_key = "camphorrail/config";
// The newest changes to it; written together with it, so that both have the same revision.
inline constexpr const char* deltas_key = "camphorrail/config_deltas";

// The configuration in force in this process. It only ever moves to a higher version, whatever
// order the platform's and other processes' words of it arrive in.
class config_keeper {
public:
    // Reads the platform now and then every `poll`.
    void follow(adapters::event_loop& loop, ports::platform platform, base::milliseconds poll);

    // Takes what the deltas make of the document in force; false where they do not reach back to
    // it.
    bool offer_deltas(base::config_version version, const config::delta_log& log);

    // Takes a document if its version is higher than the one in force and it has no faults.
    bool offer(base::config_version version, const std::string& document);

    [[nodiscard]] bool ready() const { return this->tables.config.version.value > 0; }
    [[nodiscard]] base::config_version version() const { return this->tables.config.version; }
    [[nodiscard]] const config::directory& current() const { return this->tables; }
    [[nodiscard]] const std::string& document() const { return this->text; }
    // Changes up to the version in force, for peers that are a little behind.
    [[nodiscard]] const config::delta_log& deltas() const { return this->log; }

    sigc::signal<void()> changed;

private:
    void read_version();
    void read_deltas();
    void read_document();

    ports::platform platform;
    config::directory tables;
    std::string text;
    config::delta_log log;
    // A version whose document was refused, so that it is reported once.
    base::config_version refused;
};

} // namespace camphorrail::process
