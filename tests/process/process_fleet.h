#pragma once

#include "dragonflymill/bundle/digest.h"
#include "standins/answer.h"
#include "standins/booking_caller.h"
#include "standins/http_client.h"
#include "standins/json_fields.h"
#include "standins/load_plan.h"
#include "support/child_process.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>
#include <criterion/criterion.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <thread>
#include <unistd.h>

namespace dragonflymill::test {

/// How long a test waits for what has to come; far longer than it takes.
inline constexpr duration generous = 30s;

/// Polls until `condition` holds, at most `generous`.
template <typename Condition>
[[nodiscard]] auto comes_true(Condition condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + generous;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

/// A streamed or plain call that runs on a thread of its own.
class background_call
{
public:
    /// Sends the call at once.
    explicit background_call(standins::http_call call)
        : thread_([this, call = std::move(call)] { answer_ = standins::call_and_wait(call); })
    {
    }
    background_call(const background_call&) = delete;
    auto operator=(const background_call&) -> background_call& = delete;
    ~background_call()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    /// Waits for the answer.
    [[nodiscard]] auto answer() -> const standins::http_answer&
    {
        thread_.join();
        return answer_;
    }

private:
    standins::http_answer answer_;
    std::thread thread_;
};

/// Two engines, a booking service, a sidecar beside each, and two gateways, as real processes on loopback.
class process_fleet
{
public:
    /// Starts all and waits until both gateways are ready. Engines' times run at `time_scale`; engine-1
    /// starts with `first_model`, the bundle wants assistant-1.
    explicit process_fleet(const std::string& time_scale = "1", std::string first_model = "assistant-1")
        : first_models_{{"engine-1", std::move(first_model)}, {"engine-2", "assistant-1"}}
    {
        auto pattern = (std::filesystem::temp_directory_path() / "dragonflymill-XXXXXX").string();
        folder_ = mkdtemp(pattern.data());
        take_ports();
        start_standins(time_scale);
        write("control.key", std::string(64, 'a'));
        write("tickets.key", std::string(64, 'b'));
        sign_bundle();
        for (const std::string name : {"engine-1", "engine-2", "booking-1"}) {
            start_sidecar(name);
        }
        for (const std::string name : {"gateway-1", "gateway-2"}) {
            start_gateway(name);
        }
        for (const std::string name : {"gateway-1", "gateway-2"}) {
            cr_assert(comes_true([&] { return get(gateway(name), "/readyz").status == 200; }),
                      "%s is not ready", name.c_str());
        }
        warm_up();
    }
    process_fleet(const process_fleet&) = delete;
    auto operator=(const process_fleet&) -> process_fleet& = delete;
    ~process_fleet()
    {
        children_.clear();
        std::filesystem::remove_all(folder_);
    }

    /// HTTP address of a gateway.
    [[nodiscard]] auto gateway(const std::string& name) const -> std::string { return listener(name, 0); }
    /// A process by its name; stand-ins are called after what they stand for.
    [[nodiscard]] auto process(const std::string& name) -> test_support::child_process&
    {
        return *children_.at(name);
    }
    /// Starts a sidecar, again if it was ended.
    void start_sidecar(const std::string& name)
    {
        write("sidecar-" + name + ".ini",
              common("sidecar-" + name, name) + "[upstream]\nid = " + name +
                  "\naddress = " + upstreams_.at(name) +
                  "\nfirst_token = 500ms\nprefill_rate = 20k/s\n[listen]\ngrpc = " + listener(name, 0) +
                  "\nadmin = " + listener(name, 1) + "\n");
        start("sidecar-" + name, "dragonflymill", {"sidecar", "--config", path("sidecar-" + name + ".ini")});
        cr_assert(children_.at("sidecar-" + name)->read_line(generous).has_value());
    }

    /// A call with the account's key.
    [[nodiscard]] auto call(const std::string& gateway_name, const std::string& target,
                            std::string body) const -> standins::http_call
    {
        return {gateway(gateway_name),
                "POST",
                target,
                {{"Authorization", "Bearer key-of-doorstep"}, {"Content-Type", "application/json"}},
                std::move(body),
                60s};
    }
    /// A streamed completion of a prompt of `tokens`.
    [[nodiscard]] auto completion(const std::string& gateway_name, token_count tokens, token_count max_tokens,
                                  std::uint64_t seed = 1) const -> standins::http_call
    {
        const boost::json::object body{{"model", "assistant-1"},
                                       {"prompt", standins::prompt_text(tokens, seed)},
                                       {"max_tokens", max_tokens},
                                       {"stream", true}};
        return call(gateway_name, "/v1/completions", boost::json::serialize(body));
    }
    /// A booking with a key of the caller.
    [[nodiscard]] auto booking(const std::string& gateway_name, const std::string& key) const
        -> standins::http_call
    {
        auto out = call(gateway_name, "/v1/services/booking",
                        boost::json::serialize(boost::json::object{{"id", key}, {"logs", 2}}));
        out.headers.push_back({"Idempotency-Key", key});
        return out;
    }
    /// Waits until the sidecar of the booking service can tell a first try from a retry: for some time after
    /// its start every key may have been seen by a predecessor.
    void wait_until_keys_run() const
    {
        std::uint64_t probe = 1'000;
        cr_assert(comes_true([&] {
            return standins::call_and_wait(booking("gateway-1", standins::booking_key(++probe))).status ==
                   200;
        }));
    }
    /// The engine that holds a stream now, empty if none does.
    [[nodiscard]] auto busy_engine() const -> std::string
    {
        for (const auto* const name : {"engine-1", "engine-2"}) {
            if (held(name) > 0) {
                return name;
            }
        }
        return {};
    }
    /// How many things an engine holds; -1 if it doesn't answer.
    [[nodiscard]] auto held(const std::string& engine) const -> std::int64_t
    {
        const auto ledger = standins::parse_object(get(upstreams_.at(engine), "/_ledger").body);
        return ledger && ledger->contains("held")
                   ? static_cast<std::int64_t>(ledger->at("held").as_array().size())
                   : -1;
    }
    /// A list of names in an engine's state; empty if it doesn't answer.
    [[nodiscard]] auto names(const std::string& engine, const std::string& list) const
        -> std::vector<std::string>
    {
        std::vector<std::string> out;
        const auto state = standins::parse_object(get(upstreams_.at(engine), "/v1/state").body);
        if (state && state->contains(list)) {
            for (const auto& name : state->at(list).as_array()) {
                out.emplace_back(name.as_string());
            }
        }
        return out;
    }
    /// Loads that an engine was ordered.
    [[nodiscard]] auto loads_ordered(const std::string& engine) const -> std::int64_t
    {
        const auto ledger = standins::parse_object(get(upstreams_.at(engine), "/_ledger").body);
        return ledger ? std::count_if(ledger->at("orders").as_array().begin(),
                                      ledger->at("orders").as_array().end(),
                                      [](const auto& order) { return order.at("order") == "load_model"; })
                      : -1;
    }
    /// How often a booking was executed.
    [[nodiscard]] auto executions(const std::string& key) const -> std::int64_t
    {
        const auto ledger = standins::parse_object(get(upstreams_.at("booking-1"), "/_ledger").body);
        return ledger ? standins::number_field(ledger->at("executions").as_object(), key) : -1;
    }
    /// Switches a fault of a stand-in on.
    void fault(const std::string& upstream, const std::string& body) const
    {
        (void)standins::call_and_wait({upstreams_.at(upstream), "POST", "/_fault", {}, body});
    }
    /// GET without a key.
    [[nodiscard]] static auto get(const std::string& address, const std::string& target)
        -> standins::http_answer
    {
        return standins::call_and_wait({address, "GET", target, {}, {}, 2s});
    }

private:
    void start(const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
    {
        children_.erase(name);
        children_[name] = std::make_unique<test_support::child_process>(
            std::string(DRAGONFLYMILL_BINARY_DIR) + "/" + program, arguments);
        cr_assert(children_[name]->started(), "%s can't be started", program.c_str());
    }
    [[nodiscard]] auto path(const std::string& name) const -> std::string { return folder_ + "/" + name; }
    void write(const std::string& name, const std::string& text) const { std::ofstream(path(name)) << text; }

    // Free for TCP and UDP, and below the range that the kernel takes ports of connections from: a port from
    // that range could be taken by a connection of another test before the process binds it.
    void take_ports()
    {
        constexpr int first_port = 10'000;
        constexpr int ports_a_test = 20;
        constexpr int tests_apart = 1'000;
        int candidate = first_port + (getpid() % tests_apart) * ports_a_test;
        for (const std::string name : {"engine-1", "engine-2", "booking-1", "gateway-1", "gateway-2"}) {
            for (auto& port : ports_[name]) {
                while (!is_free(static_cast<std::uint16_t>(candidate))) {
                    ++candidate;
                }
                port = static_cast<std::uint16_t>(candidate++);
            }
        }
    }
    [[nodiscard]] static auto is_free(std::uint16_t port) -> bool
    {
        boost::asio::io_context io;
        boost::system::error_code failure;
        boost::asio::ip::tcp::acceptor tcp(io, boost::asio::ip::tcp::v4());
        boost::asio::ip::udp::socket udp(io, boost::asio::ip::udp::v4());
        (void)tcp.bind({boost::asio::ip::address_v4::loopback(), port}, failure);
        if (!failure) {
            (void)udp.bind({boost::asio::ip::address_v4::loopback(), port}, failure);
        }
        return !failure;
    }
    [[nodiscard]] auto listener(const std::string& name, std::size_t number) const -> std::string
    {
        return "127.0.0.1:" + std::to_string(ports_.at(name).at(number));
    }
    void start_standins(const std::string& time_scale)
    {
        for (const std::string name : {"engine-1", "engine-2"}) {
            start(name, "standins",
                  {"engine", "--name", name, "--model", first_models_.at(name), "--warm", "--time-scale",
                   time_scale});
        }
        start("booking-1", "standins", {"service", "--name", "booking-1"});
        for (const std::string name : {"engine-1", "engine-2", "booking-1"}) {
            upstreams_[name] = "127.0.0.1:" + std::to_string(children_[name]->read_port(generous));
        }
    }
    [[nodiscard]] auto command(const std::vector<std::string>& words) const -> std::string
    {
        test_support::child_process child(std::string(DRAGONFLYMILL_BINARY_DIR) + "/dragonflymill", words);
        std::string out;
        while (const auto line = child.read_line(generous)) {
            out += *line + "\n";
        }
        cr_assert(child.wait(generous) == 0, "%s: %s", words[1].c_str(), out.c_str());
        return out;
    }
    [[nodiscard]] auto new_key(const std::string& partner) -> std::string
    {
        const auto text = command({"bundle", "key", path(partner + ".pem"), "--new"});
        for (std::size_t at = 0; at + 64 <= text.size(); ++at) {
            if (text.substr(at, 64).find_first_not_of("0123456789abcdef") == std::string::npos) {
                return text.substr(at, 64);
            }
        }
        return {};
    }
    [[nodiscard]] auto engine_section(const std::string& name) const -> std::string
    {
        return "[upstream " + name + "]\nkind = engine\nfailure_domain = " + domain_of(name) +
               "\nhost = host-" + name + "\nsidecar = " + listener(name, 0) +
               "\nmodels = assistant-1\nmemory = 450k\nmax_outstanding = 440k\ncold_outstanding = 100k\n";
    }
    [[nodiscard]] auto bundle_text() -> std::string
    {
        std::string out = "[bundle]\nversion = 1\nterm_end = 2030-12-31T00:00:00Z\n";
        for (const std::string partner : {"cooperative", "birchlog"}) {
            keys_[partner] = new_key(partner);
            out += "[partner " + partner + "]\npublic_key = " + keys_[partner] + "\n";
        }
        for (const std::string domain : {"a", "b"}) {
            out += "[failure_domain ";
            out += domain;
            out += "]\nregion = north\n";
        }
        out += "[model assistant-1]\nmax_prompt = 400k\n";
        out += engine_section("engine-1") + engine_section("engine-2");
        out += "[upstream booking-1]\nkind = service\nfailure_domain = a\nhost = host-booking-1\nsidecar = " +
               listener("booking-1", 0) + "\nmax_outstanding = 64\ncold_outstanding = 8\n" +
               "[route booking]\nupstreams = booking-1\nidempotent = no\ntime_limit = 20s\n" +
               "[account doorstep]\npartner = birchlog\n" +
               "key_sha256 = " + sha256("key-of-doorstep").hex() +
               "\nrequests = 1000/s\ntokens = 100m/s\nmax_in_flight = 1000\npriority = doorstep\n";
        return out;
    }
    void sign_bundle()
    {
        write("bundle.ini", bundle_text());
        (void)command({"bundle", "sign", path("bundle.ini"), "--partner", "cooperative", "--key",
                       path("cooperative.pem"), "--out", path("half.signed")});
        (void)command({"bundle", "sign", path("half.signed"), "--partner", "birchlog", "--key",
                       path("birchlog.pem"), "--out", path("bundle.signed")});
    }
    [[nodiscard]] static auto domain_of(const std::string& name) -> std::string
    {
        return name.back() == '1' ? "a" : "b";
    }
    [[nodiscard]] auto common(const std::string& process, const std::string& name) const -> std::string
    {
        return "[process]\nname = " + process + "\nhost = host-" + name +
               "\nfailure_domain = " + domain_of(name) +
               "\nregion = north\n[bundle]\nfile = " + path("bundle.signed") +
               "\npartners = cooperative:" + keys_.at("cooperative") + ", birchlog:" + keys_.at("birchlog") +
               "\n[control]\nudp_listen = " + listener(name, 2) + "\npeer_listen = " + listener(name, 3) +
               "\nseeds = " + listener("engine-1", 2) + ", " + listener("engine-2", 2) +
               "\nkey_file = " + path("control.key") +
               "\nstandalone = yes\n[log]\nfile = " + path(process + ".log") +
               "\n[stop]\ndrain_lag = 500ms\n[once]\nkey_file = " + path("tickets.key") + "\n";
    }
    void start_gateway(const std::string& name)
    {
        write(name + ".ini", common(name, name) + "[listen]\nhttp = " + listener(name, 0) +
                                 "\nadmin = " + listener(name, 1) + "\n");
        start(name, "dragonflymill", {"gateway", "--config", path(name + ".ini")});
        cr_assert(children_.at(name)->read_line(generous).has_value());
    }
    // Ready says that a bundle is in force; a link to each sidecar still has to come up.
    void warm_up() const
    {
        for (const std::string name : {"gateway-1", "gateway-2"}) {
            cr_assert(
                comes_true([&] { return standins::call_and_wait(completion(name, 100, 1)).status == 200; }),
                "%s answers nothing", name.c_str());
        }
        cr_assert(comes_true([&] { return busy_engine().empty(); }));
    }

    std::string folder_;
    std::map<std::string, std::array<std::uint16_t, 4>> ports_;
    std::map<std::string, std::string> upstreams_;
    std::map<std::string, std::string> keys_;
    std::map<std::string, std::string> first_models_;
    std::map<std::string, std::unique_ptr<test_support::child_process>> children_;
};

/// A seed whose prompt of `tokens` is answered with all of `max_tokens`, not with the model's own earlier
/// end.
[[nodiscard]] inline auto seed_of_long_answer(token_count tokens, token_count max_tokens) -> std::uint64_t
{
    std::uint64_t seed = 1;
    while (standins::answer_length("assistant-1",
                                   standins::digest_of(standins::prompt_text(tokens, seed)).hash,
                                   max_tokens) < max_tokens) {
        ++seed;
    }
    return seed;
}

/// Whether a streamed answer came whole: ends with `[DONE]`, has no error, and its text is the expected one.
[[nodiscard]] inline auto is_whole_answer(const standins::http_answer& answer, token_count tokens,
                                          token_count max_tokens, std::uint64_t seed = 1) -> bool
{
    std::string text;
    std::size_t at = 0;
    bool done = false;
    while ((at = answer.body.find("data: ", at)) != std::string::npos) {
        at += 6;
        const auto data = answer.body.substr(at, answer.body.find('\n', at) - at);
        const auto object = standins::parse_object(data);
        done = done || data == "[DONE]";
        if (object && object->contains("choices")) {
            text += standins::text_field(object->at("choices").as_array().at(0).as_object(), "text");
        }
    }
    return answer.status == 200 && done &&
           text == standins::expected_answer("assistant-1", standins::prompt_text(tokens, seed), max_tokens);
}

} // namespace dragonflymill::test
