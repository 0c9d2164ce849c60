#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace camphorrail::base {

// Strongly typed string identifier. `Tag` is declared but never defined.
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
// A version of the software that an upstream runs. Versions have no order.
using software_version = id<struct software_version_tag>;
using entry_id = id<struct entry_tag>;
using availability_zone = id<struct availability_zone_tag>;

// A client's name for one of its requests, different for each attempt that it makes.
using request_id = id<struct request_id_tag>;

// A client's Idempotency-Key, qualified by its team so that keys of two teams never collide.
using idempotency_key = id<struct idempotency_key_tag>;

// One attempt at one request. Unique over all entries: it consists of the entry's name, its start
// time and a counter.
using attempt_id = id<struct attempt_tag>;

// A set of interchangeable upstreams: the engines of a model, or the VMs of a plain service.
using pool_id = id<struct pool_tag>;

// Version of the operators' configuration: the platform's revision of its last change.
struct config_version {
    std::int64_t value = 0;

    auto operator<=>(const config_version&) const = default;
};

// Distinguishes the runs of an upstream, which restarts under the same id with empty caches and
// counters. The value is the Unix time of its start in milliseconds, as the upstream reports it, or
// 0 if it reports none. Clocks jump, so a later incarnation may have a smaller value: compare only
// for equality.
struct upstream_incarnation {
    std::int64_t value = 0;

    auto operator<=>(const upstream_incarnation&) const = default;
};

// One upstream in one of its incarnations.
struct upstream_instance {
    upstream_id id;
    upstream_incarnation incarnation;

    auto operator<=>(const upstream_instance&) const = default;
};

// One run of a process. Incremented at each start and never reused.
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
