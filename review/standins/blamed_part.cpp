// Six model replicas that end their streams with the connection. Requests with one part in their prompts
// crash each replica that begins to answer them; once, a replica crashes by itself. Sound requests share the
// first part of the prompt and the caller with those that crash.
//
// Exits with 1 if sound requests begin at the first attempt less than half as often as before, from twice the
// stable window after the fifth crash on; with 0 if not; with 2 if the case can't run. Arguments: folder for
// temporary files, file of the record, 1 with the disruption or 0 without it, optionally `chunked` for
// streams with chunks.
#include "rig.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>

using namespace review;

namespace {

constexpr int engines = 6;
constexpr std::int64_t stable_window_ms = 3000;
constexpr std::int64_t quiet_until_ms = 10'000;  // of traffic: the base to compare with
constexpr std::int64_t own_crash_at_ms = 24'000; // a replica crashes by itself
constexpr std::int64_t length_ms = 60'000;
constexpr std::int64_t sound_interval_ms = 50;
constexpr std::int64_t deadly_interval_ms = 700;
constexpr std::int64_t lapse_ms = 3600; // three heartbeats
constexpr std::int64_t down_ms = 4500;
constexpr int events = 10;
constexpr std::int64_t event_ms = 30;
constexpr const char* deadly_part = "dead0001";

const std::string config =
    R"({"version":7,"routes":[{"name":"r-ask","host":"desk.example","pathPrefix":"/ask/","kind":"streaming",)"
    R"("timeoutMs":10000,"latencyGoalMs":300,"priority":1,"service":"llm","maxAttempts":2,"allowAnonymous":false,)"
    R"("sessionAffinity":true,"streamResume":true,"gapAimMs":200}],"services":[{"name":"llm","healthPath":"/health",)"
    R"("maxConns":424,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0,"engine":{"slots":16,)"
    R"("kvCapacity":450000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":46,"models":[{"name":"m"}],)"
    R"("step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,)"
    R"("chunk":2048,"hopMs":0.1}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key1"],"priority":1}]})";

std::atomic<int> deadly_crashes{0};
std::atomic<std::int64_t> last_crash_ms{0};
std::atomic<std::int64_t> fifth_crash_ms{0};

class engine
{
public:
    engine(int number, const std::string& ip, store& platform, bool chunked)
        : number_(number)
        , platform_(platform)
        , chunked_(chunked)
        , server_(ip, 8080, [this](connection& caller) { serve(caller); })
    {
        publish();
    }
    [[nodiscard]] auto listening() const -> bool { return server_.listening(); }
    /// Requests that it is answering.
    [[nodiscard]] auto busy() const -> int { return busy_; }
    void crash(const std::string& why)
    {
        {
            const std::lock_guard lock(mutex_);
            if (down_) {
                return;
            }
            down_ = true;
            ++generation_;
        }
        note(id() + " crashes: " + why);
        if (why != "by itself") {
            last_crash_ms = now_ms();
            if (++deadly_crashes == 5) {
                fifth_crash_ms = now_ms();
            }
        }
        std::thread([this] {
            server_.close();
            const std::string old = id();
            sleep_ms(lapse_ms);
            platform_.remove("servers/" + old);
            sleep_ms(down_ms - lapse_ms);
            ++start_;
            server_.open();
            {
                const std::lock_guard lock(mutex_);
                down_ = false;
            }
            publish();
        }).detach();
    }

private:
    [[nodiscard]] auto id() const -> std::string
    {
        return "i-llm" + std::to_string(number_) + "-" + std::to_string(start_.load());
    }
    void publish()
    {
        platform_.put("servers/" + id(),
                      R"({"service":"llm","address":")" + server_.address() +
                          R"(","zone":"zone-a","version":"v1","slots":16,"state":"ready",)"
                          R"("coldLeftMs":0,"stage":"both","models":[{"name":"m","version":1,)"
                          R"("adapters":[]}],"sequence":1})");
        note(id() + " is ready");
    }
    void serve(connection& caller)
    {
        const int generation = generation_;
        for (;;) {
            const message call = caller.read(false, 5000);
            if (!call.complete) {
                return;
            }
            if (generation != generation_) {
                caller.reset();
                return;
            }
            if (call.target() == "/dragonflymill/report") {
                const std::string report =
                    R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,)"
                    R"("waiting":0,"running":0,"kvUsed":0,"kvTotal":450000,"handles":0})";
                (void)caller.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                   std::to_string(report.size()) + "\r\n\r\n" + report);
                continue;
            }
            if (call.field("dragonflymill-expect-instance") != id()) {
                (void)caller.write("HTTP/1.1 421 Misdirected Request\r\nDragonflymill-Instance-Id: " + id() +
                                   "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++busy_;
            answer(caller, call, generation);
            --busy_;
            return;
        }
    }
    void answer(connection& caller, const message& call, int generation)
    {
        const std::string request = call.field("dragonflymill-attempt-id");
        note("request " + request + " runs at " + id());
        sleep_ms(60);
        (void)caller.write("HTTP/1.1 200 OK\r\nDragonflymill-Attempt-Id: " + request +
                           "\r\nDragonflymill-Server-Seal: seal-" + id() +
                           "\r\nContent-Type: text/event-stream\r\n" +
                           (chunked_ ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
        if (call.field("dragonflymill-prompt-prefix").find(deadly_part) != std::string::npos) {
            crash("it begins to answer " + request);
        }
        const int first = std::atoi(call.field("last-event-id").c_str()) + 1;
        for (int i = first; i <= events; ++i) {
            if (generation != generation_) {
                caller.reset();
                return;
            }
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + request + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!caller.write(chunked_ ? size + event + "\r\n" : event)) {
                return;
            }
            sleep_ms(event_ms);
        }
        if (chunked_) {
            (void)caller.write("0\r\n\r\n");
        }
    }

    int number_;
    store& platform_;
    bool chunked_;
    std::mutex mutex_;
    bool down_ = false;
    std::atomic<int> generation_{0};
    std::atomic<int> busy_{0};
    std::atomic<int> start_{1};
    server server_;
};

