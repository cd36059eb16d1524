#include "soak/soak_world.h"

namespace dragonflymill::soak {

using test_support::taken_connection;

namespace {

/// Time between two events of a stream, as in the profile in the configuration.
constexpr double event_ms = 15.0;

auto field(const std::string& request, const std::string& name) -> std::string
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

void send(taken_connection& call, const std::string& bytes)
{
    boost::system::error_code ignored; // the gateway may have been killed or have cancelled
    boost::asio::write(call.socket, boost::asio::buffer(bytes), ignored);
}

auto event(const std::string& request, int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: " + request + "\n\n";
}

/// A response that states that the request was not executed, and may ask for a pause.
auto rejection(const std::string& head, std::optional<std::chrono::milliseconds> pause) -> std::string
{
    const std::string retry_after =
        pause ? "Retry-After: " + std::to_string(std::chrono::duration<double>(*pause).count()) + "\r\n" : "";
    return "HTTP/1.1 503 P\r\n" + head + "Dragonflymill-Not-Executed: 1\r\n" + retry_after +
           "Content-Length: 0\r\n\r\n";
}

auto is_fatal(const std::string& request) -> bool
{
    return request.find(soak_upstream::crashing_part) != std::string::npos ||
           request.find(soak_upstream::fatal_marker) != std::string::npos;
}

auto chunk(const std::string& bytes) -> std::string
{
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

} // namespace

soak_upstream::soak_upstream(boost::asio::io_context& loop, std::string id, std::string service,
                             promises& kept)
    : loop_(loop)
    , id_(std::move(id))
    , service_(std::move(service))
    , promises_(kept)
    , server_(loop, [this](taken_connection& call) { run(call); })
{
}

auto soak_upstream::entry(bool leaving) const -> std::string
{
    return R"({"service":")" + service_ + R"(","address":")" + server_.address() +
           R"(","zone":"a","state":")" + (leaving ? "draining" : "ready") +
           R"(","version":"v1","slots":8,"coldLeftMs":0,"sequence":0,"born":)" + std::to_string(run_) + "}";
}

void soak_upstream::restart()
{
    ++run_;
    pause_.reset();
    states_drain_ = false;
    slowdown_ = 1.0;
}

void soak_upstream::later(std::chrono::milliseconds wait, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, wait);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            action();
        }
    });
}

void soak_upstream::send_report(taken_connection& call)
{
    ++reports_;
    if (fault_ == fault::hang) {
        return;
    }
    if (fault_ == fault::reset) {
        send(call, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"pace\":9");
        call.reset();
        return;
    }
    const std::string body =
        reports_fail_ ? std::string("[9.0]") : R"({"pace":)" + std::to_string(slowdown_) + "}";
    send(call, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void soak_upstream::crash(taken_connection& call, const std::string& request, const std::string& head)
{
    if (service_ == "engines") {
        send(call, "HTTP/1.1 200 OK\r\n" + head +
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    server_.crash();
    leave();
    on_crash_(request);
}

void soak_upstream::run(taken_connection& call)
{
    if (call.received.starts_with("GET /dragonflymill/report ")) {
        send_report(call);
        return;
    }
    const std::string request = field(call.received, "Dragonflymill-Attempt-Id");
    std::string head =
        "Dragonflymill-Attempt-Id: " + request + "\r\nDragonflymill-Server-Seal: " + id_ + "\r\n";
    if (field(call.received, "Dragonflymill-Expect-Instance") != id_) {
        send(call, "HTTP/1.1 421 M\r\n" + head + "Content-Length: 0\r\n\r\n");
        return;
    }
    if (limit_) {
        head += "Server-Limit: " + std::to_string(*limit_) + "\r\n";
    }
    if (drains()) {
        head += "Server-Leaving: 1\r\n";
    }
    on_request_(request);
    if (const auto well = well_since_(); left_ && well) {
        promises_.reached_leaving(request, std::max(*left_, *well), soak_world::leave_bound);
    }
    if (pause_) {
        on_rejected_(request, *pause_);
        send(call, rejection(head, *pause_));
        return;
    }
    if (fault_ == fault::full) {
        send(call, rejection(head, std::nullopt));
        return;
    }
    if (is_fatal(call.received)) {
        crash(call, request, head);
        return;
    }
    execute(call, request, head);
}

void soak_upstream::execute(taken_connection& call, const std::string& request, const std::string& head)
{
    const bool is_stream = service_ == "engines";
    promises_.ran(request, is_stream && !call.received.starts_with("POST /tell/"));
    if (fault_ == fault::hang) {
        return;
    }
    const auto kept = call.shared_from_this();
    if (is_stream) {
        const std::string after = field(call.received, "Last-Event-Id");
        const int next = after.empty() ? 1 : std::atoi(after.c_str()) + 1; // NOLINT(cert-err34-c)
        if (sends_malformed_) {
            malformed_ % 2 == 0 ? send_malformed_stream(kept, request, head, next)
                                : send_unproven_stream(kept, request, head, next);
            return;
        }
        send(call, "HTTP/1.1 200 OK\r\n" + head +
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        stream(kept, request, next);
        return;
    }
    later(std::chrono::milliseconds(10), [this, kept, request, head] {
        if (!kept->socket.is_open()) {
            return;
        }
        if (fault_ == fault::reset) {
            kept->reset();
            return;
        }
        const std::string body = "booked " + request;
        if (sends_malformed_) {
            send_malformed_answer(kept, body, head);
            return;
        }
        send(*kept, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body);
    });
}

void soak_upstream::stream(const std::shared_ptr<taken_connection>& call, const std::string& request,
                           int next)
{
    // A crash closes the connections of all calls.
    if (call->ended || !call->socket.is_open()) {
        return;
    }
    if (next > events) {
        send(*call, "0\r\n\r\n");
        return;
    }
    const std::string bytes = event(request, next);
    if (fault_ == fault::reset && next == events / 2) {
        send(*call, chunk(bytes.substr(0, bytes.size() / 2)));
        call->reset();
        return;
    }
    if (fault_ == fault::hang) {
        return;
    }
    send(*call, chunk(bytes));
    const auto pause = std::chrono::milliseconds(static_cast<int>(event_ms * slowdown_));
    later(pause, [this, call, request, next] { stream(call, request, next + 1); });
}

} // namespace dragonflymill::soak
