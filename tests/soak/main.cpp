#include "soak/checker.h"
#include "soak/soak.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>

namespace {

using namespace camphorrail;

constexpr const char* usage =
    "camphorrail_soak --program=FILE [--seed=1] [--seconds=20] [--entries=3] [--engines=4]\n"
    "                 [--callers=24] [--directory=DIR] [--returns=1] [--releases=1]\n"
    "Plays one run with seeded faults and prints each broken promise. Settings and logs of the\n"
    "entries stay in DIR; exit status 1 where a promise was broken.\n";

int number(const std::map<std::string, std::string>& given, const std::string& name, int fallback) {
    const auto found = given.find(name);
    return found == given.end() ? fallback : std::stoi(found->second);
}

void print_faults(const soak::history& seen) {
    if (seen.faults.empty()) {
        return;
    }
    const auto first = seen.faults.front().from;
    for (const auto& span : seen.faults) {
        std::cout << "  +" << (span.from - first).count() / 1000 << " ms " << span.what
                  << (span.entry < 0 ? "" : " entry-" + std::to_string(span.entry)) << ", "
                  << (span.until - span.from).count() / 1000 << " ms\n";
    }
}

} // namespace

int main(int argc, char** argv) {
    std::map<std::string, std::string> given;
    for (int index = 1; index < argc; ++index) {
        const std::string word = argv[index];
        const auto equals = word.find('=');
        if (word.rfind("--", 0) == 0 && equals != std::string::npos) {
            given[word.substr(2, equals - 2)] = word.substr(equals + 1);
        }
    }
    if (given.count("program") == 0) {
        std::cerr << usage;
        return 2;
    }
    // A caller's connection may end while we write to it.
    (void)std::signal(SIGPIPE, SIG_IGN);
    soak::soak_options options;
    options.seed = static_cast<std::uint64_t>(number(given, "seed", 1));
    options.size.length = base::seconds(number(given, "seconds", 20));
    options.size.entries = number(given, "entries", options.size.entries);
    options.size.engines = number(given, "engines", options.size.engines);
    options.size.store_returns = number(given, "returns", 1) != 0;
    options.size.releases = number(given, "releases", 1) != 0;
    options.callers = number(given, "callers", options.callers);
    options.program = given.at("program");
    const auto directory = std::filesystem::temp_directory_path() /
                           ("camphorrail-soak-" + std::to_string(options.seed));
    options.directory = given.count("directory") > 0 ? given.at("directory") : directory.string();
    std::filesystem::create_directories(options.directory);
    const auto seen = soak::soak(options).play();
    const auto broken = soak::check(seen, {});
    std::cout << "seed " << options.seed << ": " << seen.calls.size() << " calls, "
              << seen.runs.size() << " runs, " << seen.orders.size() << " orders, "
              << seen.faults.size() << " faults, " << broken.size() << " broken promises\n";
    for (const auto& each : broken) {
        std::cout << each << "\n";
    }
    if (!broken.empty()) {
        print_faults(seen);
    }
    return broken.empty() ? 0 : 1;
}
