#pragma once

#include "base/units.h"

#include <cstdint>
#include <memory>
#include <string>

struct event_base;

namespace camphorrail::soak {

// How a relay treats connections.
enum class relay_mode {
    pass,
    // New connections are refused.
    refuse,
    // What comes from behind is dropped, the other way passes.
    cut_one_way,
    // Nothing passes, and nothing is closed.
    cut,
};

// How connections end with what is behind a relay. A kernel ends those of a process that has ended
// in an orderly way, unless bytes were left unread.
enum class connection_end { reset, orderly };

struct relay_state;

// A TCP relay on loopback that breaks what passes through it.
class relay {
public:
    relay(event_base* base, const std::string& to);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    [[nodiscard]] std::string address() const;
    // What is behind has ended: all connections end, and nobody listens.
    void close(connection_end how);
    // Something new is behind, at an address of its own.
    void open(const std::string& to);
    void set_mode(relay_mode mode);
    // Bytes wait for so long, from now on.
    void set_delay(base::milliseconds delay);
    // Resets all connections that stand.
    void reset_all();
    // The connections that stand fall silent for good, while new ones work.
    void silence_all();

private:
    std::shared_ptr<relay_state> held;
};

} // namespace camphorrail::soak
