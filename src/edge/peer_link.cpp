#include "edge/peer_link.h"

#include "edge/caller_listener.h"
#include "edge/peer_codec.h"
#include "edge/socket_options.h"
#include "fleet.pb.h"
#include "runtime/clock.h"
#include "settings/listening_socket.h"
#include "settings/socket_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <utility>

namespace dragonflymill::edge {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

namespace {

/// Frames between gateways consist of a big-endian length of four bytes and a message.
constexpr std::size_t length_bytes = 4;
/// Allows for some thousand records of a few hundred bytes and a configuration of a megabyte. A frame takes
/// memory from its first byte on, of the half of a small host's that isn't for callers.
constexpr std::uint32_t max_frame_bytes = 4'194'304;

auto framed(const std::string& message) -> std::string
{
    std::string frame(length_bytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()), // NOLINT
                                 static_cast<std::uint32_t>(message.size()));
    return frame + message;
}

auto length_of(const std::array<char, length_bytes>& head) -> std::uint32_t
{
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(head.data())); // NOLINT
}

template <typename Message>
auto parsed(std::string_view bytes) -> std::optional<Message>
{
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    return message;
}

} // namespace

/// Serves one fetch of a peer.
class peer_link::fetch_responder : public std::enable_shared_from_this<peer_link::fetch_responder>
{
public:
    /// `serving` counts the responders that exist.
    fetch_responder(tcp::socket socket, peer_link& link, std::shared_ptr<std::size_t> serving)
        : socket_(std::move(socket))
        , link_(link)
        , serving_(std::move(serving))
    {
        ++*serving_;
    }
    ~fetch_responder() { --*serving_; }
    fetch_responder(const fetch_responder&) = delete;
    auto operator=(const fetch_responder&) -> fetch_responder& = delete;

    void start()
    {
        set_socket_options(socket_);
        timer_ = link_.timers_.at(runtime::now() + fetch_timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                boost::system::error_code ignored; // the peer retries with another gateway
                self->socket_.close(ignored);
            }
        });
        asio::async_read(socket_, asio::buffer(head_),
                         [self = shared_from_this()](const boost::system::error_code& failed, std::size_t) {
                             if (!failed && length_of(self->head_) <= max_request_bytes) {
                                 self->read_request();
                             }
                         });
    }

private:
    static constexpr std::uint32_t max_request_bytes = 64;

    void read_request()
    {
        request_.resize(length_of(head_));
        asio::async_read(socket_, asio::buffer(request_),
                         [self = shared_from_this()](const boost::system::error_code& failed, std::size_t) {
                             if (!failed) {
                                 self->answer();
                             }
                         });
    }

    void answer()
    {
        const auto request = parsed<wire::RecordsRequest>(request_);
        if (!request) {
            return;
        }
        reply_ = link_.reply_to(request->after());
        if (reply_ == nullptr) {
            return;
        }
        asio::async_write(socket_, asio::buffer(*reply_),
                          [self = shared_from_this()](const boost::system::error_code&, std::size_t) {
                              self->link_.timers_.cancel(*self->timer_);
                          });
    }

    tcp::socket socket_;
    peer_link& link_;
    std::shared_ptr<std::size_t> serving_;
    std::array<char, length_bytes> head_{};
    std::string request_;
    std::shared_ptr<const std::string> reply_;
    std::optional<timer_id> timer_;
};

/// Fetches records from a peer.
class peer_link::fetch_request : public std::enable_shared_from_this<peer_link::fetch_request>
{
public:
    fetch_request(peer_link& link, std::string address, std::uint64_t after)
        : link_(link)
        , socket_(link.loop_)
        , address_(std::move(address))
    {
        wire::RecordsRequest request;
        request.set_after(after);
        request_ = framed(request.SerializeAsString());
    }

    void start()
    {
        const auto endpoint = parse_tcp_endpoint(address_);
        timer_ = link_.timers_.at(runtime::now() + fetch_timeout, [self = shared_from_this()] {
            self->timer_.reset();
            self->end("no answer within its limit");
        });
        if (!endpoint) {
            end("its address can't be read");
            return;
        }
        socket_.async_connect(endpoint.value(),
                              [self = shared_from_this()](const boost::system::error_code& refused) {
                                  refused ? self->end(refused.message()) : self->send_request();
                              });
    }

private:
    void send_request()
    {
        if (finished_) {
            return;
        }
        set_socket_options(socket_);
        asio::async_write(socket_, asio::buffer(request_),
                          [self = shared_from_this()](const boost::system::error_code& failed, std::size_t) {
                              failed ? self->end(failed.message()) : self->read_head();
                          });
    }

