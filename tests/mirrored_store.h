#pragma once

#include "mirror/store_mirror.h"
#include "ports/platform.h"

namespace camphorrail::tests {

// A store that applies writes to an entry's mirror and can be made unavailable.
struct mirrored_store {
    mirror::store_mirror& mirror;
    bool unavailable = false;
    int calls = 0;

    ports::platform calls_to() {
        ports::platform platform;
        platform.commit = [this](const ports::transaction& change, const auto& done) {
            ++this->calls;
            if (this->unavailable) {
                done(base::code::platform_unreachable);
                return;
            }
            done(ports::commit_result{this->apply(change), this->mirror.revision});
        };
        return platform;
    }

    bool apply(const ports::transaction& change) {
        for (const auto& each : change.preconditions) {
            const auto found = this->mirror.items.find(each.key);
            const auto exists = found == this->mirror.items.end() ? 0 : found->second.mod_revision;
            if (exists != each.mod_revision) {
                return false;
            }
        }
        ++this->mirror.revision.number;
        for (const auto& each : change.writes) {
            if (each.erase) {
                this->mirror.items.erase(each.key);
            } else {
                this->mirror.items[each.key] = {each.key, each.value, this->mirror.revision};
            }
        }
        return true;
    }
};

} // namespace camphorrail::tests
