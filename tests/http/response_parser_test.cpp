#include "http/response_parser.h"

#include <array>
#include <criterion/criterion.h>
#include <cstdio>
#include <string>

using namespace dragonflymill::http;

namespace {

/// Parses a response that arrives in parts of `step` bytes.
struct parsed_response
{
    explicit parsed_response(const std::string& bytes, std::size_t step, bool no_body = false)
        : parser(no_body)
    {
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            if (parser.take(std::string_view(bytes).substr(at, step), body) == response_state::invalid) {
                return;
            }
        }
    }

    response_parser parser;
    std::string body;
};

} // namespace

Test(response_parser, parses_a_response_split_at_any_byte)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nSeal: abc\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        parsed_response parsed(bytes, step);
        cr_assert(parsed.parser.state() == response_state::complete, "step %zu", step);
        cr_assert(parsed.body == "hello");
        cr_assert(parsed.parser.head().status == 200 && parsed.parser.head().value_of("seal") == "abc");
    }
}

Test(response_parser, removes_chunk_framing)
{
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        parsed_response parsed(bytes, step);
        cr_assert(parsed.parser.state() == response_state::complete && parsed.body == "abcde", "step %zu",
                  step);
    }
}

// Guards against treating a second, unsolicited response on a connection as part of the first one.
Test(response_parser, separates_bytes_after_a_complete_response)
{
    parsed_response parsed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", 1000);
    cr_assert(parsed.parser.state() == response_state::complete && parsed.body == "ok");
    cr_assert(parsed.parser.unparsed_bytes() == "HTTP/1.1 200 OK\r\n");
}

// Guards against taking a truncated response for a complete one when the upstream closes the connection. Only
// a response without a length or chunks is completed by an orderly close.
Test(response_parser, end_of_connection_completes_only_close_delimited_responses)
{
    parsed_response close_delimited("HTTP/1.1 200 OK\r\n\r\nall of it", 7);
    cr_assert(close_delimited.parser.is_close_delimited());
    cr_assert(close_delimited.parser.take_eof() == response_state::complete &&
              close_delimited.body == "all of it");
    parsed_response truncated("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 7);
    cr_assert(truncated.parser.take_eof() == response_state::invalid);
    parsed_response chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 7);
    cr_assert(chunked.parser.take_eof() == response_state::invalid);
    parsed_response head("HTTP/1.1 200 OK\r\n", 7);
    cr_assert(head.parser.take_eof() == response_state::invalid);
}

Test(response_parser, rejects_malformed_responses)
{
    for (const char* bytes :
         {"garbage\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        parsed_response parsed(bytes, 1000);
        cr_assert(parsed.parser.state() == response_state::invalid, "%s", bytes);
    }
}

Test(response_parser, response_to_head_has_no_body)
{
    parsed_response parsed("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", 1000, true);
    cr_assert(parsed.parser.state() == response_state::complete);
}

// Guards against memory that parts of a response without end take: heads, interim responses, chunk framing.
Test(response_parser, bounds_what_it_keeps_of_an_endless_response)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"HTTP/1.1 200 OK\r\n", "x: y\r\n"},
        {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
        {chunked + "1;x=", "yyyyyyyyyy"},
        {chunked + "0\r\n", "x: y\r\n"},
    };
    for (const auto& [begin, part] : cases) {
        response_parser parser(false);
        std::string body;
        std::size_t fed = begin.size();
        auto state = parser.take(begin, body);
        while (state != response_state::invalid) {
            state = parser.take(part, body);
            fed += part.size();
            cr_assert(fed <= 2 * response_limits{}.head_bytes, "%s%s", begin.c_str(), part.c_str());
        }
    }
}

Test(response_parser, skips_interim_responses)
{
    const std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        parsed_response parsed(bytes, step);
        cr_assert(parsed.parser.state() == response_state::complete && parsed.body == "ok", "step %zu", step);
        cr_assert(parsed.parser.head().status == 200 && parsed.parser.head().value_of("link").empty());
    }
}

