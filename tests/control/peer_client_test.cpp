#include "control/peer_client.h"
#include "support/fault_cell.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <future>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>
#include <memory>
#include <thread>

using namespace dragonflymill;

FAULT_CELL(process_stop, connection_silent)
{
    // The client is destroyed during a planned stop while a fetch from a peer that accepts connections but
    // never replies is pending. The call's completion on a gRPC thread must not run after the destruction and
    // access freed memory.
    boost::asio::io_context context;
    const boost::asio::ip::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    const boost::asio::ip::tcp::acceptor silent(context, any);
    const auto address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    std::atomic<bool> destroyed{false};
    std::atomic<bool> ended{false};
    std::atomic<bool> ended_late{false};
    auto client = std::make_unique<control::peer_client>(1s);
    client->fetch_manifest(address, [&](const std::optional<std::string>& /*manifest*/) {
        ended_late = destroyed.load();
        ended = true;
    });
    client.reset();
    destroyed = true;
    while (!ended) {
        std::this_thread::yield();
    }
    cr_assert_not(ended_late);
}

Test(peer_client, returns_shares_of_several_accounts_in_order)
{
    const process_id home("home");
    control::peer_service_handlers handlers;
    handlers.on_shares_asked = [&](const std::vector<share_request>& asked) {
        cr_assert(asked.size() == 2 && asked[0].gateway == process_id("g") && asked[1].held == 0.25);
        return std::vector<share_grant>{{asked[0].account, home, true, asked[0].demand, 6s},
                                        {asked[1].account, process_id("other"), false, 0, 0s}};
    };
    control::peer_service service(std::move(handlers));
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    const auto server = builder.BuildAndStart();
    const control::peer_client client(10s);
    std::promise<std::vector<share_grant>> answer;
    client.ask_shares("127.0.0.1:" + std::to_string(port),
                      {{client_account_id("a"), process_id("g"), 0.5, 0},
                       {client_account_id("b"), process_id("g"), 0.1, 0.25}},
                      [&](std::vector<share_grant> grants) { answer.set_value(std::move(grants)); });
    const auto grants = answer.get_future().get();
    cr_assert(grants.size() == 2);
    const share_grant expected{client_account_id("a"), home, true, 0.5, 6s};
    cr_assert(grants[0] == expected);
    cr_assert(!grants[1].is_home && grants[1].account == client_account_id("b"));
    server->Shutdown();
}
