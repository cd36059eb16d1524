#pragma once

#include "edge/direct_gateway.h"
#include "support/standin_upstream.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <criterion/criterion.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill::edge {

using test_support::standin_upstream;
using test_support::taken_connection;

/// Response of an upstream to a request of `gateway_fixture`, with Content-Length.
inline auto complete_response(const std::string& body, const std::string& fields = "") -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Stream of an upstream with one event, in answer to a request of `gateway_fixture`.
inline auto complete_stream(const std::string& data) -> std::string
{
    return complete_response("id: 1\ndata: " + data + "\n\n", "Content-Type: text/event-stream\r\n");
}

/// A record source with a fixed set of records.
class static_record_source : public record_source
{
public:
    void start(handlers callbacks) override
    {
        handlers_ = std::move(callbacks);
        if (!delay_records) {
            publish_records();
        }
    }
    /// Delivers all records.
    void publish_records()
    {
        direct::records_update update;
        for (const auto& [key, decoded] : decoded_records) {
            update.records.push_back({key, "", ++update.as_of, false});
        }
        update.whole = true;
        handlers_.on_recovered();
        handlers_.on_records(update);
    }
    void stop() override {}
    [[nodiscard]] auto decode(const direct::fleet_record& record) const -> direct::decoded_record override
    {
        return decoded_records.at(record.key);
    }

    std::map<std::string, direct::decoded_record> decoded_records;
    /// Delivers records only when `publish_records` is called, rather than at the start.
    bool delay_records = false;

private:
    handlers handlers_;
};

/// A gateway with stand-in upstreams and callers, over real sockets on one event loop.
class gateway_fixture
{
public:
    /// Adds an upstream to the service `name`.
    auto add_upstream(const std::string& name, standin_upstream::script script) -> standin_upstream&
    {
        upstreams_.push_back(std::make_unique<standin_upstream>(loop, std::move(script)));
        add_upstream_at(name, upstreams_.back()->address());
        return *upstreams_.back();
    }
    /// Adds an upstream that the test runs itself at `address`.
    void add_upstream_at(const std::string& name, const std::string& address)
    {
        direct::upstream_entry entry;
        entry.id = name + "-" + std::to_string(source.decoded_records.size() + 1);
        entry.service = name;
        entry.address = address;
        entry.failure_domain = "a";
        entry.slots = 8;
        source.decoded_records["upstream/" + entry.id] = entry;
    }

    /// Starts the gateway with four routes: `/book/` for non-idempotent calls, `/find/` for idempotent ones,
    /// `/chat/` for resumable streams, `/tell/` for streams that must not be resumed.
    void start(bool configured = true)
    {
        if (configured) {
            source.decoded_records["config"] = std::make_shared<const direct::fleet_config>(config());
        }
        settings.name = "g";
        settings.failure_domain = "a";
        settings.callers = settings.ready = settings.peers = {"127.0.0.1", 0};
        settings.retries = {0.2, 100.0, 10s};
        header_names names;
        names.request_id = "Request-Id";
        names.time_left_ms = "Time-Left";
        names.account = "Account";
        names.expected_upstream = "Expected";
        names.not_run = "Not-Run";
        names.seal = seal_field;
        names.failed_upstream = "At-Fault";
        names.token_counts = "Tokens";
        names.prompt_parts = "Parts";
        names.prefill_engines = "Helpers";
        names.engine_priority = "Engine-Priority";
        names.resume_after = "Last-Event-Id";
        names.account_key = "Authorization";
        names.auth_scheme = "Bearer ";
        names.ready_path = "/ready";
        const auto read_statement = [](const http::response_head& head) -> direct::upstream_statement {
            const auto number = [&](const char* name) {
                const std::string text(head.value_of(name));
                return text.empty() ? std::nullopt : std::optional(std::stod(text));
            };
            direct::upstream_statement statement;
            statement.rate.calls_per_s = number("Rate-Limit");
            if (const auto seconds = number("Pushback")) {
                statement.pushback.length = duration(static_cast<duration::rep>(*seconds * 1e6));
            }
            statement.draining = !head.value_of("Draining").empty();
            return statement;
        };
        gateway = std::make_unique<direct_gateway>(loop, settings,
                                                   platform_adapter{names, orders, read_statement, reports},
                                                   source, [] { return std::nullopt; });
        cr_assert(gateway->start().has_value());
        connect_caller();
    }

