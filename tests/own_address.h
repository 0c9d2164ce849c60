#pragma once

#include <string>

namespace camphorrail::tests {

// An address of the loopback range that belongs to this process alone. Tests run side by side, a
// process each; with fixed addresses two that listen at once failed by turns.
std::string own_address(int port);

} // namespace camphorrail::tests
