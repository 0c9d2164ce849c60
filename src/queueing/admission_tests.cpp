#include "queueing/admission.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using base::milliseconds;
using queueing::ranked_decision;

namespace {

constexpr base::instant now{base::seconds(100)};

void record(queueing::service_record& service, std::size_t rank, int accepted, int refused) {
    for (int each = 0; each < accepted + refused; ++each) {
        queueing::record_decision(service, {rank}, each < accepted, now);
    }
}

queueing::ranked_request late_request(std::size_t rank) {
    return {{rank}, 900.0, 1000.0, 1600.0, milliseconds(500)};
}

ranked_decision decide(const queueing::service_record& service,
                       const queueing::ranked_request& request) {
    return queueing::decide(service, request, {});
}

} // namespace

// Guards against a caller that is refused a second time although it could still be served.
TEST_CASE("requests that have likely returned are refused last", "[queueing]") {
    queueing::caller_terms caller{milliseconds(500), milliseconds(250), milliseconds(6000),
                                  milliseconds(5950)};
    CHECK_FALSE(queueing::is_likely_return(caller));
    caller.time_left = milliseconds(5000);
    CHECK(queueing::is_likely_return(caller));

    queueing::service_record service;
    record(service, 0, 15, 0);
    auto request = late_request(0);
    CHECK(decide(service, request) == ranked_decision::refused);
    request.likely_return = true;
    CHECK(decide(service, request) == ranked_decision::accepted_return);
    // A tenth of those accepted may be late.
    queueing::record_late(service, {0});
    queueing::record_late(service, {0});
    CHECK(decide(service, request) == ranked_decision::refused);

    SECTION("unless their callers would not wait for the response") {
        CHECK(queueing::max_first_byte_ms(caller, 400.0) == Approx(1600.0));
        caller.time_left = milliseconds(1400);
        request.max_first_byte_ms = queueing::max_first_byte_ms(caller, 400.0);
        CHECK(request.max_first_byte_ms == Approx(800.0));
        CHECK(decide(service, request) == ranked_decision::refused_hopeless);
    }
}

// Guards against the least urgent requests that get nothing while more urgent ones fill the pool.
TEST_CASE("more urgent requests leave room for ranks that are served too rarely", "[queueing]") {
    queueing::service_record service;
    record(service, 0, 50, 0);
    record(service, 1, 200, 200);
    record(service, 2, 1, 99);
    CHECK(decide(service, late_request(2)) == ranked_decision::accepted_underserved);
    auto request = late_request(1);
    request.acceptable = true;
    CHECK(decide(service, request) == ranked_decision::refused_yields);
    request.wait_ms = 10.0;
    CHECK(decide(service, request) == ranked_decision::accepted);
    // The rank before can give what they lack, so the most urgent one need not.
    request = late_request(0);
    request.acceptable = true;
    CHECK(decide(service, request) == ranked_decision::accepted);

    SECTION("also if they were accepted and lost in the queue") {
        record(service, 2, 100, 0);
        CHECK_FALSE(queueing::is_underserved(service, {2}, {}));
        for (int each = 0; each < 100; ++each) {
            queueing::record_loss(service, {2}, now);
        }
        CHECK(queueing::is_underserved(service, {2}, {}));
    }
    SECTION("until that is long ago") {
        record(service, 2, 0, 0);
        queueing::record_decision(service, {1}, true, now + base::minutes(1));
        CHECK_FALSE(queueing::is_underserved(service, {2}, {}));
    }
}
