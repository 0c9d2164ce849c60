#include "adapters/platform_budget.h"

#include <algorithm>

namespace camphorrail::adapters {

namespace {

bool may_wait(platform_call kind) {
    return kind == platform_call::read || kind == platform_call::read_key ||
           kind == platform_call::watch || kind == platform_call::proof;
}

struct budgeted {
    ports::platform inner;
    event_loop* loop;
    std::shared_ptr<platform_budget> budget;
    std::function<void(platform_call, base::micros)> held_back;

    void call(platform_call kind, std::function<void()> action) const {
        const auto wait = take_call(*this->budget, kind, this->loop->clock().now());
        if (wait <= base::micros(0)) {
            action();
            return;
        }
        this->held_back(kind, wait);
        this->loop->after(wait, std::move(action));
    }

    // Passes an answer on and counts it where it is a failure.
    template <class Value>
    std::function<void(base::result<Value>)>
    counting(std::function<void(base::result<Value>)> done) const {
        return [budget = this->budget, done = std::move(done)](base::result<Value> answer) {
            budget->failed += answer.has_value() ? 0 : 1;
            done(std::move(answer));
        };
    }
};

} // namespace

std::string_view name_of(platform_call kind) {
    static constexpr std::array<std::string_view, platform_call_kinds> names{
        "read", "read_key", "watch", "proof", "write", "lease", "renewal"};
    return names.at(static_cast<std::size_t>(kind));
}

std::int64_t calls_of(const platform_budget& budget, platform_call kind) {
    return budget.made.at(static_cast<std::size_t>(kind));
}

base::micros take_call(platform_budget& budget, platform_call kind, base::instant now) {
    const auto& rules = budget.rules;
    ++budget.made.at(static_cast<std::size_t>(kind));
    if (budget.at == base::instant{}) {
        budget.at = now;
    }
    const std::chrono::duration<double> passed = now - budget.at;
    budget.at = now;
    budget.left = std::min(rules.burst, budget.left + rules.calls_a_second * passed.count());
    if (!may_wait(kind)) {
        return base::micros(0);
    }
    budget.left -= 1.0;
    if (budget.left >= 0.0) {
        return base::micros(0);
    }
    ++budget.held_back;
    const std::chrono::duration<double> wait(-budget.left / rules.calls_a_second);
    return std::chrono::duration_cast<base::micros>(wait);
}

ports::platform with_budget(ports::platform inner, event_loop& loop,
                            std::shared_ptr<platform_budget> budget,
                            std::function<void(platform_call, base::micros)> held_back) {
    const budgeted at{std::move(inner), &loop, std::move(budget), std::move(held_back)};
    ports::platform made;
    made.read = [at](const std::string& prefix, auto done) {
        const auto answered = [budget = at.budget, done = at.counting(std::move(done))](
                                  base::result<ports::snapshot> read) {
            if (read.has_value()) {
                // Each further page was a call of its own.
                budget->made.at(static_cast<std::size_t>(platform_call::read)) +=
                    read.value().pages - 1;
            }
            done(std::move(read));
        };
        at.call(platform_call::read, [at, prefix, answered] { at.inner.read(prefix, answered); });
    };
    made.read_key = [at](const std::string& key, ports::read_consistency wanted, auto done) {
        at.call(platform_call::read_key, [at, key, wanted, done = at.counting(std::move(done))] {
            at.inner.read_key(key, wanted, done);
        });
    };
    made.revision = [at](const std::string& key, auto done) {
        at.call(platform_call::read_key,
                [at, key, done = at.counting(std::move(done))] { at.inner.revision(key, done); });
    };
    made.commit = [at](const ports::transaction& wanted, auto done) {
        const auto kind = wanted.writes.empty() ? platform_call::proof : platform_call::write;
        at.call(kind, [at, wanted, done = at.counting(std::move(done))] {
            at.inner.commit(wanted, done);
        });
    };
    made.grant_lease = [at](std::int64_t seconds, auto done) {
        at.call(platform_call::lease, [at, seconds, done = at.counting(std::move(done))] {
            at.inner.grant_lease(seconds, done);
        });
    };
    made.renew_lease = [at](const ports::lease& lease, auto done) {
        at.call(platform_call::renewal, [at, lease, done = at.counting(std::move(done))] {
            at.inner.renew_lease(lease, done);
        });
    };
    if (at.inner.watch) {
        made.watch = [at](const std::string& prefix, base::revision after, base::milliseconds wait,
                          auto done) {
            at.call(platform_call::watch,
                    [at, prefix, after, wait, done = at.counting(std::move(done))] {
                        at.inner.watch(prefix, after, wait, done);
                    });
        };
    }
    return made;
}

ports::platform counted(ports::platform inner, event_loop& loop,
                        std::shared_ptr<platform_budget> budget) {
    budget->rules = no_platform_limit;
    budget->left = budget->rules.burst;
    return with_budget(std::move(inner), loop, std::move(budget), [](auto, auto) {});
}

void show_platform_calls(metrics& shown, const platform_budget& budget) {
    for (std::size_t kind = 0; kind < platform_call_kinds; ++kind) {
        const auto name = name_of(static_cast<platform_call>(kind));
        shown.set("camphorrail_platform_calls", static_cast<double>(budget.made.at(kind)),
                  {{"kind", std::string(name)}});
    }
    shown.set("camphorrail_platform_calls_failed", static_cast<double>(budget.failed));
    shown.set("camphorrail_platform_calls_held_back", static_cast<double>(budget.held_back));
}

} // namespace camphorrail::adapters
