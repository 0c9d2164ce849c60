// A team becomes isolated while its earlier prompts lie in engines' caches.
//
// wall FOLDER RECORD TROUBLE: keeps settings and logs in FOLDER; exits with 1 if a request used
// cache of another team although one of the two was isolated, 0 if not, 2 if it couldn't be tried.

#include "entries.h"
#include "store.h"

#include <cstdlib>

using namespace review;

namespace {

constexpr int config_ms = 2000;

struct run {
    std::string request;
    std::string team;
    // The parts that were found in the cache, with the team whose request made each.
    std::vector<std::pair<std::string, std::string>> found;
};

// A model engine: caches the parts of prompts under `Cache-Salt`, by the page "KV cache".
class engine {
public:
    engine(store& list, std::string id)
        : list(list), id(std::move(id)),
          listener([this](const message& got, channel& to) { return handle(got, to); }) {
        std::thread([this] {
            for (std::int64_t beat = 1;; ++beat) {
                const json entry{{"service", "pool"}, {"address", listener.address},
                                 {"zone", "a"},       {"version", "v1"},
                                 {"slots", 32},       {"state", "ready"},
                                 {"coldLeftMs", 0},   {"seq", beat},
                                 {"models", models()}};
                this->list.put("servers/" + this->id, entry.dump());
                sleep_ms(1200);
            }
        }).detach();
    }

    std::vector<run> runs() {
        const std::lock_guard held(mutex);
        return all;
    }

private:
    static json models() {
        return json::array({{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}});
    }

    bool handle(const message& got, channel& to) {
        if (got.path() == "/report") {
            const json report{{"stage", "both"}, {"models", models()}, {"busy", false},
                              {"seq", 0},        {"queued", 0},        {"running", 0},
                              {"kvUsed", 0},     {"kvTotal", 100000},  {"handles", 0}};
            return to.write(reply(200, {{"Content-Type", "application/json"}}, report.dump()));
        }
        const auto id_of = header_of(got.fields, "Request-Id");
        if (header_of(got.fields, "Expect-Instance") != id) {
            return to.write(reply(421, {{"Request-Id", id_of}, {"Not-Executed", "1"}}, ""));
        }
        record(got);
        const std::string body = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
        return to.write(reply(200,
                              {{"Request-Id", id_of},
                               {"Response-Stamp", "stamp-" + id_of},
                               {"Content-Type", "text/event-stream"},
                               {"Weight-Versions", "1"},
                               {"Server-Load", "1,0,32"}},
                              body));
    }

    // A part is found if it and all parts before it are cached under the same text.
    void record(const message& got) {
        const std::lock_guard held(mutex);
        run made{header_of(got.fields, "Request-Id"), header_of(got.fields, "Tenant-Id"), {}};
        std::string key =
            header_of(got.fields, "Model-Name") + "|" + header_of(got.fields, "Cache-Salt");
        bool hit = true;
        std::string rest = header_of(got.fields, "Prompt-Prefix");
        while (!rest.empty()) {
            const auto part = rest.substr(0, rest.find(','));
            rest.erase(0, part.size() + 1);
            key += "|" + part;
            const auto cached = cache.find(key);
            hit = hit && cached != cache.end();
            if (hit) {
                made.found.emplace_back(part, cached->second);
            } else {
                cache[key] = made.team;
            }
        }
        all.push_back(made);
    }

