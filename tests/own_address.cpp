#include "own_address.h"

#include <unistd.h>

namespace camphorrail::tests {

std::string own_address(int port) {
    // 127.0.0.0/8 holds 24 bits, more than process ids have.
    constexpr unsigned byte_bits = 8;
    constexpr unsigned low_byte = 255;
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string((pid >> (2 * byte_bits)) & low_byte) + "." +
           std::to_string((pid >> byte_bits) & low_byte) + "." + std::to_string(pid & low_byte) +
           ":" + std::to_string(port);
}

} // namespace camphorrail::tests
