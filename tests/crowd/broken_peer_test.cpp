#include "crowd/caller_crowd.h"
#include "crowd/crowd_gateway.h"
#include "dragonflymill/direct/peer_message.h"
#include "edge/peer_codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <memory>
#include <string>
#include <vector>

using namespace dragonflymill::crowd;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;

/// A gateway that announces a newer revision and answers each fetch of records with the same bytes.
class broken_peer
{
public:
    broken_peer(boost::asio::io_context& loop, std::string reply)
        : acceptor_(loop, {boost::asio::ip::address_v4::loopback(), 0})
        , datagrams_(loop, udp::v4())
        , reply_(std::move(reply))
    {
        accept();
    }
    ~broken_peer() = default;
    broken_peer(const broken_peer&) = delete;
    auto operator=(const broken_peer&) -> broken_peer& = delete;

    /// Sends a digest to a gateway.
    void announce(const tcp::endpoint& gateway)
    {
        dragonflymill::direct::peer_message message;
        message.digest.gateway = "peer";
        message.digest.sequence = ++sequence_;
        message.digest.address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        message.digest.revision = 1'000'000;
        message.digest.failure_domain = "a";
        datagrams_.send_to(
            boost::asio::buffer(dragonflymill::edge::encode_datagram({"", false, {std::move(message)}})),
            {gateway.address(), gateway.port()});
    }
    /// Number of fetches that have begun; the gateway begins one when the one before it has ended.
    [[nodiscard]] auto fetches() const -> int { return fetches_; }

private:
    void accept()
    {
        acceptor_.async_accept([this](const auto& failed, tcp::socket accepted) {
            if (failed) {
                return;
            }
            ++fetches_;
            open_.push_back(std::make_shared<tcp::socket>(std::move(accepted)));
            boost::asio::async_write(*open_.back(), boost::asio::buffer(reply_),
                                     [socket = open_.back()](const auto&, std::size_t /*bytes*/) {});
            accept();
        });
    }

    tcp::acceptor acceptor_;
    udp::socket datagrams_;
    std::string reply_;
    std::vector<std::shared_ptr<tcp::socket>> open_;
    std::uint64_t sequence_ = 0;
    int fetches_ = 0;
};

} // namespace

// Guards against memory that is used up by long answers of a peer that can't be decoded, or that stop short,
// beside callers that fill theirs.
Test(broken_peer, with_long_answers_does_not_use_up_memory, .timeout = 250)
{
    const std::string of_4_mib = std::string{'\0', '\x40', '\0', '\0'} + std::string(4 * mebibyte, '\n');
    const std::string of_16_mib = std::string{'\1', '\0', '\0', '\0'} + std::string(16 * mebibyte, '\n');
    for (const std::string& reply : {of_4_mib, of_4_mib.substr(0, of_4_mib.size() - 1), of_16_mib,
                                     of_16_mib.substr(0, of_16_mib.size() - 1)}) {
        crowd_gateway gateway({});
        constexpr std::size_t members = 100;
        caller_crowd crowd(
            gateway.loop(), gateway.callers(), members,
            {crowd_gateway::request_head("/book/large") + "Content-Length: 2\r\n\r\nhi", "", 0, "", false});
        crowd.run_until_sent();
        broken_peer peer(gateway.loop(), reply);
        constexpr int fetches = 5;
        cr_assert(gateway.comes_true([&] {
            peer.announce(gateway.peers());
            return peer.fetches() >= fetches;
        }),
                  "%d fetches", peer.fetches());
        cr_assert(gateway.answers(), "no ordinary request is answered");
        gateway.check_bounds();
    }
}
