#pragma once

#include "adapters/address_probe.h"
#include "proxy/context.h"

#include <map>
#include <memory>
#include <vector>

namespace camphorrail::proxy {

// Finds out which upstreams have crashed, and under which requests.
//
// A connection may break for many reasons: it was reset, an answer was garbled, the upstream cut
// off what it could not finish. Where nobody listens at the upstream's address right after, its
// process has ended.
class crash_watch {
public:
    explicit crash_watch(entry_context& context);

    void note_broken(const broken_attempt& broken);
    // Forgets what broke too long ago to tell of a crash.
    void tick();

private:
    // What has broken at one upstream, in one of its lives.
    struct breakage {
        std::vector<broken_attempt> attempts;
        base::instant first_at{};
        bool crashed = false;
        std::unique_ptr<adapters::address_probe> probe;
    };

    void probe(const base::upstream_instance& upstream);
    void take_probe(const base::upstream_instance& upstream, adapters::address_state state);

    entry_context& context;
    std::map<base::upstream_instance, breakage> broken;
};

} // namespace camphorrail::proxy
