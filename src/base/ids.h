#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace camphorrail::base {

// A name that can't be mistaken for a name of another kind. Tag is only ever declared.
template <class Tag>
struct id {
    std::string value;

    auto operator<=>(const id&) const = default;
    [[nodiscard]] bool empty() const { return this->value.empty(); }
};

using upstream_id = id<struct upstream_tag>;
using request_digest = id<struct request_digest_tag>;
using team_id = id<struct team_tag>;
using model_id = id<struct model_tag>;
using entry_id = id<struct entry_tag>;
using availability_zone = id<struct availability_zone_tag>;

// The caller's Idempotency-Key, already bound to its team, so that two teams never share one.
using idempotency_key = id<struct idempotency_key_tag>;

// One attempt at one request; unique over all entries (the entry's name, its start and a counter).
using attempt_id = id<struct attempt_tag>;

// Set of upstreams that run the same calls: the engines of a model, or the VMs of a plain service.
using pool_id = id<struct pool_tag>;

// Version of the operators' configuration: the platform's revision of its last change.
struct config_version {
    std::int64_t value = 0;

    auto operator<=>(const config_version&) const = default;
};

// One life of an upstream, which may start again under its id, with empty caches and counts: the
// Unix millisecond of its start, as it says itself. It only tells lives apart; clocks jump, so a
// later one may be smaller. 0 where the upstream does not say.
struct upstream_incarnation {
    std::int64_t value = 0;

    auto operator<=>(const upstream_incarnation&) const = default;
};

// One upstream in one of its lives.
struct upstream_instance {
    upstream_id id;
    upstream_incarnation incarnation;

    auto operator<=>(const upstream_instance&) const = default;
};

// One life of a process. Counts up at each start and is never used again.
struct incarnation {
    std::int64_t value = 0;

    auto operator<=>(const incarnation&) const = default;
};

} // namespace camphorrail::base

template <class Tag>
struct std::hash<camphorrail::base::id<Tag>> {
    std::size_t operator()(const camphorrail::base::id<Tag>& name) const noexcept {
        return std::hash<std::string>{}(name.value);
    }
};
