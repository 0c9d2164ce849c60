#pragma once

#include "app/commands.h"

#include <docopt/docopt.h>

#include <iostream>
#include <map>
#include <optional>
#include <string>

namespace camphorrail::app {

using options = std::map<std::string, docopt::value>;

// Reads a command's arguments by its usage text. Where there is nothing to run, because help was
// asked for or the arguments don't fit, the exit code is set and nothing is returned.
inline std::optional<options> read_options(const char* usage, const arguments& args,
                                           int& exit_code) {
    try {
        return docopt::docopt_parse(usage, args, true, false);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        exit_code = exit_ok;
    } catch (const std::exception&) {
        std::cerr << "camphorrail: these arguments don't fit.\n\n" << usage;
        exit_code = exit_usage;
    }
    return std::nullopt;
}

inline std::string text_or(const options& given, const std::string& name,
                           const std::string& fallback) {
    const auto found = given.find(name);
    return found != given.end() && found->second.isString() ? found->second.asString() : fallback;
}

} // namespace camphorrail::app
