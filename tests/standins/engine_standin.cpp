#include "standins/engine_standin.h"

#include "standins/engine_wire.h"
#include "standins/http_client.h"
#include "standins/json_fields.h"
#include "standins/standin_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace dragonflymill::standins {

namespace json = boost::json;

class engine_standin::state
{
public:
    explicit state(const engine_standin_settings& settings)
        : settings_(settings)
        , model_(settings.engine)
        , begin_(std::chrono::steady_clock::now())
        , timer_(server_.io())
        , restart_timer_(server_.io())
    {
        server_.start(settings_.port,
                      [this](const auto& request, const auto& exchange) { answer(request, exchange); });
    }
    state(const state&) = delete;
    auto operator=(const state&) -> state& = delete;

    ~state() { server_.stop(); }

    [[nodiscard]] auto port() const -> std::uint16_t { return server_.port(); }

private:
    /// A stream or export whose caller is connected.
    struct open_work
    {
        http_exchange exchange;
        std::string request_id;
        std::uint64_t attempt = 0;
        bool is_export = false;
        std::int64_t drop_after = -1;
    };

    [[nodiscard]] auto model_now() const -> instant
    {
        const auto real = std::chrono::steady_clock::now() - begin_;
        const auto micros = std::chrono::duration<double, std::micro>(real).count() / settings_.time_scale;
        return instant(duration(static_cast<std::int64_t>(micros)));
    }

    [[nodiscard]] auto to_real_time(duration model_length) const -> duration
    {
        return duration(
            static_cast<std::int64_t>(static_cast<double>(model_length.count()) * settings_.time_scale));
    }

    void answer(const http_request& request, const http_exchange& exchange)
    {
        catch_up();
        route(request, exchange);
        catch_up();
        schedule_model_wake();
    }

    void route(const http_request& request, const http_exchange& exchange)
    {
        const auto body = parse_object(request.body.empty() ? "{}" : request.body);
        if (!body) {
            exchange.send(400, error_body("the body must be a JSON object"));
        }
        else if (request.path == "/v1/completions") {
            complete(*body, exchange);
        }
        else if (request.path == "/v1/cancel") {
            const bool held = model_.cancel(text_field(*body, "request_id"));
            exchange.send(200, json::serialize(json::object{{"held", held}}));
        }
        else if (request.path == "/v1/state") {
            exchange.send(200, json::serialize(state_of(model_, settings_.time_scale)));
        }
        else if (request.path == "/v1/cache_events") {
            exchange.send(200, json::serialize(events_of(model_, request.parameter("after"))));
        }
        else if (request.path.rfind("/v1/kv/", 0) == 0) {
            handle_span_call(request.path, *body, exchange);
        }
        else if (request.path == "/v1/orders") {
            handle_order(*body, exchange);
        }
        else if (request.path == "/_ledger") {
            exchange.send(200, json::serialize(ledger_of(model_, settings_.name)));
        }
        else if (request.path == "/_fault") {
            exchange.send(200, "{}");
            inject_fault(*body);
        }
        else {
            exchange.send(404, error_body("no such call"));
        }
    }

    void complete(const json::object& body, const http_exchange& exchange)
    {
        const auto order = completion_of(body);
        const auto [status, work] = model_.submit(order);
        if (status != 200) {
            exchange.send(status, error_body("not taken"));
            return;
        }
        open_work open{exchange, order.request_id, order.attempt};
        open.drop_after = std::exchange(next_drop_after_, -1);
        if (std::exchange(next_wrong_id_, false)) {
            open.request_id += "-of-another";
        }
        open_works_.emplace(work, open);
        exchange.open_stream();
        watch(work, exchange);
    }

    void watch(work_id work, const http_exchange& exchange)
    {
        exchange.on_closed([this, work] {
            open_works_.erase(work);
            model_.detach(work);
        });
    }

    void handle_span_call(const std::string& path, const json::object& body, const http_exchange& exchange)
    {
        const auto span = text_field(body, "span");
        const auto tokens = number_field(body, "end") - number_field(body, "begin");
        if (path == "/v1/kv/export") {
            const auto [status, work] =
                model_.export_span(text_field(body, "request_id"), span, tokens,
                                   static_cast<int>(number_field(body, "priority", 1)));
            if (status == 200) {
                open_works_.emplace(work, open_work{exchange, span, 0, true});
                watch(work, exchange);
            }
            else {
                exchange.send(status, error_body("not exported"));
            }
        }
        else if (path == "/v1/kv/import") {
            exchange.send(model_.import_span(span, tokens), json::serialize(json::object{{"span", span}}));
        }
        else if (path == "/v1/kv/release") {
            model_.release_span(span);
            exchange.send(200, "{}");
        }
        else {
            exchange.send(404, error_body("no such call"));
        }
    }