    void read_head()
    {
        asio::async_read(socket_, asio::buffer(head_),
                         [self = shared_from_this()](const boost::system::error_code& failed, std::size_t) {
                             const bool usable = !failed && length_of(self->head_) <= max_frame_bytes;
                             usable ? self->read_reply() : self->end("the answer can't be read");
                         });
    }

    void read_reply()
    {
        reply_.resize(length_of(head_));
        asio::async_read(socket_, asio::buffer(reply_),
                         [self = shared_from_this()](const boost::system::error_code& failed, std::size_t) {
                             self->end(failed ? failed.message() : "");
                         });
    }

    void end(const std::string& why)
    {
        if (std::exchange(finished_, true)) {
            return;
        }
        if (timer_) {
            link_.timers_.cancel(*timer_);
        }
        boost::system::error_code ignored; // the fetch has ended either way
        socket_.close(ignored);
        link_.fetching_ = false;
        const auto update = why.empty() ? decode_records_update(reply_) : std::nullopt;
        if (update) {
            link_.handlers_.on_records(*update, address_);
        }
        else {
            link_.handlers_.on_fetch_failed(why.empty() ? "the answer can't be decoded" : why);
        }
    }

    peer_link& link_;
    tcp::socket socket_;
    std::string address_;
    std::string request_;
    std::string reply_;
    std::array<char, length_bytes> head_{};
    std::optional<timer_id> timer_;
    bool finished_ = false;
};

peer_link::peer_link(asio::io_context& loop, loop_timers& timers, handlers callbacks, std::size_t max_serving)
    : loop_(loop)
    , timers_(timers)
    , handlers_(std::move(callbacks))
    , datagrams_(loop)
    , acceptor_(loop)
    , max_serving_(max_serving)
{
}

peer_link::~peer_link() = default;

auto peer_link::listen(const socket_address& address) -> result<void>
{
    const auto endpoint = udp_endpoint(address);
    if (!endpoint) {
        return endpoint.error();
    }
    boost::system::error_code failed;
    datagrams_.open(endpoint.value().protocol(), failed);
    if (!failed) {
        datagrams_.bind(endpoint.value(), failed);
    }
    if (failed) {
        return error(error_kind::unavailable,
                     "can't listen for gateways on " + to_text(address) + ": " + failed.message(),
                     "free the address or change it in the settings");
    }
    if (auto listening = open_listening(acceptor_, address); !listening) {
        return listening;
    }
    datagrams_.non_blocking(true, failed);
    receive();
    accept();
    return success();
}

void peer_link::receive()
{
    datagrams_.async_receive_from(
        asio::buffer(buffer_), sender_, [this](const boost::system::error_code& failed, std::size_t bytes) {
            if (failed == asio::error::operation_aborted) {
                return;
            }
            // An error here reports that an earlier datagram couldn't be delivered; it affects no received
            // one.
            if (!failed) {
                if (const auto datagram = decode_datagram({buffer_.data(), bytes})) {
                    handlers_.on_datagram(*datagram);
                }
            }
            receive();
        });
}

void peer_link::accept()
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
        if (*serving_ < max_serving_) {
            std::make_shared<fetch_responder>(std::move(socket), *this, serving_)->start();
        }
        accept();
    });
}

auto peer_link::reply_to(std::uint64_t after) -> std::shared_ptr<const std::string>
{
    const direct::records_update update = handlers_.records_since(after);
    if (auto same = last_reply_.lock();
        same && last_reply_after_ == after && last_reply_revision_ == update.as_of) {
        return same;
    }
    std::string bytes = framed(encode_records_update(update));
    if (*reply_bytes_ > 0 && *reply_bytes_ + bytes.size() > max_reply_bytes) {
        return nullptr;
    }
    *reply_bytes_ += bytes.size();
    auto reply = std::shared_ptr<const std::string>(
        new std::string(std::move(bytes)), [total = reply_bytes_](const std::string* sent) {
            *total -= sent->size();
            delete sent; // NOLINT(cppcoreguidelines-owning-memory)
        });
    last_reply_ = reply;
    last_reply_after_ = after;
    last_reply_revision_ = update.as_of;
    return reply;
}

void peer_link::send(const direct::peer_datagram& datagram, const std::vector<std::string>& addresses)
{
    if (addresses.empty()) {
        return;
    }
    const std::string bytes = encode_datagram(datagram);
    for (const std::string& text : addresses) {
        // A datagram that can't be sent counts as lost; the next digest repeats its content.
        if (const auto endpoint = parse_udp_endpoint(text)) {
            boost::system::error_code ignored;
            datagrams_.send_to(asio::buffer(bytes), endpoint.value(), 0, ignored);
        }
    }
}

void peer_link::fetch(const std::string& address, std::uint64_t after)
{
    if (fetching_) {
        return;
    }
    fetching_ = true;
    std::make_shared<fetch_request>(*this, address, after)->start();
}

} // namespace dragonflymill::edge
