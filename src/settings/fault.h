#pragma once

#include "base/codes.h"

#include <string>
#include <vector>

namespace camphorrail::settings {

// One thing wrong with a settings file. Lines count from 1; 0 means the file as a whole.
struct fault {
    base::code number;
    int line = 0;
    std::string text;
};

// "FILE:LINE: error NUMBER: TEXT", as compilers print it, so that editors can jump there.
std::string to_string(const fault& found, const std::string& file);

} // namespace camphorrail::settings
