#pragma once

#include "base/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrail::soak {

// The routes of a run, by what may be done again with their calls.
enum class call_kind { once, safe, stream, resumable_stream };

inline const char* path_of(call_kind kind) {
    switch (kind) {
    case call_kind::once:
        return "/once/";
    case call_kind::safe:
        return "/safe/";
    case call_kind::stream:
        return "/stream/";
    case call_kind::resumable_stream:
        break;
    }
    return "/resume/";
}

inline bool is_stream(call_kind kind) {
    return kind == call_kind::stream || kind == call_kind::resumable_stream;
}

// Events of each whole stream.
inline constexpr int stream_events = 8;

// Requests with such bodies crash the engines that run them.
inline bool is_fatal(std::string_view body) {
    return body.starts_with("fatal");
}

// So do prompts with this part, whatever else they hold.
inline constexpr std::string_view fatal_prompt_part = "fa7a1";

// One call as its caller saw it.
struct call_seen {
    std::string id;
    call_kind kind = call_kind::once;
    std::string key;
    int entry = 0;
    base::instant sent_at{};
    base::instant ended_at{};
    // 0 where no answer came.
    int status = 0;
    std::string stamp;
    std::string body;
    // The answer came to its end.
    bool whole = false;
    // It crashes the engine that runs it, by itself or by a part of its prompt.
    bool fatal = false;
    bool has_fatal_part = false;
    // The same for many callers, and harmless.
    bool popular = false;
    // The answer says that its engine leaves.
    bool says_leaving = false;
    // The answer states a rate limit of its engine.
    bool states_limit = false;
    // The model that it is for; empty for others.
    std::string model;
    // The call that brought the first event of the stream that this one resumes, and the number of
    // events that its caller had by then; empty for others.
    std::string resumes;
    int after_event = 0;
    // Its caller closed the connection in the middle of the stream.
    bool left = false;
};

// One run as a back end saw it.
struct run_seen {
    std::string id;
    std::string instance;
    std::string stamp;
    std::string team;
    base::instant at{};
    // What the request is over all its attempts, or the part of its prompt, where that crashes its
    // engine; empty for others.
    std::string fatal;
    // The model that it is for, and the version of its weights when the run began.
    std::string model;
    std::int64_t weights = 0;
};

// A stretch in which an engine of the pool of streams is up, is not leaving, and runs this version
// of its software.
struct engine_span {
    std::string software;
    base::instant from{};
    base::instant until = base::instant::max();
};

// A call that a back end turned away, asking for a pause until then.
struct pause_asked {
    std::string id;
    std::string instance;
    base::instant at{};
    base::instant until{};
};

// A stretch in which a back end states a rate limit in all of its answers.
struct limit_stated {
    std::string instance;
    double requests_per_second = 0.0;
    base::instant from{};
    base::instant until{};
};

// An order to an engine to load weights.
struct order_seen {
    std::string instance;
    std::string holder;
    std::int64_t fence = 0;
    base::instant at{};
};

// A key that operators took away, and when the store acknowledged it.
struct key_removed {
    std::string key;
    base::instant at{};
};

// A version of a model's weights that operators named, and when the store acknowledged it.
struct version_named {
    std::string model;
    std::int64_t version = 0;
    base::instant at{};
};

// An engine's list entry calls it draining or is erased, and when the store acknowledged it.
struct leaving_listed {
    std::string instance;
    base::instant at{};
};

// An entry's process was started again after an end that was asked for.
struct entry_start {
    int entry = 0;
    base::instant at{};
};

// A stretch in which something was broken on purpose; `entry` -1 for all.
struct fault_span {
    std::string what;
    int entry = -1;
    base::instant from{};
    base::instant until{};
    // An orderly stop: by itself it may cut nothing.
    bool planned = false;
};

// All that callers and back ends saw of one run, and what was done to the entries meanwhile.
struct history {
    std::vector<call_seen> calls;
    std::vector<run_seen> runs;
    std::vector<pause_asked> pauses;
    std::vector<limit_stated> limits;
    std::vector<order_seen> orders;
    std::vector<key_removed> removed;
    std::vector<version_named> named;
    std::vector<leaving_listed> leaving;
    std::vector<entry_start> starts;
    std::vector<engine_span> serving;
    std::vector<fault_span> faults;
    // Ends of processes that nobody asked for.
    std::vector<std::string> exits;
    // From here on everything is sound again and has had time to settle.
    base::instant settled_at{};
};

} // namespace camphorrail::soak
