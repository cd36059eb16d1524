#include "edge/status_port.h"

#include "edge/caller_listener.h"
#include "runtime/clock.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace dragonflymill::edge {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

status_port::status_port(const char* name, asio::io_context& loop, loop_timers& timers,
                         status_pages::sources shown)
    : loop_(loop)
    , timers_(timers)
    , pages_(std::move(shown),
             [this](caller_session* session) {
                 // Deferred: the session that has ended is still on the call stack.
                 asio::post(loop_, [this, ended = session->shared_from_this()] { sessions_.erase(ended); });
             })
    , log_(name)
    , acceptor_(loop)
{
}

auto status_port::open(const socket_address& address) -> result<void>
{
    if (auto opened = open_logged(acceptor_, address); !opened) {
        return opened;
    }
    accept();
    return success();
}

void status_port::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code& failed, tcp::socket socket) {
        if (failed == asio::error::operation_aborted) {
            return;
        }
        if (failed) {
            // Out of descriptors, as a rule; accepting again at once would fail again at once.
            timers_.at(runtime::now() + accept_retry_delay, [this] { accept(); });
            return;
        }
        auto session = std::make_shared<caller_session>(std::move(socket), timers_, pages_);
        sessions_.insert(session);
        session->start();
        accept();
    });
}

} // namespace dragonflymill::edge
