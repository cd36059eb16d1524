#include "http/request_reader.h"

#include <criterion/criterion.h>
#include <memory>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::http;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

/// A reader with a budget of its own.
struct lone_reader
{
    explicit lone_reader(std::size_t budget_bytes = 8 * mebibyte, std::size_t body_bytes = mebibyte)
        : budget(std::make_shared<caller_budget>(caller_budget_limits{budget_bytes, 10}))
        , body_limit(body_bytes)
    {
        cr_assert(account.open(budget, [](caller_eviction) {}));
        account.set_phase(caller_phase::receiving);
        begin();
    }
    void begin() { reader.begin({16 * kibibyte, body_limit}); }
    /// Bytes that are held besides those of an idle connection.
    [[nodiscard]] auto held() const -> std::size_t
    {
        return budget->held() - caller_account::idle_connection_bytes;
    }

    std::shared_ptr<caller_budget> budget;
    std::size_t body_limit;
    caller_account account;
    request_reader reader{account};
};

constexpr const char* head = "POST /a HTTP/1.1\r\nHost: h\r\nName: value\r\n";

} // namespace

Test(request_reader, reads_requests_in_any_pieces)
{
    const std::string bytes = std::string(head) +
                              "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n"
                              "T: 1\r\n\r\n";
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        lone_reader one;
        request_state state = request_state::incomplete;
        for (std::size_t at = 0; at < bytes.size(); at += size) {
            cr_assert(state == request_state::incomplete);
            state = one.reader.receive(bytes.substr(at, size));
        }
        cr_assert(state == request_state::complete, "pieces of %zu bytes", size);
        const read_request read = one.reader.take();
        cr_assert(read.request.method == "POST" && read.request.target == "/a" &&
                  read.request.body == "abcde");
        cr_assert(read.request.field("name") == "value" && read.keep_alive && !read.is_http_1_0);
        one.account.release(read.held);
        cr_assert(one.held() == 0, "%zu bytes are held", one.held());
    }
}

// Guards against memory for a length that is only announced, and against more than what has arrived.
Test(request_reader, holds_what_has_arrived)
{
    lone_reader one;
    (void)one.reader.receive(std::string(head) + "Content-Length: " + std::to_string(mebibyte) + "\r\n\r\nx");
    cr_assert(one.held() < kibibyte, "%zu bytes", one.held());
    (void)one.reader.receive(std::string(64 * kibibyte, 'x'));
    cr_assert(one.held() >= 64 * kibibyte && one.held() < 130 * kibibyte, "%zu bytes", one.held());
    one.reader.discard();
    cr_assert(one.held() == 0);
}

// Guards against a body that takes twice its size once it is complete.
Test(request_reader, announced_body_takes_its_size)
{
    lone_reader one;
    (void)one.reader.receive(std::string(head) + "Content-Length: " + std::to_string(mebibyte) + "\r\n\r\n");
    for (std::size_t count = 0; count < 64; ++count) {
        (void)one.reader.receive(std::string(16 * kibibyte, 'x'));
    }
    const read_request read = one.reader.take();
    cr_assert(read.request.body.size() == mebibyte && read.request.body.capacity() == mebibyte);
    cr_assert(read.held >= mebibyte && read.held < mebibyte + kibibyte && one.held() == read.held);
}

// Guards against heads of many fields that are counted by their text alone.
Test(request_reader, counts_each_field_of_a_head)
{
    lone_reader one;
    std::string fields = "POST /a HTTP/1.1\r\n";
    for (int count = 0; count < 3'000; ++count) {
        fields += "a:\r\n";
    }
    cr_assert(one.reader.receive(fields) == request_state::incomplete);
    cr_assert(one.held() > 3'000 * request_reader::field_bytes);
}

// Guards against requests that are read on without memory for them.
Test(request_reader, says_that_there_is_no_memory)
{
    lone_reader one(200 * kibibyte);
    (void)one.reader.receive(std::string(head) + "Transfer-Encoding: chunked\r\n\r\n80000\r\n");
    request_state state = request_state::incomplete;
    for (int count = 0; count < 20 && state == request_state::incomplete; ++count) {
        state = one.reader.receive(std::string(16 * kibibyte, 'x'));
    }
    cr_assert(state == request_state::no_memory);
    one.reader.discard();
    cr_assert(one.held() == 0);
}

Test(request_reader, rejects_what_is_over_the_limits)
{
    lone_reader long_head;
    cr_assert(long_head.reader.receive("POST /" + std::string(17 * kibibyte, 'a')) ==
              request_state::head_too_large);
    lone_reader announced;
    cr_assert(announced.reader.receive(std::string(head) + "Content-Length: 1048577\r\n\r\n") ==
              request_state::body_too_large);
    lone_reader chunked(8 * mebibyte, 4);
    cr_assert(
        chunked.reader.receive(std::string(head) + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\n") ==
        request_state::body_too_large);
    lone_reader malformed;
    cr_assert(malformed.reader.receive("no request at all\r\n\r\n") == request_state::malformed);
    cr_assert(static_cast<bool>(malformed.reader.failure()));
}

// Guards against chunk extensions and trailers without an end.
Test(request_reader, bounds_chunk_lines_and_trailers)
{
    for (const std::string opening : {"3;x=", "0\r\n"}) {
        lone_reader one;
        request_state state =
            one.reader.receive(std::string(head) + "Transfer-Encoding: chunked\r\n\r\n" + opening);
        for (int count = 0; count < 20 && state == request_state::incomplete; ++count) {
            state =
                one.reader.receive("a: " + std::string(kibibyte, 'y') + (opening[0] == '0' ? "\r\n" : ""));
        }
        cr_assert(state == request_state::head_too_large);
        cr_assert(one.held() < 64 * kibibyte);
    }
}

// Guards against bytes behind discarded input that are joined to those before it and read as a request.
Test(request_reader, nothing_is_read_behind_a_gap)
{
    lone_reader one;
    cr_assert(one.reader.receive(std::string(head) + "\r\n") == request_state::complete);
    one.account.release(one.reader.take().held);
    one.begin();
    const std::string opening = std::string(head) + "Content-Length: 20000\r\n\r\n";
    cr_assert(one.reader.receive_ahead(opening + std::string(20'000, 'x')));
    cr_assert(one.reader.receive(std::string(head) + "\r\n") == request_state::input_lost);
    cr_assert(one.reader.receive(std::string(20'000, 'y')) == request_state::input_lost);
}

// Guards against input sent ahead that is kept without a bound, or read as what it isn't behind a gap.
Test(request_reader, keeps_little_of_what_is_sent_ahead)
{
    lone_reader one;
    const std::string next = std::string(head) + "Content-Length: 2\r\n\r\nhi";
    cr_assert(one.reader.receive(next + next) == request_state::complete);
    one.account.release(one.reader.take().held);
    one.begin();
    cr_assert(one.reader.receive_ahead(std::string(head) + "Content-Length: 40000\r\n\r\n"));
    cr_assert(one.reader.receive_ahead(std::string(40'000, 'x')));
    cr_assert(one.held() <= 2 * request_reader::max_ahead_bytes, "%zu bytes", one.held());
    cr_assert(one.reader.parse() == request_state::complete, "the request that was kept whole is served");
    one.account.release(one.reader.take().held);
    one.begin();
    cr_assert(one.reader.parse() == request_state::input_lost);
    cr_assert(!one.reader.receive_ahead(std::string(mebibyte, 'x')), "what is discarded is bounded");
}
