#include "gateway_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// Names of the parts of prompts: the first one of every prompt, and one that crashes upstreams.
constexpr const char* first_part = "a1";
constexpr const char* crashing_part = "bad7";

auto parts_field(const std::string& middle, int call) -> std::string
{
    return std::string("Tokens: 100,10\r\nParts: ") + first_part + ":40," + middle + ":30,c" +
           std::to_string(call) + ":30\r\n";
}

/// Engines that crash as soon as they answer a call with the crashing part, and answer all others.
class crashing_engines
{
public:
    crashing_engines(gateway_fixture& fixture, int count)
    {
        for (int engine = 0; engine < count; ++engine) {
            engines_.push_back(&fixture.add_upstream("engines", [this, engine](taken_connection& call) {
                if (call.received.find(crashing_part) == std::string::npos) {
                    call.send(complete_stream("served"));
                    return;
                }
                ++crashes;
                engines_[static_cast<std::size_t>(engine)]->crash();
            }));
        }
    }

    int crashes = 0;

private:
    std::vector<standin_upstream*> engines_;
};

/// Lets time pass, so that crashes count as separate ones.
void wait_between_calls(gateway_fixture& fixture)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(150);
    fixture.run_until([&] { return std::chrono::steady_clock::now() >= end; });
}

} // namespace

// Guards against calls with a part that crashes upstreams being carried from one upstream to the next, as in
// the incident in which 56 of them were sent after five upstreams had ended under that part.
Test(crashing_part, is_sent_to_no_more_upstreams_after_it_crashed_five)
{
    constexpr int allowed = 5 + 3;
    gateway_fixture fixture;
    crashing_engines engines(fixture, 14);
    fixture.start();
    for (int call = 0; call < 14; ++call) {
        fixture.received.clear();
        fixture.send("POST", "/chat/1", parts_field(crashing_part, call), "hello");
        fixture.run_until_received("\r\n\r\n");
        cr_assert(!fixture.received.starts_with("HTTP/1.1 200 "));
        cr_assert(engines.crashes <= allowed, "%d upstreams crashed", engines.crashes);
        fixture.received.clear();
        fixture.send("POST", "/chat/1", parts_field("b2", call), "hello");
        fixture.run_until_received("served");
        wait_between_calls(fixture);
    }
}
