#include "standins/config_standin.h"

#include "standins/json_fields.h"
#include "standins/standin_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <optional>

namespace dragonflymill::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t value_limit = 1024UL * 1024;
constexpr auto budget_window = std::chrono::seconds(1);

auto base64(const std::string& bytes) -> std::string
{
    namespace codec = boost::beast::detail::base64;
    std::string out(codec::encoded_size(bytes.size()), '\0');
    out.resize(codec::encode(out.data(), bytes.data(), bytes.size()));
    return out;
}

} // namespace

class config_standin::state
{
public:
    explicit state(const config_standin_settings& settings)
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
    struct entry
    {
        std::uint64_t revision = 0;
        std::string value;
    };
    struct watch
    {
        http_exchange exchange;
        std::string key;
        std::uint64_t after = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void answer(const http_request& request, const http_exchange& exchange)
    {
        if (request.path.rfind("/_operator/", 0) == 0) {
            set(request.path.substr(std::string_view("/_operator/").size()), request.body, exchange);
        }
        else if (request.path == "/_fault") {
            exchange.send(200, "{}");
            if (const auto fault = parse_object(request.body)) {
                inject_fault(*fault);
            }
        }
        else if (request.path == "/_ledger") {
            exchange.send(200, json::serialize(ledger()));
        }
        else if (down_) {
            exchange.send(503, error_body("down"));
        }
        else if (request.method != "GET") {
            exchange.send(405, error_body("it can only be read"));
        }
        else if (!within_budget()) {
            exchange.send(429, error_body("over the read budget"), {{"Retry-After", "1"}});
        }
        else {
            read(request, exchange);
        }
    }

    void read(const http_request& request, const http_exchange& exchange)
    {
        const std::string keys = "/v1/keys/";
        if (request.path == "/v1/watch") {
            const auto after = std::strtoull(request.parameter("after").c_str(), nullptr, 10);
            const auto wait = std::strtoll(request.parameter("wait_ms").c_str(), nullptr, 10);
            begin_watch(exchange, request.parameter("key"), after, std::chrono::milliseconds(wait));
        }
        else if (request.path.rfind(keys, 0) != 0) {
            exchange.send(404, error_body("no such call"));
        }
        else if (const auto found = visible_values().find(request.path.substr(keys.size()));
                 found != visible_values().end()) {
            exchange.send(200, text_of(found->second));
        }
        else {
            exchange.send(404, error_body("no such key"));
        }
    }

    void begin_watch(const http_exchange& exchange, const std::string& key, std::uint64_t after,
                     std::chrono::milliseconds wait)
    {
        if (const auto found = visible_values().find(key);
            found != visible_values().end() && found->second.revision > after) {
            exchange.send(200, text_of(found->second));
            return;
        }
        const auto number = ++last_watch_;
        const auto timer = std::make_shared<boost::asio::steady_timer>(server_.io(), wait);
        watches_.emplace(number, watch{exchange, key, after, timer});
        exchange.on_closed([this, number] { watches_.erase(number); });
        timer->async_wait([this, number, timer](const auto& code) {
            const auto found = watches_.find(number);
            if (!code && found != watches_.end()) {
                found->second.exchange.send(204, "");
                watches_.erase(found);
            }
        });
    }

    void set(const std::string& key, const std::string& value, const http_exchange& exchange)
    {
        if (value.size() > value_limit) {
            exchange.send(413, error_body("a value is at most 1 MiB"));
            return;
        }
        values_[key] = {++revision_, value};
        exchange.send(200, json::serialize(json::object{{"revision", revision_}}));
        wake_watches();
    }

    void wake_watches()
    {
        if (down_) {
            return;
        }
        for (auto it = watches_.begin(); it != watches_.end();) {
            const auto found = visible_values().find(it->second.key);
            if (found == visible_values().end() || found->second.revision <= it->second.after) {
                ++it;
                continue;
            }
            it->second.exchange.send(200, text_of(found->second));
            it = watches_.erase(it);
        }
    }

    void inject_fault(const json::object& fault)
    {
        if (fault.contains("down")) {
            down_ = flag_field(fault, "down");
        }
        if (fault.contains("stale")) {
            stale_values_ = flag_field(fault, "stale") ? std::optional(values_) : std::nullopt;
        }
        if (flag_field(fault, "go_silent")) {
            server_.http().silence();
        }
        wake_watches();
    }

    /// Values that readers receive: while the `stale` fault is on, those from when it was turned on.
    [[nodiscard]] auto visible_values() const -> const std::map<std::string, entry>&
    {
        return stale_values_ ? *stale_values_ : values_;
    }

    [[nodiscard]] static auto text_of(const entry& item) -> std::string
    {
        return json::serialize(json::object{{"revision", item.revision}, {"value", base64(item.value)}});
    }

    [[nodiscard]] auto within_budget() -> bool
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - window_begin_ >= budget_window) {
            window_begin_ = now;
            window_reads_ = 0;
        }
        ++reads_;
        ++window_reads_;
        max_window_reads_ = std::max(max_window_reads_, window_reads_);
        refused_ += window_reads_ > settings_.budget ? 1 : 0;
        return window_reads_ <= settings_.budget;
    }

    [[nodiscard]] auto ledger() const -> json::object
    {
        return {{"reads", reads_},
                {"most_reads_in_a_second", max_window_reads_},
                {"refused", refused_},
                {"waiting_watches", watches_.size()},
                {"revision", revision_}};
    }

    config_standin_settings settings_;
    standin_server server_;
    std::map<std::string, entry> values_;
    std::optional<std::map<std::string, entry>> stale_values_;
    std::map<std::uint64_t, watch> watches_;
    std::uint64_t last_watch_ = 0;
    std::uint64_t revision_ = 0;
    std::chrono::steady_clock::time_point window_begin_{};
    std::int64_t window_reads_ = 0;
    std::int64_t max_window_reads_ = 0;
    std::int64_t reads_ = 0;
    std::int64_t refused_ = 0;
    bool down_ = false;
};

config_standin::config_standin(const config_standin_settings& settings)
    : state_(std::make_unique<state>(settings))
{
}

config_standin::~config_standin() = default;

auto config_standin::port() const -> std::uint16_t
{
    return state_->port();
}

} // namespace dragonflymill::standins
