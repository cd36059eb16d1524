// One of three replicas runs a part of its requests and then answers them 503, without the field that states
// that a request was not executed. Its health check stays good. Bookings are sent all the while, by clients
// that repeat one after a promise that it did not run.
//
// Exits with 1 if a booking that ran is answered 408, 421, 429 or 503, with 0 if none is, with 2 if the case
// can't run. Arguments: folder for temporary files, file of the record, 1 with the disruption or 0 without
// it.
#include "rig.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr int bookings = 150;
constexpr std::int64_t interval_ms = 100;
constexpr int begin_at = 30;        // booking at which the disruption begins
constexpr int end_at = 95;          // 6.5 s later
constexpr int failing_percent = 45; // of the requests at one of three replicas

struct ending
{
    int status = 0;
    bool ran = false;
};

auto is_promise(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

auto attempt(const gateway& to, const std::string& id, const std::string& booking, run_list& runs) -> ending
{
    message answer;
    note("client sends " + id + " to " + to.name() + ": " + booking);
    if (const auto opened = connection::open(to.front(), 1000)) {
        (void)opened->write(
            "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\nDragonflymill-Attempt-Id: " + id +
            "\r\nDragonflymill-Request-Deadline: 1500\r\nAuthorization: Bearer key1\r\n"
            "Content-Length: " +
            std::to_string(booking.size()) + "\r\n\r\n" + booking);
        answer = opened->read(true, 1500);
    }
    const ending found{answer.status(), runs.count(id) > 0};
    note("client: attempt " + id + " through " + to.name() + " -> " + std::to_string(found.status) +
         ", seal '" + answer.field("dragonflymill-server-seal") + "', ran " + std::to_string(runs.count(id)) +
         " times");
    return found;
}

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
    for (int i = 0; i < 3; ++i) {
        replicas.push_back(std::make_unique<replica>("i-desk" + std::to_string(i), "desk", "zone-a",
                                                     net + std::to_string(20 + i), 8080, 6, runs));
        listening = listening && replicas.back()->listening();
        platform.put("servers/" + replicas.back()->id(), replicas.back()->entry());
    }
    if (!listening) {
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
    int served = 0;
    int broken = 0;
    int doubled = 0;
    for (int i = 0; i < bookings; ++i) {
        if (trouble && (i == begin_at || i == end_at)) {
            replicas[0]->failing_percent = i == begin_at ? failing_percent : 0;
            note(i == begin_at ? "i-desk0 begins to fail a part of its requests" : "i-desk0 is sound again");
        }
        const std::int64_t next = now_ms() + interval_ms;
        const std::string booking = "{\"booking\": " + std::to_string(i) + "}";
        const std::string id = "b" + std::to_string(i);
        const ending first = attempt(*gateways[static_cast<std::size_t>(i % 2)], id + "-1", booking, runs);
        served += first.status == 200 ? 1 : 0;
        if (is_promise(first.status)) {
            broken += first.ran ? 1 : 0;
            // The client takes it at its word and comes once more, as its page says.
            const ending second =
                attempt(*gateways[static_cast<std::size_t>((i + 1) % 2)], id + "-2", booking, runs);
            doubled += first.ran && second.ran ? 1 : 0;
        }
        sleep_ms(next - now_ms());
    }
    note(std::to_string(bookings) + " bookings sent; " + std::to_string(served) +
         " served at the first attempt; " + std::to_string(broken) +
         " answered with a promise that they did not run, though they had; " + std::to_string(doubled) +
         " of these booked twice");
    gateways.clear();
    if (served < bookings / 2) {
        note("too few bookings were served to judge");
        return 2;
    }
    note(broken > 0 ? "REFUSED is broken" : "REFUSED holds");
    std::_Exit(broken > 0 ? 1 : 0);
}
