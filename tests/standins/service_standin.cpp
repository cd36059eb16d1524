#include "standins/service_standin.h"

#include "standins/json_fields.h"
#include "standins/standin_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <map>

namespace dragonflymill::standins {

namespace json = boost::json;

class service_standin::state
{
public:
    explicit state(service_standin_settings settings)
        : settings_(std::move(settings))
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
        if (request.path == "/_ledger") {
            exchange.send(200, json::serialize(ledger()));
            return;
        }
        if (request.path == "/_fault") {
            exchange.send(200, "{}");
            if (const auto fault = parse_object(request.body)) {
                inject_fault(*fault);
            }
            return;
        }
        if (std::exchange(drop_before_run_, false)) {
            exchange.drop();
            return;
        }
        ++waiting_;
        const auto timer = std::make_shared<boost::asio::steady_timer>(server_.io(), settings_.latency);
        timer->async_wait([this, timer, request, exchange](const auto& code) {
            if (!code) {
                --waiting_;
                execute(request, exchange);
            }
        });
    }

    /// Counts the execution before answering, so that it also counts if the answer is lost.
    void execute(const http_request& request, const http_exchange& exchange)
    {
        const auto key = key_of(request);
        const auto count = ++executions_[key];
        if (std::exchange(drop_after_run_, false)) {
            exchange.drop();
            return;
        }
        if (hold_answers_) {
            return; // executed, but never answered
        }
        const json::object body{{"service", settings_.name}, {"key", key}, {"execution", count}};
        exchange.send(std::exchange(next_status_, 200U), json::serialize(body));
    }

    [[nodiscard]] auto key_of(const http_request& request) -> std::string
    {
        if (const auto body = parse_object(request.body)) {
            if (auto id = text_field(*body, "id"); !id.empty()) {
                return id;
            }
        }
        if (auto key = request.header("idempotency-key"); !key.empty()) {
            return key;
        }
        return "call-" + std::to_string(++unnamed_);
    }

    [[nodiscard]] auto ledger() const -> json::object
    {
        json::object counts;
        for (const auto& [key, count] : executions_) {
            counts[key] = count;
        }
        return {{"name", settings_.name}, {"executions", counts}, {"waiting", waiting_}};
    }

    void inject_fault(const json::object& fault)
    {
        if (flag_field(fault, "go_silent")) {
            server_.http().silence();
        }
        if (flag_field(fault, "die")) {
            server_.http().close();
        }
        drop_before_run_ = drop_before_run_ || flag_field(fault, "drop_before_run");
        drop_after_run_ = drop_after_run_ || flag_field(fault, "drop_after_run");
        if (fault.contains("hold_answers")) {
            hold_answers_ = flag_field(fault, "hold_answers");
        }
        next_status_ = static_cast<unsigned>(number_field(fault, "status", next_status_));
        if (fault.contains("latency_ms")) {
            settings_.latency = std::chrono::milliseconds(number_field(fault, "latency_ms"));
        }
        if (const auto pause = number_field(fault, "pause_ms"); pause > 0) {
            server_.http().pause(std::chrono::milliseconds(pause));
        }
    }

    service_standin_settings settings_;
    standin_server server_;
    std::map<std::string, std::int64_t> executions_;
    std::int64_t unnamed_ = 0;
    std::int64_t waiting_ = 0;
    unsigned next_status_ = 200;
    bool drop_before_run_ = false;
    bool drop_after_run_ = false;
    bool hold_answers_ = false;
};

service_standin::service_standin(const service_standin_settings& settings)
    : state_(std::make_unique<state>(settings))
{
}

service_standin::~service_standin() = default;

auto service_standin::port() const -> std::uint16_t
{
    return state_->port();
}

} // namespace dragonflymill::standins
