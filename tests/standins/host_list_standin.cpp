#include "standins/host_list_standin.h"

#include "standins/json_fields.h"
#include "standins/standin_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <map>

namespace dragonflymill::standins {

namespace json = boost::json;

class host_list_standin::state
{
public:
    explicit state(const host_list_standin_settings& settings)
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
    void answer(const http_request& request, const http_exchange& exchange)
    {
        const auto body = parse_object(request.body.empty() ? "{}" : request.body);
        if (!body) {
            exchange.send(400, error_body("the body must be a JSON object"));
        }
        else if (request.path == "/_operator/hosts") {
            exchange.send(200, "{}");
            publish_later(*body);
        }
        else if (request.path == "/_fault") {
            exchange.send(200, "{}");
            down_ = flag_field(*body, "down");
            settings_.lag =
                std::chrono::milliseconds(number_field(*body, "lag_ms", settings_.lag.count() / 1'000));
        }
        else if (down_) {
            exchange.send(503, error_body("down"));
        }
        else if (request.path == "/v1/hosts" && request.method == "GET") {
            exchange.send(200, json::serialize(list()));
        }
        else {
            exchange.send(404, error_body("no such call"));
        }
    }

    void publish_later(const json::object& host)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(server_.io(), settings_.lag);
        timer->async_wait([this, timer, host](const auto& code) {
            if (code) {
                return;
            }
            const auto name = text_field(host, "host");
            if (text_field(host, "state") == "gone") {
                hosts_.erase(name);
            }
            else {
                hosts_[name] = host;
            }
        });
    }

    [[nodiscard]] auto list() const -> json::object
    {
        json::array hosts;
        for (const auto& [name, host] : hosts_) {
            hosts.push_back(host);
        }
        return {{"hosts", hosts}};
    }

    host_list_standin_settings settings_;
    standin_server server_;
    std::map<std::string, json::object> hosts_;
    bool down_ = false;
};

host_list_standin::host_list_standin(const host_list_standin_settings& settings)
    : state_(std::make_unique<state>(settings))
{
}

host_list_standin::~host_list_standin() = default;

auto host_list_standin::port() const -> std::uint16_t
{
    return state_->port();
}

} // namespace dragonflymill::standins
