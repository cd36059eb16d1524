#include "edge/response_parser.h"

#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill::edge;

namespace {

/// Reads an answer in pieces of `step` bytes.
struct reading
{
    explicit reading(const std::string& bytes, std::size_t step, bool no_body = false)
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

Test(response_parser, an_answer_is_the_same_however_it_is_cut)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nSeal: abc\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        reading read(bytes, step);
        cr_assert(read.parser.state() == response_state::complete, "step %zu", step);
        cr_assert(read.body == "hello");
        cr_assert(read.parser.head().status == 200 && read.parser.head().value_of("seal") == "abc");
    }
}

Test(response_parser, chunks_are_taken_off)
{
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        reading read(bytes, step);
        cr_assert(read.parser.state() == response_state::complete && read.body == "abcde", "step %zu", step);
    }
}

// An upstream sends a second answer behind the first. The bytes belong to no request and are not taken for
// one.
Test(response_parser, bytes_behind_an_answer_are_kept_apart)
{
    reading read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", 1000);
    cr_assert(read.parser.state() == response_state::complete && read.body == "ok");
    cr_assert(read.parser.excess() == "HTTP/1.1 200 OK\r\n");
}

// An answer without a length ends with its connection: closed in order it is whole. One with a length that
// ends early is broken and must not look complete.
Test(response_parser, the_end_of_the_connection_completes_only_an_answer_without_a_length)
{
    reading unframed("HTTP/1.1 200 OK\r\n\r\nall of it", 7);
    cr_assert(unframed.parser.ends_with_connection());
    cr_assert(unframed.parser.take_eof() == response_state::complete && unframed.body == "all of it");
    reading cut("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 7);
    cr_assert(cut.parser.take_eof() == response_state::invalid);
    reading chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 7);
    cr_assert(chunked.parser.take_eof() == response_state::invalid);
    reading head("HTTP/1.1 200 OK\r\n", 7);
    cr_assert(head.parser.take_eof() == response_state::invalid);
}

Test(response_parser, what_is_no_answer_is_invalid)
{
    for (const char* bytes :
         {"garbage\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        reading read(bytes, 1000);
        cr_assert(read.parser.state() == response_state::invalid, "%s", bytes);
    }
}

Test(response_parser, an_answer_to_head_has_no_body)
{
    reading read("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", 1000, true);
    cr_assert(read.parser.state() == response_state::complete);
}
