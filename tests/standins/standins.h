#pragma once

#include "adapters/event_loop.h"
#include "adapters/http_server.h"

#include <map>
#include <string>

namespace camphorrail::standins {

using options = std::map<std::string, std::string>;

// Each serves on `--listen` until stopped. They do what the published protocol says and no more.

// The platform's key-value service: ranges, transactions and leases over a JSON gateway. POST
// /admin/mode takes up, down (no answer), or lose (does what is asked, then loses the answer).
int run_key_value(adapters::event_loop& loop, const options& given);
// A model engine with a bounded prefix cache. GET /admin/stats counts what it did.
int run_engine(adapters::event_loop& loop, const options& given);
// A plain service that counts how often each call ran, by Idempotency-Key: GET /admin/runs.
int run_service(adapters::event_loop& loop, const options& given);

// A TCP relay from `--through` to `--to`. POST /admin/silence: the connections open now stay open,
// but nothing passes on them any more; new ones work.
int run_relay(adapters::event_loop& loop, const options& given);

// The users' metadata store, and an engine of theirs that lists itself there. `--loses=yes`: the
// engine runs plain calls and breaks the connection in place of an answer; `--leaving=yes`: it says
// in all answers that it leaves; `--pause=SECONDS`: it turns calls away and asks for a pause;
// `--fails=yes`: it answers each call with an error; `--arrivals=yes`: it prints when each call
// arrives. POST /admin/limit has it state this rate limit in its answers, or none if the body is
// empty. A call with the word "fatal" in its body crashes it. The store takes POST /admin/copy
// (saves a copy of itself), /admin/away (answers nothing any more), and /admin/return (answers
// again from the copy and cuts the open watches, or leaves them unanswered if the body is
// "silent"); GET /admin/state shows its era and revision.
int run_metadata_store(adapters::event_loop& loop, const options& given);
int run_platform_engine(adapters::event_loop& loop, const options& given);

std::string option(const options& given, const std::string& name, const std::string& fallback);
std::int64_t number(const options& given, const std::string& name, std::int64_t fallback);
void reply_json(adapters::http_exchange& exchange, const std::string& body, int status = 200);
int serve(adapters::event_loop& loop, const options& given,
          std::function<void(adapters::exchange_ptr)> handler);

} // namespace camphorrail::standins
