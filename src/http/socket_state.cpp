#include "http/socket_state.h"

#include <linux/sockios.h>
#include <sys/socket.h>

namespace dragonflymill::http {

namespace {

/// Query of the number of bytes that were written to a socket and not acknowledged.
class unacknowledged_bytes
{
public:
    [[nodiscard]] static auto name() -> int { return SIOCOUTQ; }
    [[nodiscard]] auto data() -> void* { return &value_; }
    [[nodiscard]] auto value() const -> int { return value_; }

private:
    int value_ = 0;
};

using pending_error = boost::asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR>;

} // namespace

auto is_all_acknowledged(boost::asio::ip::tcp::socket& socket) -> bool
{
    // A query that fails leaves its value at 0: the socket is open, so that the system doesn't know the
    // query.
    boost::system::error_code ignored;
    unacknowledged_bytes unacknowledged;
    socket.io_control(unacknowledged, ignored);
    pending_error pending;
    socket.get_option(pending, ignored);
    return unacknowledged.value() == 0 && pending.value() == 0;
}

} // namespace dragonflymill::http