// Guards against a coded body that is taken for a plain one, which ends with its connection.
Test(response_parser, rejects_unknown_transfer_codings)
{
    for (const std::string coding : {"gzip", "gzip, chunked", "chunked, gzip", "xchunked", "chunkedx"}) {
        const std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n3\r\nabc\r\n";
        parsed_response parsed(bytes, 1'000);
        cr_assert(parsed.parser.state() == response_state::invalid, "%s", coding.c_str());
    }
}

// Guards against a trailer that is taken for a field of the head if it arrives together with it: marks that a
// response lacks, or a statement that a request wasn't run.
Test(response_parser, ignores_trailers_however_they_arrive)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
                              "Request-Id: r1\r\nSeal: s1\r\nNot-Run: 1\r\n\r\n";
    for (const std::size_t step : {std::size_t(1), std::size_t(7), bytes.size()}) {
        const parsed_response parsed(bytes, step);
        cr_assert(parsed.parser.state() == response_state::complete && parsed.body == "abc");
        cr_assert(parsed.parser.head().fields.size() == 1, "in steps of %zu", step);
    }
}

// Guards against a status that doesn't exist, which is passed on or taken for that of an interim response.
Test(response_parser, rejects_statuses_that_do_not_exist)
{
    constexpr int statuses = 1'000;
    for (int status = 0; status < statuses; ++status) {
        std::array<char, 8> text{};
        (void)std::snprintf(text.data(), text.size(), "%03d", status);
        const parsed_response parsed(
            "HTTP/1.1 " + std::string(text.data()) + " X\r\nContent-Length: 0\r\n\r\n", 1'000);
        const bool is_final = status >= 200 && status <= 599;
        const bool is_interim = status >= 100 && status <= 199 && status != 101;
        const auto expected = is_final     ? response_state::complete
                              : is_interim ? response_state::head
                                           : response_state::invalid;
        cr_assert(parsed.parser.state() == expected, "%s", text.data());
    }
}

// Guards against each byte that may not stand in the name of a field, wherever it stands.
Test(response_parser, rejects_bytes_that_may_not_stand_in_a_name)
{
    const std::string allowed =
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    constexpr int bytes = 256;
    const std::string name = "Content-Length";
    for (int value = 0; value < bytes; ++value) {
        const char byte = static_cast<char>(value);
        for (const std::size_t at : {std::size_t{0}, name.size() / 2, name.size()}) {
            // A colon ends the name; without any byte before it there is none.
            if (allowed.find(byte) != std::string::npos || (byte == ':' && at > 0)) {
                continue;
            }
            std::string spoiled = name;
            spoiled.insert(at, 1, byte);
            const parsed_response parsed("HTTP/1.1 200 OK\r\nX: y\r\n" + spoiled + ": 2\r\n\r\nok", 1'000);
            cr_assert(parsed.parser.state() == response_state::invalid, "byte %d at %zu", value, at);
        }
    }
}

// Guards against a field that is taken for the rest of the one before it, as its name begins with a blank.
Test(response_parser, rejects_folded_lines)
{
    for (const std::string fold : {"\r\n ", "\r\n\t"}) {
        const std::string response = "HTTP/1.1 200 OK\r\nX: y" + fold + "Content-Length: 2\r\n\r\nok";
        for (std::size_t step = 1; step <= response.size(); ++step) {
            const parsed_response parsed(response, step);
            cr_assert(parsed.parser.state() == response_state::invalid, "step %zu", step);
        }
        const parsed_response interim("HTTP/1.1 103 Early Hints\r\nX: y" + fold +
                                          "z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                                      1'000);
        cr_assert(interim.parser.state() == response_state::invalid);
    }
    const std::string blank_body = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n ok\r\n";
    const std::string blank_line_body = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n\r\n ok";
    for (const std::string& response : {blank_body, blank_line_body}) {
        for (std::size_t step = 1; step <= response.size(); ++step) {
            const parsed_response parsed(response, step);
            cr_assert(parsed.parser.state() == response_state::complete, "step %zu", step);
            cr_assert(parsed.body == response.substr(response.size() - 5));
        }
    }
}
