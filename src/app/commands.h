#pragma once

#include <string>
#include <vector>

namespace camphorrail::app {

// Exit codes of all commands.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

using arguments = std::vector<std::string>;

// One function a command; `args` starts with the command's name. Returns the exit code.
int cmd_agent(const arguments& args);
int cmd_check(const arguments& args);
int cmd_ctl(const arguments& args);
int cmd_entry(const arguments& args);
int cmd_explain(const arguments& args);
int cmd_proxy(const arguments& args);
int cmd_replay(const arguments& args);
int cmd_timeline(const arguments& args);

} // namespace camphorrail::app
