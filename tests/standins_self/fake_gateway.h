#pragma once

#include "standins/answer.h"
#include "standins/http_client.h"
#include "standins/json_fields.h"
#include "standins/standin_thread.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace dragonflymill::standins {

/// Faults of a fake gateway.
enum class gateway_fault
{
    none,             ///< No fault.
    refuses_first,    ///< Refuses the first request as not run, with a short retry time.
    refuses_for_long, ///< Refuses the first request with a retry time beyond the callers' retry limit.
    cuts_a_stream,    ///< Closes the connection of the first stream before its end event.
    skips_a_token,    ///< Omits the first token of the first stream.
    error_in_stream,  ///< Ends the first stream with an error event.
    books_twice,      ///< Forwards every booking, ignoring the idempotency key.
    confirms_nothing, ///< Confirms bookings without forwarding them.
};

/// A gateway with injectable faults, for testing that the demo detects them. Answers completions itself and
/// forwards bookings to one plain service.
class fake_gateway
{
public:
    /// Forwards bookings to the address `service`.
    fake_gateway(std::string service, gateway_fault fault)
        : service_(std::move(service))
        , fault_(fault)
    {
        thread_.run([this] {
            server_.emplace(thread_.io(), 0,
                            [this](const auto& request, const auto& exchange) { answer(request, exchange); });
        });
    }
    fake_gateway(const fake_gateway&) = delete;
    auto operator=(const fake_gateway&) -> fake_gateway& = delete;
    ~fake_gateway()
    {
        thread_.run([this] { server_.reset(); });
    }

    /// Port on 127.0.0.1.
    [[nodiscard]] auto port() const -> std::uint16_t { return server_->port(); }

private:
    void answer(const http_request& request, const http_exchange& exchange)
    {
        if (request.path == "/readyz") {
            exchange.send(200, "{}");
            return;
        }
        const bool first = !std::exchange(called_, true);
        if (first && fault_ == gateway_fault::refuses_first) {
            exchange.send(503, R"({"error":{"code":"overload","ran":"no","retry_after_ms":10}})");
        }
        else if (first && fault_ == gateway_fault::refuses_for_long) {
            exchange.send(429, R"({"error":{"code":"account_limit","ran":"no","retry_after_ms":600000}})");
        }
        else if (request.path == "/v1/completions") {
            complete(parse_object(request.body).value_or(boost::json::object{}), exchange, first);
        }
        else {
            book(request, exchange);
        }
    }

    void complete(const boost::json::object& body, const http_exchange& exchange, bool first)
    {
        auto text = expected_answer(text_field(body, "model"), text_field(body, "prompt"),
                                    number_field(body, "max_tokens"));
        if (first && fault_ == gateway_fault::skips_a_token) {
            text.erase(0, bytes_per_token);
        }
        exchange.open_stream();
        const boost::json::object choice{{"index", 0}, {"text", text}, {"finish_reason", nullptr}};
        const boost::json::object event{{"id", "r"}, {"choices", boost::json::array{choice}}};
        exchange.write("data: " + boost::json::serialize(event) + "\n\n");
        if (first && fault_ == gateway_fault::cuts_a_stream) {
            exchange.drop();
            return;
        }
        const bool fails = first && fault_ == gateway_fault::error_in_stream;
        exchange.write(fails ? "data: {\"error\":{\"code\":\"lost\",\"ran\":\"unknown\"}}\n\n"
                             : "data: [DONE]\n\n");
        exchange.end_stream();
    }

    /// Forwards a booking once per idempotency key, unless the fault says otherwise.
    void book(const http_request& request, const http_exchange& exchange)
    {
        const bool again = !keys_.insert(request.header("idempotency-key")).second;
        const bool skip = fault_ == gateway_fault::confirms_nothing || again;
        if (skip && fault_ != gateway_fault::books_twice) {
            exchange.send(200, "{}");
            return;
        }
        const auto call = std::make_shared<http_call>(http_call{service_, "POST", "/", {}, request.body});
        start_call(thread_.io(), call, nullptr,
                   [exchange](const http_answer& answer) { exchange.send(answer.status, answer.body); });
    }

    std::string service_;
    gateway_fault fault_;
    standin_thread thread_;
    std::optional<http_server> server_;
    std::set<std::string> keys_;
    bool called_ = false;
};

} // namespace dragonflymill::standins