    /// Continues as another caller; the first caller's connection stays open.
    void connect_another_caller()
    {
        first_caller_ = std::move(caller);
        caller = boost::asio::ip::tcp::socket(loop);
        connect_caller();
    }

    /// Sends a request of the caller.
    void send(const std::string& method, const std::string& path, const std::string& fields = "",
              const std::string& body = "")
    {
        send_raw(method + " " + path +
                 " HTTP/1.1\r\nHost: H.example:80\r\nRequest-Id: r1\r\nTime-Left: 9000\r\n" +
                 "Authorization: Bearer key1\r\n" + fields +
                 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void send_raw(const std::string& bytes) { boost::asio::write(caller, boost::asio::buffer(bytes)); }

    /// Runs the loop until `done` returns true; fails the test after 30 seconds.
    void run_until(const std::function<bool()>& done)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!done()) {
            cr_assert(std::chrono::steady_clock::now() < end, "timed out; received so far: %s",
                      received.c_str());
            loop.run_one_for(std::chrono::milliseconds(20));
        }
    }
    /// Runs the loop until the caller has received `text`.
    void run_until_received(const std::string& text)
    {
        run_until([&] { return received.find(text) != std::string::npos; });
    }

    boost::asio::io_context loop{1};
    static_record_source source;
    std::unique_ptr<direct_gateway> gateway;
    boost::asio::ip::tcp::socket caller{loop};
    std::string received;
    bool caller_ended = false;
    bool caller_reset = false; ///< Whether the connection has ended with a reset.
    /// Settings of the gateway; `start` sets addresses and names.
    direct_gateway_settings settings;
    /// Profile of the service "engines"; nothing: it is chosen like a plain service.
    std::optional<direct::engine_profile> engine_profile;
    /// Encoders of orders to engines.
    upstream_orders orders;
    /// Reader of upstreams' reports; none by default.
    report_reader reports;
    /// Name of the field with upstreams' seals; empty: they have none.
    std::string seal_field;
    /// Caller limits in the gateway's configuration.
    direct::caller_limits limits;

private:
    [[nodiscard]] auto config() const -> direct::fleet_config
    {
        direct::route_rule book;
        book.name = "book";
        book.host = "h.example";
        book.path_prefix = "/book/";
        book.time_limit = 5s;
        book.latency_target = 1s;
        book.services = {{"bookings", 1}};
        direct::route_rule chat = book;
        chat.name = "chat";
        chat.path_prefix = "/chat/";
        chat.kind = direct::call_kind::streaming;
        chat.resumable = true;
        chat.max_attempts = 2;
        chat.services = {{"engines", 1}};
        direct::fleet_config::parts parts;
        parts.version = 1;
        direct::route_rule find = book;
        find.name = "find";
        find.path_prefix = "/find/";
        find.kind = direct::call_kind::idempotent;
        find.max_attempts = 2;
        find.latency_target = 50ms;
        direct::route_rule tell = chat;
        tell.name = "tell";
        tell.path_prefix = "/tell/";
        tell.resumable = false;
        parts.routes = {book, chat, find, tell};
        if (engine_profile) {
            // Prompts of the route with the tighter target are never divided.
            direct::route_rule talk = chat;
            talk.name = "talk";
            talk.path_prefix = "/talk/";
            talk.tbt_target = 200ms;
            parts.routes[1].tbt_target = 800ms;
            parts.routes.push_back(talk);
        }
        parts.services = {{"bookings", 10, 0s, 0.0, std::nullopt}, {"engines", 10, 0s, 0.0, engine_profile}};
        parts.accounts = {{"acme", {"key1"}, std::nullopt}};
        parts.requires_api_key = true;
        parts.limits = limits;
        return direct::fleet_config(std::move(parts));
    }

    void connect_caller()
    {
        caller.connect({boost::asio::ip::make_address("127.0.0.1"), gateway->caller_port()});
        read_responses();
    }

    void read_responses()
    {
        caller.async_read_some(boost::asio::buffer(buffer_), [this](const auto& failed, std::size_t bytes) {
            if (failed) {
                caller_ended = true;
                caller_reset = failed == boost::asio::error::connection_reset;
                return;
            }
            received.append(buffer_.data(), bytes);
            read_responses();
        });
    }

    std::vector<std::unique_ptr<standin_upstream>> upstreams_;
    boost::asio::ip::tcp::socket first_caller_{loop};
    std::array<char, 4096> buffer_{};
};

} // namespace dragonflymill::edge
