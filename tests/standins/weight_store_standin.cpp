#include "standins/weight_store_standin.h"

#include "standins/json_fields.h"
#include "standins/standin_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace dragonflymill::standins {

namespace json = boost::json;

namespace {

constexpr int chunk_count = 16;

} // namespace

class weight_store_standin::state
{
public:
    explicit state(const weight_store_standin_settings& settings)
        : settings_(settings)
    {
        server_.start(settings_.port,
                      [this](const auto& request, const auto& exchange) { answer(request, exchange); });
    }
    state(const state&) = delete;
    auto operator=(const state&) -> state& = delete;

    ~state() { server_.stop(); }

    [[nodiscard]] auto port() const -> std::uint16_t { return server_.port(); }

private:
    struct load
    {
        load(boost::asio::io_context& io, http_exchange to)
            : exchange(std::move(to))
            , timer(io)
        {
        }
        http_exchange exchange;
        boost::asio::steady_timer timer;
        int sent = 0;
        bool ended = false;
    };

    void answer(const http_request& request, const http_exchange& exchange)
    {
        if (request.path == "/_ledger") {
            exchange.send(200, json::serialize(json::object{
                                   {"loads", loads_}, {"refused", refused_}, {"running", running_}}));
        }
        else if (request.path.rfind("/v1/weights/", 0) != 0) {
            exchange.send(404, error_body("no such call"));
        }
        else if (running_ >= settings_.loads_at_once) {
            ++refused_;
            exchange.send(429, error_body("over the rate"), {{"Retry-After", "1"}});
        }
        else {
            start_load(exchange);
        }
    }

    void start_load(const http_exchange& exchange)
    {
        ++loads_;
        ++running_;
        const auto item = std::make_shared<load>(server_.io(), exchange);
        exchange.open_stream("application/octet-stream");
        exchange.on_closed([this, item] { end(*item); });
        send_next(item);
    }

    void send_next(const std::shared_ptr<load>& item)
    {
        if (item->ended) {
            return;
        }
        if (item->sent == chunk_count) {
            end(*item);
            item->exchange.end_stream();
            return;
        }
        ++item->sent;
        item->exchange.write(std::string(settings_.size / chunk_count, 'w'));
        item->timer.expires_after(settings_.load_time / chunk_count);
        item->timer.async_wait([this, item](const auto& code) {
            if (!code) {
                send_next(item);
            }
        });
    }

    void end(load& item)
    {
        running_ -= item.ended ? 0 : 1;
        item.ended = true;
    }

    weight_store_standin_settings settings_;
    standin_server server_;
    std::int64_t loads_ = 0;
    std::int64_t refused_ = 0;
    std::int64_t running_ = 0;
};

weight_store_standin::weight_store_standin(const weight_store_standin_settings& settings)
    : state_(std::make_unique<state>(settings))
{
}

weight_store_standin::~weight_store_standin() = default;

auto weight_store_standin::port() const -> std::uint16_t
{
    return state_->port();
}

} // namespace dragonflymill::standins
