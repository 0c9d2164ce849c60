#include "http/readers.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

http::read_fault fault_of_request(const std::string& bytes) {
    http::request_reader reader({});
    reader.feed(bytes);
    return reader.fault();
}

} // namespace

TEST_CASE("a request is read out of a byte stream", "[http]") {
    const std::string whole = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";

    SECTION("in one piece, and the bytes after it are left alone") {
        http::request_reader reader({});
        CHECK(reader.feed(whole + "GET ") == whole.size());
        REQUIRE(reader.complete());
        CHECK(reader.head().method == "POST");
        CHECK(reader.head().target == "/a");
        CHECK(reader.take_body() == "abc");
    }
    SECTION("a byte at a time") {
        http::request_reader reader({});
        std::string held;
        for (const char letter : whole) {
            held += letter;
            held.erase(0, reader.feed(held));
        }
        REQUIRE(reader.complete());
        CHECK(reader.take_body() == "abc");
    }
    SECTION("in chunks, whose trailers are dropped") {
        http::request_reader reader({});
        reader.feed(
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n"
            "Tenant: forged\r\n\r\n");
        REQUIRE(reader.complete());
        CHECK(reader.take_body() == "abc");
        CHECK_FALSE(http::has(reader.head().all, "Tenant"));
    }
}

// The caller sends a head that two readers take in two ways. Were it passed on, the engine could
// find a second request inside the first one's body; so it is refused whole.
TEST_CASE("ambiguous requests are refused", "[http]") {
    for (const std::string head : {
             "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
             "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n",
             "POST / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
             "POST / HTTP/1.1\r\nA: b\nC: d\r\n\r\n",
             "POST / HTTP/1.1\r\nA: b\rC: d\r\n\r\n",
             "POST / HTTP/1.1\r\nno colon\r\n\r\n",
             "POST  / HTTP/1.1\r\n\r\n",
             "POST / HTTP/2.0\r\n\r\n",
         }) {
        CAPTURE(head);
        CHECK(fault_of_request(head) == http::read_fault::malformed);
    }
    CHECK(fault_of_request("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n") ==
          http::read_fault::malformed);
    CHECK(fault_of_request("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n") ==
          http::read_fault::malformed);
}

TEST_CASE("messages over their bounds are told from malformed ones", "[http]") {
    CHECK(fault_of_request("GET / HTTP/1.1\r\nA: " + std::string(20000, 'a')) ==
          http::read_fault::head_too_large);
    CHECK(fault_of_request("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n") ==
          http::read_fault::body_too_large);
}

TEST_CASE("an answer is read out of a byte stream", "[http]") {
    http::response_reader reader({});

    SECTION("interim answers are passed over") {
        reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
        REQUIRE(reader.complete());
        CHECK(reader.head().status == 200);
    }
    SECTION("one without a length is whole only on an orderly close") {
        reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
        CHECK(reader.head().ends_with_close);
        CHECK_FALSE(reader.complete());
        reader.feed_end();
        CHECK(reader.complete());
    }
    SECTION("one that ends before its length is not whole") {
        reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
        reader.feed_end();
        CHECK_FALSE(reader.complete());
        CHECK(reader.fault() == http::read_fault::malformed);
    }
    SECTION("one whose last chunk is missing is not whole") {
        reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        reader.feed_end();
        CHECK_FALSE(reader.complete());
    }
    SECTION("bytes that are no answer are a fault") {
        reader.feed("garbage\r\n\r\n");
        CHECK(reader.fault() == http::read_fault::malformed);
    }
    SECTION("so is a status that is none") {
        const std::string status =
            GENERATE("000", "099", "600", "999", "20", "2000", "+20", "-20", "2x0", "");
        CAPTURE(status);
        reader.feed("HTTP/1.1 " + status + " S\r\nContent-Length: 1\r\n\r\nx");
        reader.feed_end();
        CHECK(reader.fault() == http::read_fault::malformed);
        CHECK_FALSE(reader.has_head());
    }
    SECTION("so are empty lines") {
        CHECK(reader.feed("\r\n") == 0);
        CHECK(reader.fault() == http::read_fault::none);
        reader.feed("\r\n\r\n");
        CHECK(reader.fault() == http::read_fault::malformed);
    }
    SECTION("interim answers without end are a fault") {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        std::size_t read = 0;
        while (reader.fault() == http::read_fault::none && read < (1U << 20U)) {
            read += reader.feed(interim);
        }
        CHECK(reader.fault() == http::read_fault::head_too_large);
        CHECK(read <= http::read_limits{}.head_bytes + interim.size());
    }
    SECTION("also where they arrive in one piece") {
        std::string all;
        for (int each = 0; each < 100'000; ++each) {
            all += "HTTP/1.1 100 C\r\n\r\n";
        }
        reader.feed(all);
        CHECK(reader.fault() == http::read_fault::head_too_large);
    }
}
