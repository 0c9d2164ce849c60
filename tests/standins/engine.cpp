#include "base/hash.h"
#include "standins/standins.h"

#include <nlohmann/json.hpp>

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace camphorrail::standins {

namespace {

using nlohmann::json;

constexpr std::size_t bytes_a_token = 4;
constexpr std::size_t block_tokens = 256;

// Blocks of prompts, each known by the hash of all text up to its end; the least used go first.
struct block_cache {
    std::size_t capacity = 0;
    std::list<std::uint64_t> newest_first;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;

    // Tokens of the prompt found; afterwards all of its blocks are held.
    std::size_t use(const std::string& prompt) {
        std::size_t found = 0;
        bool unbroken = true;
        std::uint64_t hash = 0;
        const std::size_t block_bytes = block_tokens * bytes_a_token;
        for (std::size_t at = 0; at + block_bytes <= prompt.size(); at += block_bytes) {
            hash = base::combine_hashes(hash, base::stable_hash(prompt.substr(at, block_bytes)));
            const auto known = this->places.find(hash);
            unbroken = unbroken && known != this->places.end();
            found += unbroken ? block_tokens : 0;
            if (known != this->places.end()) {
                this->newest_first.erase(known->second);
            }
            this->newest_first.push_front(hash);
            this->places[hash] = this->newest_first.begin();
            if (this->places.size() > this->capacity) {
                this->places.erase(this->newest_first.back());
                this->newest_first.pop_back();
            }
        }
        return found;
    }
};

struct engine {
    adapters::event_loop* loop = nullptr;
    block_cache cache;
    std::int64_t incarnation = 0;
    base::micros prefill_a_token{0};
    base::micros decode_a_token{0};
    base::instant prefill_free{};
    std::int64_t started = 0;
    std::int64_t finished = 0;
    std::int64_t cancelled = 0;
    std::int64_t running = 0;
    std::int64_t computed_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::map<std::string, int> runs;
    // Weights loaded, and how many loads are under way.
    std::string weights;
    int loading = 0;
};

struct generation {
    engine* at = nullptr;
    adapters::exchange_ptr exchange;
    std::uint64_t seed = 0;
    std::int64_t next = 0;
    std::int64_t length = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    bool stream = false;
    bool over = false;
    std::string text;
};

std::string prompt_of(const json& body) {
    if (body.contains("prompt")) {
        return body["prompt"].get<std::string>();
    }
    std::string prompt;
    for (const auto& message : body.value("messages", json::array())) {
        prompt += message.value("content", "");
    }
    return prompt;
}

json usage_of(const generation& made) {
    return {{"prompt_tokens", made.prompt_tokens},
            {"completion_tokens", made.length},
            {"prompt_tokens_details", {{"cached_tokens", made.cached_tokens}}}};
}

// The token depends on the prompt and the place alone, so another engine can go on with it.
std::string token_at(const generation& made, std::int64_t place) {
    return "w" +
           std::to_string(base::combine_hashes(made.seed, static_cast<std::uint64_t>(place)) %
                          1000) +
           " ";
}

void finish(generation& made) {
    made.over = true;
    ++made.at->finished;
    --made.at->running;
    const json choice{{"index", 0}, {"text", made.text}, {"finish_reason", "stop"}};
    if (!made.stream) {
        reply_json(
            *made.exchange,
            json{{"object", "text_completion"}, {"choices", {choice}}, {"usage", usage_of(made)}}
                .dump());
        return;
    }
    const json last{{"choices", json::array()}, {"usage", usage_of(made)}};
    made.exchange->send("data: " + last.dump() + "\n\n" + "data: [DONE]\n\n");
    made.exchange->end();
}

void step(const std::shared_ptr<generation>& made) {
    if (made->over) {
        return;
    }
    if (made->next >= made->length) {
        finish(*made);
        return;
    }
    const std::string token = token_at(*made, made->next++);
    made->text += token;
    if (made->stream) {
        const json event{{"choices", {{{"index", 0}, {"text", token}}}}};
        made->exchange->send("data: " + event.dump() + "\n\n");
    }
    made->at->loop->after(made->at->decode_a_token, [made] { step(made); });
}

void generate(engine& at, const adapters::exchange_ptr& exchange) {
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object()) {
        reply_json(*exchange, R"({"error":"malformed"})", 400);
        return;
    }
    const std::string prompt = prompt_of(body);
    const auto made = std::make_shared<generation>();
    made->at = &at;
    made->exchange = exchange;
    made->seed = base::stable_hash(prompt);
    made->next = body.value("resume_from", std::int64_t{0});
    made->length = body.value("max_tokens", std::int64_t{16});
    made->stream = body.value("stream", false);
    made->prompt_tokens = static_cast<std::int64_t>(prompt.size() / bytes_a_token);
    made->cached_tokens = static_cast<std::int64_t>(at.cache.use(prompt));
    const std::int64_t computed = made->prompt_tokens - made->cached_tokens;
    ++at.started;
    ++at.running;
    at.computed_tokens += computed;
    at.cached_tokens += made->cached_tokens;
    const std::string key = exchange->header("Idempotency-Key");
    if (!key.empty()) {
        ++at.runs[key];
    }
    exchange->gone.connect([made] {
        if (!made->over) {
            made->over = true;
            ++made->at->cancelled;
            --made->at->running;
        }
    });
    // Prefills go one after the other; decoding goes on beside them.
    const base::instant now = at.loop->clock().now();
    at.prefill_free = std::max(at.prefill_free, now) + computed * at.prefill_a_token;
    at.loop->after(at.prefill_free - now, [made] {
        if (made->stream && !made->over) {
            made->exchange->start(200, {{"Content-Type", "text/event-stream"}});
        }
        step(made);
    });
}

// New weights take a while; all that was cached with the old ones is void then.
void load(engine& at, const adapters::exchange_ptr& exchange, base::milliseconds span) {
    const json body = json::parse(exchange->body(), nullptr, false);
    const std::string weights = body.is_object() ? body.value("weights", "") : "";
    ++at.loading;
    at.loop->after(span, [&at, weights] {
        --at.loading;
        at.weights = weights;
        at.cache.newest_first.clear();
        at.cache.places.clear();
    });
    reply_json(*exchange, "{}");
}

json stats(const engine& at) {
    return {{"incarnation", at.incarnation},
            {"weights", at.weights},
            {"loading", at.loading},
            {"started", at.started},
            {"finished", at.finished},
            {"cancelled", at.cancelled},
            {"running", at.running},
            {"computed_tokens", at.computed_tokens},
            {"cached_tokens", at.cached_tokens},
            {"runs", at.runs}};
}

} // namespace

int run_engine(adapters::event_loop& loop, const options& given) {
    engine at;
    at.loop = &loop;
    at.cache.capacity =
        static_cast<std::size_t>(number(given, "cache-tokens", 262144)) / block_tokens;
    at.incarnation = loop.clock().wall_ms();
    at.prefill_a_token = base::micros(number(given, "prefill-us", 20));
    at.decode_a_token = base::micros(number(given, "decode-us", 5000));
    at.weights = option(given, "weights", "w1");
    const base::milliseconds span(number(given, "load-ms", 2000));
    return serve(loop, given, [&at, span](const adapters::exchange_ptr& exchange) {
        const std::string& path = exchange->path();
        if (path == "/load" || path == "/admin/stats") {
            reply_json(*exchange, stats(at).dump());
        } else if (path == "/v1/load") {
            load(at, exchange, span);
        } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
            generate(at, exchange);
        } else {
            reply_json(*exchange, "{}", 404);
        }
    });
}

} // namespace camphorrail::standins