    store& list;
    std::string id;
    std::mutex mutex;
    std::map<std::string, std::string> cache;
    std::vector<run> all;
    server listener;
};

std::string config(int version, bool north_isolated) {
    const json route{{"name", "chat"},         {"host", "desk.example"}, {"prefix", "/chat/"},
                     {"service", "pool"},      {"kind", "stream"},       {"timeoutMs", 8000},
                     {"targetLatencyMs", 400}, {"gapTargetMs", 250},     {"attempts", 2},
                     {"priority", 1},          {"sticky", true},         {"resumable", false}};
    return json{{"version", version},
                {"routes", json::array({route})},
                {"services", json::array({{{"name", "pool"},
                                           {"engine",
                                            {{"kvCapacityTokens", 100000},
                                             {"kvTokenBytes", 192512.0},
                                             {"linkMbps", 350000.0}}}}})},
                {"limits",
                 {{"headerBytes", 16384},
                  {"bodyBytes", 4194304},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}},
                {"tenants", json::array({{{"name", "north"},
                                          {"keys", json::array({"key-north"})},
                                          {"isolated", north_isolated}},
                                         {{"name", "south"},
                                          {"keys", json::array({"key-south"})},
                                          {"isolated", false}}})}}
        .dump();
}

} // namespace

int main(int argc, char** argv) {
    const std::string folder = argc > 1 ? argv[1] : ".";
    const bool trouble = argc <= 3 || std::string(argv[3]) != "0";
    std::ofstream record(argc > 2 ? argv[2] : "record.txt");
    const auto begin = clock::now();
    const auto note = [&](const std::string& text) {
        const auto ms = std::chrono::duration_cast<milliseconds>(clock::now() - begin).count();
        record << ms << " ms  " << text << std::endl;
    };
    store platform;
    platform.put("op/config", config(3, false));
    platform.put("op/version/m0", json{{"model", "m0"}, {"version", 1}}.dump());
    engine one(platform, "i-1");
    entry front_1("front-1", folder, platform.address());
    entry front_2("front-2", folder, platform.address());
    front_1.start();
    front_2.start();
    if (!front_1.wait_until_ready() || !front_2.wait_until_ready()) {
        note("the entries are not ready");
        return 2;
    }
    sleep_ms(2000);
    int number = 0;
    const auto ask = [&](const entry& to, const std::string& team, const std::string& own_part) {
        const std::string id = "r" + std::to_string(++number);
        note(team + " sends " + id + " to " + to.name + " with the shared part 5c1e07a2:4000");
        const auto got = call(to.front, "POST", "/chat/x",
                              {{"Host", "desk.example"},
                               {"Request-Id", id},
                               {"Authorization", "Bearer key-" + team},
                               {"Request-Deadline", "5000"},
                               {"Model-Name", "m0"},
                               {"Token-Count", "4300,20"},
                               {"Prompt-Prefix", "5c1e07a2:4000," + own_part + ":300"}},
                              "{}");
        note(id + " is answered " + (got ? std::to_string(got->status()) : "not at all"));
        return got && got->status() == 200;
    };
    // North's prompt is read by the engine while nobody is isolated.
    if (!ask(front_1, "north", "aa01")) {
        return 2;
    }
    if (trouble) {
        platform.put("op/config", config(8, true));
        note("acknowledged: version 8, in which north is isolated");
    }
    const auto changed = clock::now();
    sleep_ms(2 * config_ms);
    bool served = true;
    for (int each = 0; each < 5; ++each) {
        served =
            ask(each % 2 == 0 ? front_1 : front_2, "south", "bb0" + std::to_string(each)) && served;
    }
    if (!served) {
        return 2;
    }
    note("south's requests began " +
         std::to_string(std::chrono::duration_cast<milliseconds>(clock::now() - changed).count()) +
         " ms or less after the acknowledgement, configMs is " + std::to_string(config_ms));
    bool broken = false;
    for (const auto& each : one.runs()) {
        note("ran " + each.request + " of " + each.team);
        for (const auto& [part, maker] : each.found) {
            std::string line = "  used part ";
            line += part;
            line += " that a request of ";
            line += maker;
            line += " made";
            note(line);
            // Only version 8 may be in force for south's requests.
            broken = broken || (trouble && each.team == "south" && maker == "north");
        }
    }
    note(broken ? "WALL is broken: south used cache of north, which is isolated" : "WALL held");
    front_1.end();
    front_2.end();
    // Threads of the stand-ins still run; ends without destroying what they use.
    std::_Exit(broken ? 1 : 0);
}