    void handle_order(const json::object& body, const http_exchange& exchange)
    {
        const auto order = control_of(body);
        const auto status = model_.give(order);
        if (status == 200 && order.kind == "load_model" && !settings_.weight_store.empty()) {
            fetch_weights(order.model);
        }
        exchange.send(status, json::serialize(json::object{{"fence", model_.control().fence()}}));
    }

    void fetch_weights(const std::string& model)
    {
        const auto call =
            std::make_shared<http_call>(http_call{settings_.weight_store, "GET", "/v1/weights/" + model});
        start_call(
            server_.io(), call, [](std::string_view) {},
            [this, model](const http_answer& answer) {
                if (answer.status != 200 || !answer.failure.empty()) {
                    model_.control().fail_load(model);
                }
            });
    }

    void inject_fault(const json::object& fault)
    {
        if (flag_field(fault, "go_silent")) {
            server_.http().silence();
        }
        if (flag_field(fault, "turn_cold")) {
            model_.turn_cold();
        }
        if (fault.contains("drop_stream_after")) {
            next_drop_after_ = number_field(fault, "drop_stream_after");
        }
        if (flag_field(fault, "wrong_request_id")) {
            next_wrong_id_ = true;
        }
        if (const auto pause = number_field(fault, "pause_ms"); pause > 0) {
            server_.http().pause(std::chrono::milliseconds(pause));
            pause_end_ = std::chrono::steady_clock::now() + std::chrono::milliseconds(pause);
        }
        if (flag_field(fault, "die")) {
            die(number_field(fault, "restart_ms", -1));
        }
    }

    /// Simulates the death of the process: closes all connections and the listener, and loses all state.
    /// Unless `restart_ms` is negative, it listens again on the same port after that time, cold.
    void die(std::int64_t restart_ms)
    {
        server_.http().close();
        open_works_.clear();
        model_.fall_over();
        if (restart_ms < 0) {
            return;
        }
        restart_timer_.expires_after(std::chrono::milliseconds(restart_ms));
        restart_timer_.async_wait([this](const auto& code) {
            if (!code) {
                server_.http().reopen();
            }
        });
    }

    /// Advances the model to now, one iteration at a time and delivering the events after each: a stream
    /// dropped in one iteration is detached before the next, however late this thread runs.
    void catch_up()
    {
        const auto now = model_now();
        for (auto next = model_.next_wake(); next && *next < now; next = model_.next_wake()) {
            deliver_all(model_.advance(*next));
        }
        deliver_all(model_.advance(now));
    }

    void deliver_all(const std::vector<engine_event>& events)
    {
        for (const auto& event : events) {
            deliver(event);
        }
    }

    void deliver(const engine_event& event)
    {
        const auto found = open_works_.find(event.work);
        if (found == open_works_.end()) {
            return;
        }
        auto& open = found->second;
        switch (event.kind) {
        case engine_event::type::token:
            send_token(event, open);
            return;
        case engine_event::type::end:
            send_end(event, open);
            break;
        case engine_event::type::exported:
            open.exchange.send(200, json::serialize(json::object{{"span", event.text}}));
            break;
        case engine_event::type::lost:
            open.exchange.on_closed([] {});
            open.exchange.drop();
            break;
        }
        open_works_.erase(event.work);
    }

    void send_token(const engine_event& event, open_work& open)
    {
        if (open.drop_after == 0) {
            const auto exchange = open.exchange;
            exchange.on_closed([] {});
            exchange.drop();
            model_.detach(event.work);
            open_works_.erase(event.work);
            return;
        }
        --open.drop_after;
        open.exchange.write(stream_event(event, open.request_id, open.attempt));
    }

    static void send_end(const engine_event& event, const open_work& open)
    {
        if (open.is_export) {
            open.exchange.send(409, error_body("cancelled"));
            return;
        }
        open.exchange.write(stream_event(event, open.request_id, open.attempt));
        open.exchange.end_stream();
    }

    void schedule_model_wake()
    {
        const auto next = model_.next_wake();
        if (!next) {
            return;
        }
        auto moment = begin_ + to_real_time(next->time_since_epoch());
        timer_.expires_at(std::max(moment, pause_end_));
        timer_.async_wait([this](const auto& code) {
            if (!code) {
                catch_up();
                schedule_model_wake();
            }
        });
    }

    engine_standin_settings settings_;
    engine_model model_;
    std::chrono::steady_clock::time_point begin_;
    std::chrono::steady_clock::time_point pause_end_{};
    standin_server server_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer restart_timer_;
    std::map<work_id, open_work> open_works_;
    std::int64_t next_drop_after_ = -1;
    bool next_wrong_id_ = false;
};

engine_standin::engine_standin(const engine_standin_settings& settings)
    : state_(std::make_unique<state>(settings))
{
}

engine_standin::~engine_standin() = default;

auto engine_standin::port() const -> std::uint16_t
{
    return state_->port();
}

} // namespace dragonflymill::standins
