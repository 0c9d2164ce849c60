#pragma once

#include "adapters/link.h"
#include "base/units.h"
#include "wire/messages.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string>
#include <vector>

namespace camphorrail::process {

// How often both ends of a link speak, and how long the other may be silent. A connection can go
// silent for good without an error while new ones work, so silence alone is reason to replace it.
inline constexpr base::micros heartbeat_period = base::seconds(1);
inline constexpr base::micros silence_limit = base::seconds(3);

// A link that carries our messages.
class wire_link {
public:
    wire_link(adapters::link_ptr transport, base::instant now);
    // Its transport's handlers refer to it, so it stays where it was made.
    wire_link(const wire_link&) = delete;
    wire_link& operator=(const wire_link&) = delete;

    void send(const wire::message& value);
    void close() { this->transport->close(); }
    void note_heard(base::instant now) { this->heard_at = now; }
    [[nodiscard]] bool silent(base::instant now) const {
        return now - this->heard_at > silence_limit;
    }
    [[nodiscard]] bool open() const { return this->is_open; }
    // Sends a heartbeat unless something else has just been sent: on a busy link the frames of
    // answers and their credit show well enough that its end is there.
    void beat(const wire::heartbeat& value);

    sigc::signal<void()> opened;
    sigc::signal<void(const wire::message&)> received;
    // Closed by the other end, broken, or a frame of it could not be read.
    sigc::signal<void()> lost;

private:
    void read(std::string_view bytes);

    adapters::link_ptr transport;
    base::instant heard_at;
    bool is_open = false;
    bool sent_lately = false;
};

using wire_link_ptr = std::shared_ptr<wire_link>;

} // namespace camphorrail::process