struct tally
{
    std::atomic<int> sent{0};
    std::atomic<int> begun{0};
};

/// Sends one request; returns the status and whether an event came.
void ask(const gateway& to, const std::string& id, bool deadly, tally* counted)
{
    const std::string parts =
        deadly ? std::string("aa01:40,") + deadly_part + ":200," + id + ":4700" : "aa01:40," + id + ":4920";
    message answer;
    note("client sends " + id + " to " + to.name() + ", parts " + parts);
    if (const auto opened = connection::open(to.front(), 1000)) {
        (void)opened->write("POST /ask/x HTTP/1.1\r\nHost: desk.example\r\nDragonflymill-Attempt-Id: " + id +
                            "\r\nDragonflymill-Model: m\r\nDragonflymill-Token-Count: 4960,460\r\n"
                            "Dragonflymill-Prompt-Prefix: " +
                            parts +
                            "\r\nDragonflymill-Request-Deadline: 10000\r\nAuthorization: Bearer key1\r\n"
                            "Content-Length: " +
                            std::to_string(id.size()) + "\r\n\r\n" + id);
        answer = opened->read(true, 10'000);
    }
    const bool begun = answer.status() == 200 && answer.body.find("id: 1\n") != std::string::npos;
    if (counted != nullptr) {
        ++counted->sent;
        counted->begun += begun ? 1 : 0;
    }
    note("client: " + id + " through " + to.name() + " -> " + std::to_string(answer.status()) +
         (begun ? ", begun" : ", not begun") + (answer.complete ? "" : ", cut") +
         (answer.status() == 503 ? " " + answer.body : ""));
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
    const bool chunked = count > 4 && std::strcmp(words[4], "chunked") == 0;
    const std::string net = network();
    store platform(net + "100", 8223);
    platform.put("op/config", config);
    std::vector<std::unique_ptr<engine>> servers;
    bool listening = platform.listening();
    for (int i = 0; i < engines; ++i) {
        servers.push_back(std::make_unique<engine>(i, net + std::to_string(20 + i), platform, chunked));
        listening = listening && servers.back()->listening();
    }
    if (!listening) {
        note("an address is taken");
        return 2;
    }
    std::vector<std::unique_ptr<gateway>> gateways;
    const std::vector<std::string> seeds{net + "1", net + "2"};
    for (std::size_t i = 0; i < 2; ++i) {
        gateways.push_back(std::make_unique<gateway>("front-" + std::to_string(i + 1), seeds[i], "zone-a"));
        gateways.back()->configure(folder, platform.address(), seeds);
        if (!gateways.back()->start()) {
            return 2;
        }
    }
    if (!wait_ready(gateways, 10'000)) {
        return 2;
    }
    sleep_ms(1500);
    const std::int64_t began = now_ms();
    tally base;
    tally between;
    tally after;
    std::vector<std::thread> asking;
    std::int64_t next_deadly = quiet_until_ms;
    bool own_crash_due = trouble;
    int deadly = 0;
    for (int i = 0; now_ms() - began < length_ms; ++i) {
        const std::int64_t at = now_ms() - began;
        const std::int64_t crashed = fifth_crash_ms > 0 ? fifth_crash_ms.load() : last_crash_ms.load();
        const bool counts_after = trouble ? at > own_crash_at_ms + down_ms + stable_window_ms &&
                                                crashed > 0 && now_ms() > crashed + 2 * stable_window_ms
                                          : at > own_crash_at_ms + down_ms + stable_window_ms;
        tally* counted = at < quiet_until_ms - 500 ? &base : counts_after ? &after : &between;
        asking.emplace_back([&, i, counted] {
            ask(*gateways[static_cast<std::size_t>(i % 2)], "50" + std::to_string(10000 + i), false, counted);
        });
        if (trouble && at >= next_deadly) {
            next_deadly += deadly_interval_ms;
            const int number = ++deadly;
            asking.emplace_back([&, number] {
                ask(*gateways[static_cast<std::size_t>(number % 2)], "de" + std::to_string(10000 + number),
                    true, nullptr);
            });
        }
        if (own_crash_due && at >= own_crash_at_ms) {
            own_crash_due = false;
            const auto less_busy = [](const auto& a, const auto& b) { return a->busy() < b->busy(); };
            (*std::max_element(servers.begin(), servers.end(), less_busy))->crash("by itself");
        }
        sleep_ms(began + (i + 1) * sound_interval_ms - now_ms());
    }
    for (std::thread& one : asking) {
        one.join();
    }
    const double before = base.sent > 0 ? 1.0 * base.begun / base.sent : 0.0;
    const double later = after.sent > 0 ? 1.0 * after.begun / after.sent : 0.0;
    note(std::to_string(deadly_crashes.load()) +
         " replicas crashed under requests with the part; sound requests begun: " +
         std::to_string(base.begun.load()) + " of " + std::to_string(base.sent.load()) + " before, " +
         std::to_string(between.begun.load()) + " of " + std::to_string(between.sent.load()) +
         " meanwhile, " + std::to_string(after.begun.load()) + " of " + std::to_string(after.sent.load()) +
         " after");
    gateways.clear();
    if (base.sent < 20 || after.sent < 20 || before < 0.5) {
        note("too few requests to judge");
        std::_Exit(2);
    }
    note(later < before / 2 ? "LOST is broken" : "LOST holds");
    std::_Exit(later < before / 2 ? 1 : 0);
}
