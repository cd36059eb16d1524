// The stand-ins of the review's scripts: the platform's store, replicas and clients.
//
// standin-2 store at=IP:PORT
// standin-2 put to=IP:PORT key=KEY file=FILE     the operator, or a replica, writes an item
// standin-2 delete to=IP:PORT key=KEY            ... removes one
// standin-2 ready to=IP:PORT                     waits until a gateway is ready; 1 after ten seconds
// standin-2 replica at=IP:PORT id=ID
// standin-2 slow-client to=IP:PORT host=HOST path=PATH key=KEY bytes=N rate=N deadline=MS name=NAME
// standin-2 resting-clients to=IP:PORT host=HOST path=PATH key=KEY count=N rest=MS bytes=N deadline=MS
// standin-2 steady-clients to=IP:PORT,... host=HOST path=PATH key=KEY rate=N seconds=N deadline=MS

#include "client.h"
#include "net.h"
#include "replica.h"
#include "store.h"

namespace {

using namespace standin;

auto call(const std::string& address, const std::string& request) -> std::optional<message>
{
    connection to;
    if (!to.connect(address) || !to.send(request)) {
        return std::nullopt;
    }
    return read_message(to, 2s);
}

auto write_item(const options& given, const std::string& method) -> int
{
    std::ifstream file(given.text("file"));
    std::stringstream value;
    value << file.rdbuf();
    const auto answer =
        call(given.text("to"), method + " /standin?key=" + given.text("key") +
                                   " HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
                                   std::to_string(value.str().size()) + "\r\n\r\n" + value.str());
    return answer && answer->word(1) == "200" ? 0 : 2;
}

auto wait_until_ready(const options& given) -> int
{
    for (int i = 0; i < 100; ++i) {
        const auto answer = call(given.text("to"), "GET /dragonflymill/ready HTTP/1.1\r\nHost: ready\r\n"
                                                   "Connection: close\r\n\r\n");
        if (answer && answer->word(1) == "200") {
            return 0;
        }
        std::this_thread::sleep_for(100ms);
    }
    return 1;
}

} // namespace

auto main(int count, char** words) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string verb = count > 1 ? words[1] : "";
    const options given(count, words);
    if (verb == "store") {
        store().run(given);
    }
    if (verb == "replica") {
        replica().run(given);
    }
    if (verb == "put" || verb == "delete") {
        return write_item(given, verb == "put" ? "POST" : "DELETE");
    }
    if (verb == "ready") {
        return wait_until_ready(given);
    }
    if (verb == "slow-client") {
        return slow_client().run(given);
    }
    if (verb == "resting-clients") {
        return resting_clients().run(given);
    }
    if (verb == "steady-clients") {
        return steady_clients().run(given);
    }
    std::cerr << "unknown verb; see the head of standin.cpp\n";
    return 2;
}
