#include "platform/store_source.h"

#include "support/base64_text.h"
#include "support/standin_upstream.h"

#include <criterion/criterion.h>
#include <map>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::platform;
using test_support::standin_upstream;
using test_support::taken_connection;

namespace {

constexpr std::size_t part_bytes = 1'048'576;

/// Sends parts of a body until the connection is closed, and counts them.
void send_endlessly(const std::shared_ptr<taken_connection>& connection, std::size_t& parts)
{
    static const std::string part(part_bytes, ' ');
    boost::asio::async_write(connection->socket, boost::asio::buffer(part),
                             [connection, &parts](const auto& failed, std::size_t /*bytes*/) {
                                 if (!failed) {
                                     ++parts;
                                     send_endlessly(connection, parts);
                                 }
                             });
}

} // namespace

// Guards against a store whose answer never ends: it takes the gateway's memory within the time of one call.
Test(store_source, gives_up_an_answer_without_end)
{
    boost::asio::io_context loop{1};
    edge::loop_timers timers(loop);
    std::size_t parts = 0;
    standin_upstream store(loop, [&](taken_connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{");
        send_endlessly(connection.shared_from_this(), parts);
    });
    store_source source(loop, timers, store.address());
    std::string why;
    source.start({[](const direct::records_update&) {}, [&](const std::string& reason) { why = reason; },
                  [] {}, [] { return std::uint64_t(0); }, [] { return true; }});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (why.empty() && std::chrono::steady_clock::now() < end) {
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    source.stop();
    cr_assert(why == "the answer is too long", "%s after %zu MiB", why.c_str(), parts);
    constexpr std::size_t socket_buffer_parts = 16;
    cr_assert(parts * part_bytes <=
              store_source::store_source::max_answer_bytes + socket_buffer_parts * part_bytes);
}

namespace {

/// An entry of the store as an item of a page.
auto item(const std::string& id, const std::string& entry, int revision) -> std::string
{
    return R"({"key":"servers/)" + id + R"(","value":")" + test_support::base64_text(entry) +
           R"(","revision":)" + std::to_string(revision) + "}";
}

auto good_entry() -> std::string
{
    return R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","state":"ready","slots":1,)"
           R"("coldLeftMs":0,"sequence":0})";
}

auto respond(const std::string& body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against one odd entry among those of the replicas that ends the readers of the list, or hides the
// others.
Test(store_source, odd_entries_spoil_neither_a_listing_nor_a_watch)
{
    const std::vector<std::string> odd = {
        std::string(100'000, '['),
        R"({"a":)" + std::string(31, '['),
        "\xff\xfe",
        "",
        "null",
        R"({"service":"s","address":"10.0.0.9:99999","zone":"z","state":"ready"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","slots":1e999,"coldLeftMs":1e300})"};
    for (const std::string& entry : odd) {
        boost::asio::io_context loop{1};
        edge::loop_timers timers(loop);
        const std::string before = item("a", good_entry(), 4) + "," + item("b", entry, 5);
        standin_upstream store(loop, [&](taken_connection& connection) {
            const bool is_watch = connection.received.find("kv-watch") != std::string::npos;
            if (is_watch && connection.received.find("after=6&") == std::string::npos) {
                return; // waits
            }
            connection.send(respond(is_watch ? R"({"events":[)" + item("d", entry, 7) + "," +
                                                   item("e", good_entry(), 8) + R"(],"storeRevision":8})"
                                             : R"({"items":[)" + before + "," + item("c", good_entry(), 6) +
                                                   R"(,{"key":7},[]],"morePages":false,"storeRevision":6})"));
        });
        store_source source(loop, timers, store.address());
        std::map<std::string, bool> usable;
        std::uint64_t revision = 0;
        source.start({[&](const direct::records_update& update) {
                          for (const direct::fleet_record& record : update.records) {
                              usable[record.key.substr(record.key.size() - 1)] =
                                  std::holds_alternative<direct::upstream_entry>(source.decode(record));
                          }
                          revision = update.as_of;
                      },
                      [](const std::string& why) { cr_assert_fail("%s", why.c_str()); }, [] {},
                      [&] { return revision; }, [] { return true; }});
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (revision < 8 && std::chrono::steady_clock::now() < end) {
            loop.run_one_for(std::chrono::milliseconds(20));
        }
        source.stop();
        const std::map<std::string, bool> expected = {
            {"a", true}, {"b", false}, {"c", true}, {"d", false}, {"e", true}};
        cr_assert(usable == expected, "%s", entry.substr(0, 80).c_str());
    }
}

// Guards against changes that are too long for one answer and are asked for again and again.
Test(store_source, lists_again_after_changes_that_are_too_long)
{
    boost::asio::io_context loop{1};
    edge::loop_timers timers(loop);
    std::size_t parts = 0;
    std::vector<std::string> listings;
    standin_upstream store(loop, [&](taken_connection& connection) {
        if (connection.received.find("kv-range") != std::string::npos) {
            listings.push_back(connection.received);
            const std::string revision = listings.size() == 1 ? "6" : "9";
            connection.send(respond(R"({"items":[)" + item("a", good_entry(), 6) +
                                    R"(],"morePages":false,"storeRevision":)" + revision + "}"));
        }
        else if (connection.received.find("after=6&") != std::string::npos) {
            connection.send("HTTP/1.1 200 OK\r\n\r\n{");
            send_endlessly(connection.shared_from_this(), parts);
        }
    });
    store_source source(loop, timers, store.address());
    std::uint64_t revision = 0;
    source.start({[&](const direct::records_update& update) { revision = update.as_of; },
                  [](const std::string&) {}, [] {}, [&] { return revision; }, [] { return true; }});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (revision < 9 && std::chrono::steady_clock::now() < end) {
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    source.stop();
    cr_assert(revision == 9, "still at revision %d", static_cast<int>(revision));
    cr_assert(listings.back().find("staleOk") == std::string::npos, "a stale listing may lack the changes");
}
