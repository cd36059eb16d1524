#include "standins/http_server.h"

#include "standins/http_session.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace dragonflymill::standins {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

auto field_value(const std::vector<http_field>& fields, std::string_view name) -> std::string
{
    const auto found =
        std::find_if(fields.begin(), fields.end(), [name](const auto& field) { return field.first == name; });
    return found == fields.end() ? std::string() : found->second;
}

} // namespace

auto http_request::header(std::string_view name) const -> std::string
{
    return field_value(headers, name);
}

auto http_request::parameter(std::string_view name) const -> std::string
{
    return field_value(query, name);
}

http_exchange::http_exchange(std::shared_ptr<http_session> session, std::uint64_t number)
    : session_(std::move(session))
    , number_(number)
{
}

void http_exchange::send(unsigned status, std::string_view body, const std::vector<http_field>& headers) const
{
    session_->send(number_, status, body, headers);
}

void http_exchange::open_stream(std::string_view content_type) const
{
    session_->open_stream(number_, content_type);
}

void http_exchange::write(std::string_view data) const
{
    session_->write_chunk(number_, data);
}

void http_exchange::end_stream() const
{
    session_->end_stream(number_);
}

void http_exchange::drop() const
{
    session_->close_when_written();
}

void http_exchange::on_closed(std::function<void()> callback) const
{
    session_->on_closed(number_, std::move(callback));
}

class http_server::state : public std::enable_shared_from_this<http_server::state>
{
public:
    state(asio::io_context& io, handler handle)
        : handle_(std::move(handle))
        , acceptor_(io)
        , resume_timer_(io)
    {
    }

    void listen(std::uint16_t port)
    {
        const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        port_ = acceptor_.local_endpoint().port();
        accept();
    }

    void close()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        const auto sessions = std::move(sessions_);
        sessions_.clear();
        for (const auto& session : sessions) {
            session->close();
        }
    }

    void silence()
    {
        for (const auto& session : sessions_) {
            session->silence();
        }
    }

    void pause(duration length)
    {
        paused_ = true;
        for (const auto& session : sessions_) {
            session->hold(true);
        }
        resume_timer_.expires_after(length);
        resume_timer_.async_wait([self = shared_from_this()](const auto& code) {
            if (!code) {
                self->resume();
            }
        });
    }

    [[nodiscard]] auto paused() const -> bool { return paused_; }
    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

private:
    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](const auto& code, tcp::socket socket) {
            if (code) {
                return;
            }
            self->begin(std::move(socket));
            self->accept();
        });
    }

    void begin(tcp::socket socket)
    {
        const std::weak_ptr<state> weak = weak_from_this();
        auto session = std::make_shared<http_session>(std::move(socket), handle_,
                                                      [weak](const std::shared_ptr<http_session>& ended) {
                                                          if (const auto self = weak.lock()) {
                                                              self->sessions_.erase(ended);
                                                          }
                                                      });
        sessions_.insert(session);
        session->hold(paused_);
        session->start();
    }

    void resume()
    {
        paused_ = false;
        const auto sessions = sessions_;
        for (const auto& session : sessions) {
            session->hold(false);
        }
    }

    handler handle_;
    tcp::acceptor acceptor_;
    asio::steady_timer resume_timer_;
    std::set<std::shared_ptr<http_session>> sessions_;
    std::uint16_t port_ = 0;
    bool paused_ = false;
};

http_server::http_server(asio::io_context& io, std::uint16_t port, handler handle)
    : state_(std::make_shared<state>(io, std::move(handle)))
{
    state_->listen(port);
}

http_server::~http_server()
{
    state_->close();
}

auto http_server::port() const -> std::uint16_t
{
    return state_->port();
}

void http_server::silence()
{
    state_->silence();
}

void http_server::pause(duration length)
{
    state_->pause(length);
}

auto http_server::paused() const -> bool
{
    return state_->paused();
}

void http_server::close()
{
    state_->close();
}

void http_server::reopen()
{
    state_->listen(state_->port());
}

} // namespace dragonflymill::standins
