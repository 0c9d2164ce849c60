#pragma once

#include "adapters/event_loop.h"
#include "base/random.h"
#include "soak/history.h"

#include <memory>
#include <string>
#include <vector>

namespace camphorrail::soak {

// Callers that send one call after the other, each on a connection that it keeps until the other
// end closes it: also while its entry is being stopped, and until the process is gone.
class callers {
public:
    // `name` tells the ids of their calls from those of others.
    callers(adapters::event_loop& loop, history& seen, std::uint64_t seed, std::string name);
    ~callers();
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;

    // Begins with so many callers, spread over the entries' addresses.
    void start(std::vector<std::string> entries, int count);
    // No further calls; those under way still end.
    void stop() { this->stopping = true; }
    [[nodiscard]] bool idle() const;
    // Callers use these keys from now on.
    void set_keys(std::vector<std::string> in_use) { this->keys = std::move(in_use); }

    // Whether callers leave some streams in the middle, and resume those that did not end.
    void resume_streams(bool do_resume) { this->resumes = do_resume; }
    // Until then, every few calls a fatal one is sent: the same each time, or ones that are no two
    // alike and share a part of their prompts.
    void send_fatal_until(base::instant until, bool share_part);
    // From now on every few calls are one and the same harmless one.
    void send_popular() { this->popular = true; }

private:
    struct caller;
    void make_fatal(call_seen& call);
    void make_popular(call_seen& call);
    void make_prompt(call_seen& call);
    void choose_new_call(caller& one);
    void choose_resumption(caller& one);
    void begin_call(const std::shared_ptr<caller>& one);
    void end_call(const std::shared_ptr<caller>& one);

    adapters::event_loop* loop;
    history* seen;
    base::random_source random;
    std::vector<std::string> entries;
    std::vector<std::string> keys;
    std::vector<std::shared_ptr<caller>> all;
    std::int64_t calls = 0;
    base::instant fatal_until{};
    std::string fatal_body;
    bool fatal_by_part = false;
    bool popular = false;
    bool resumes = false;
    std::string name;
    bool stopping = false;
};

} // namespace camphorrail::soak
