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

/// Ways in which a gateway can fail its callers.
enum class gateway_fault
{
    none,             ///< It works.
    refuses_first,    ///< Its first request is refused as not run.
    refuses_for_long, ///< Its first request is refused with a retry time beyond any patience.
    cuts_a_stream,    ///< Its first stream ends without an end.
    skips_a_token,    ///< Its first stream has a hole.
    error_in_stream,  ///< Its first stream ends with an error.
    books_twice,      ///< It sends every booking twice.
    confirms_nothing, ///< It confirms bookings without making them.
};

/// A gateway without anything behind it but one plain service, to see whether the demo notices what goes
/// wrong.
class fake_gateway
{
public:
    /// Passes bookings on to `service`.
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

    /// A booking is made once for each key, unless the fault says otherwise.
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
