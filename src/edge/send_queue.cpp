#include "edge/send_queue.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace dragonflymill::edge {

namespace asio = boost::asio;

auto send_queue::send(std::string_view bytes, const std::shared_ptr<void>& owner) -> bool
{
    if (queue_.empty()) {
        boost::system::error_code failed;
        const std::size_t written = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), failed);
        sent_ += written;
        bytes.remove_prefix(written);
        if (failed && failed != asio::error::would_block && failed != asio::error::try_again) {
            record_error(failed);
            return false;
        }
    }
    queue_.append(bytes);
    if (!queue_.empty()) {
        wait_until_writable(owner);
    }
    return true;
}

void send_queue::record_error(const boost::system::error_code& failed)
{
    if (!write_error_) {
        write_error_ = failed;
    }
}

void send_queue::wait_until_writable(const std::shared_ptr<void>& owner)
{
    if (writing_) {
        return;
    }
    writing_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [this, owner](const boost::system::error_code& failed) {
                           writing_ = false;
                           boost::system::error_code broken = failed;
                           std::size_t written = 0;
                           if (!broken) {
                               written = socket_.write_some(asio::buffer(queue_), broken);
                           }
                           sent_ += written;
                           queue_.erase(0, written);
                           if (broken == asio::error::would_block || broken == asio::error::try_again) {
                               broken = {};
                           }
                           if (!broken && !queue_.empty()) {
                               wait_until_writable(owner);
                               return;
                           }
                           clear();
                           record_error(broken);
                           if (done_) {
                               done_(static_cast<bool>(broken));
                           }
                       });
}

} // namespace dragonflymill::edge
