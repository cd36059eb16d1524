// An entry of another writer, with fields missing, appears among the replicas' entries in the store. At its
// address answers a server that is no replica. Bookings are sent all the while.
//
// Exits with 1 if a client gets a success without a replica's seal, with 0 if none does, with 2 if the case
// can't run. Arguments: folder for temporary files, file of the record, 1 with the disruption or 0 without
// it.
#include "rig.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr int bookings = 200;
constexpr std::int64_t interval_ms = 100;
constexpr int entry_at = 50; // booking before which the entry is written
constexpr int own_replicas = 3;

} // namespace

int main(int count, char** words)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count < 4 || !open_record(words[2])) {
        return 2;
    }
    const std::string folder = words[1];
    const bool trouble = std::atoi(words[3]) != 0;
    const std::string net = network();
    run_list runs;
    store platform(net + "100", 8223);
    std::vector<std::unique_ptr<replica>> replicas;
    bool listening = platform.listening();
    for (int i = 0; i < own_replicas; ++i) {
        replicas.push_back(std::make_unique<replica>("i-desk" + std::to_string(i), "desk", "zone-a",
                                                     net + std::to_string(20 + i), 8080, 6, runs));
        listening = listening && replicas.back()->listening();
        platform.put("servers/" + replicas.back()->id(), replicas.back()->entry());
    }
    std::atomic<int> at_other{0};
    // A web server of somebody else: a page of its own for whatever it is asked.
    server other(net + "60", 8080, [&](connection& caller) {
        const message call = caller.read(false, 15'000);
        if (!call.complete) {
            return;
        }
        ++at_other;
        note("the server that is no replica gets: " + call.first + ", id " +
             call.field("dragonflymill-attempt-id"));
        (void)caller.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n");
    });
    if (!listening || !other.listening()) {
        note("an address is taken");
        return 2;
    }
    platform.put("op/config", booking_config());
    std::vector<std::unique_ptr<gateway>> gateways;
    const std::vector<std::string> seeds{net + "1", net + "2"};
    for (int i = 0; i < 2; ++i) {
        gateways.push_back(std::make_unique<gateway>("front-" + std::to_string(i + 1),
                                                     seeds[static_cast<std::size_t>(i)], "zone-a"));
        gateways.back()->configure(folder, platform.address(), seeds);
        if (!gateways.back()->start()) {
            return 2;
        }
    }
    if (!wait_ready(gateways, 10'000)) {
        return 2;
    }
    sleep_ms(1000);
    int sealed = 0;
    int unsealed = 0;
    int failed = 0;
    for (int i = 0; i < bookings; ++i) {
        if (i == entry_at && trouble) {
            const std::string entry = R"({"service":"desk","address":")" + other.address() +
                                      R"(","zone":"zone-a","state":"ready"})";
            platform.put("servers/other-7", entry);
            note("another writer puts servers/other-7: " + entry);
        }
        const std::int64_t next = now_ms() + interval_ms;
        const std::string id = "book" + std::to_string(i);
        const gateway& to = *gateways[static_cast<std::size_t>(i % 2)];
        message answer;
        note("client sends " + id + " to " + to.name());
        if (const auto opened = connection::open(to.front(), 1000)) {
            (void)opened->write(
                "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\nDragonflymill-Attempt-Id: " + id +
                "\r\nDragonflymill-Request-Deadline: 1500\r\nAuthorization: Bearer key1\r\n"
                "Content-Length: 12\r\n\r\n{\"slot\": 17}");
            answer = opened->read(true, 1500);
        }
        const std::string seal = answer.field("dragonflymill-server-seal");
        const bool success = answer.complete && answer.status() / 100 == 2;
        note("client: " + id + " through " + to.name() + " -> " + std::to_string(answer.status()) +
             ", seal '" + seal + "', " + std::to_string(answer.body.size()) + " bytes, ran " +
             std::to_string(runs.count(id)) + " times");
        if (success && seal.empty()) {
            ++unsealed;
        }
        else {
            ++(success ? sealed : failed);
        }
        sleep_ms(next - now_ms());
    }
    note(std::to_string(bookings) + " bookings sent; " + std::to_string(sealed) + " successes of replicas; " +
         std::to_string(unsealed) + " successes without a replica's seal; " + std::to_string(failed) +
         " other ends; the server that is no replica got " + std::to_string(at_other.load()) + " of them");
    gateways.clear();
    if (sealed < bookings / 4) {
        note("too few bookings were served to judge");
        return 2;
    }
    note(unsealed > 0 ? "MIXED is broken" : "MIXED holds");
    std::_Exit(unsealed > 0 ? 1 : 0);
}
