#pragma once

#include "dragonflymill/serve/gateway_core.h"
#include "dragonflymill/serve/sidecar_core.h"
#include "support/message_bag.h"

#include <criterion/criterion.h>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// Gateways, sidecars and engines on a virtual clock: the real cores with a fake engine beside each sidecar.
/// Messages of attempts keep their order on their connection until it breaks; calls about shares may be lost.
class gang_simulation
{
public:
    static constexpr token_count memory = 100'000;
    static constexpr token_offset answer_tokens = 12;
    static constexpr duration step_length = 20ms;
    static constexpr duration export_time = 300ms;

    struct engine
    {
        struct work
        {
            call_number call;
            std::string name;
            attempt_spec spec;
            instant due;
            token_offset offset = 0;
        };
        std::map<std::string, token_count> spans;
        std::vector<work> streams;
        std::uint64_t start = 1;
        bool drops_releases = false;
        bool reports_cold = false;     // in its next report
        bool has_unknown_work = false; // from a replaced sidecar, or started before the sidecar saw a restart
    };
    struct answer
    {
        token_offset tokens = 0;
        bool complete = false;
        std::optional<refusal> refused;
    };

    instant now{1'000s};
    std::vector<engine> engines;
    std::map<exchange_number, answer> answers;

    /// `cold` is the number of tokens that a sidecar admits just after its start.
    gang_simulation(std::size_t gateways, std::size_t engine_count, std::uint64_t seed = 1,
                    message_bag_rules rules = {}, token_count cold = memory)
        : engines(engine_count)
        , cold_(cold)
        , share_calls_(seed, rules)
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            sidecars_.emplace_back();
            restart_sidecar(i);
            engines[i].has_unknown_work = false;
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            add_gateway(i);
        }
        pass(1s);
    }

    void request(std::size_t gateway, std::uint64_t number, token_count tokens, duration limit = 100s)
    {
        gateway_input::completion_arrived asked;
        asked.exchange = exchange_number(number);
        asked.request = request_id("r" + std::to_string(number));
        asked.account = client_account_id("a");
        asked.model = model_id("m");
        asked.prompt_tokens = tokens;
        asked.max_tokens = answer_tokens;
        asked.time_limit = limit;
        answers[asked.exchange] = {};
        gateway_of_[asked.exchange] = gateway;
        feed(gateway, asked);
    }
    /// The caller disconnects.
    void disconnect(std::size_t gateway, std::uint64_t number)
    {
        feed(gateway, gateway_input::caller_left{exchange_number(number)});
    }
    auto answer_of(std::uint64_t number) -> answer& { return answers.at(exchange_number(number)); }

    /// Advances time until `reached` returns true; returns whether it did within `longest`.
    template <typename Reached>
    auto pass_until(Reached reached, duration longest = 100s) -> bool
    {
        for (const auto end = now + longest; now < end;) {
            if (reached()) {
                return true;
            }
            step();
        }
        return reached();
    }
    void pass(duration span)
    {
        static_cast<void>(pass_until([] { return false; }, span));
    }
    auto answered(std::uint64_t number) -> bool
    {
        return pass_until([&] { return answer_of(number).complete || answer_of(number).refused; });
    }

    /// The gateway's process dies and its connections break.
    void kill_gateway(std::size_t gateway)
    {
        gateways_[gateway].reset();
        for (auto& [number, call] : calls_) {
            if (call.gateway == gateway && call.open) {
                call.open = false;
                to_sidecar(call.sidecar, sidecar_input::call_cancelled{number});
            }
        }
    }
    /// The sidecar's process is replaced: its connections break and its engine keeps running.
    void restart_sidecar(std::size_t sidecar)
    {
        sidecar_core_options options;
        options.gate.ramp.floor = cold_;
        options.gate.ramp.ceiling = memory;
        options.ledger.upstream = upstream_of(sidecar);
        options.ledger.self = incarnation(++incarnations_);
        options.ledger.started = now;
        options.ledger.ticket_key = "a key of the tests";
        options.seed = incarnations_;
        sidecars_[sidecar] = std::make_unique<sidecar_core>(now, options);
        feed_sidecar(sidecar, sidecar_input::capacity_changed{cold_, memory, model_id("m")});
        engines[sidecar].has_unknown_work = true;
        break_calls(sidecar);
    }
    /// The engine's process dies and restarts empty.
    void restart_engine(std::size_t number)
    {
        auto& dead = engines[number];
        const auto streams = std::exchange(dead.streams, {});
        dead.spans.clear();
        ++dead.start;
        dead.has_unknown_work = true;
        for (const auto& work : streams) {
            sidecar_event lost = sidecar_input::engine_failed{work.call};
            feed_sidecar(number, lost);
        }
    }
    /// Operators drain an upstream, or return it to service.
    void drain(std::size_t sidecar, bool out) { feed_sidecar(sidecar, sidecar_input::drain_changed{out}); }
    /// An engine turns cold, and its sidecar is notified.
    void turn_cold(std::size_t number)
    {
        feed_sidecar(number, sidecar_input::capacity_changed{memory / 5, memory, model_id("m")});
        engines[number].reports_cold = true;
    }
    /// The connections of attempts to the sidecar break on both sides.
    void break_connections(std::size_t sidecar)
    {
        for (auto& [number, call] : calls_) {
            if (call.sidecar == sidecar && call.open) {
                to_sidecar(sidecar, sidecar_input::call_cancelled{number});
            }
        }
        break_calls(sidecar);
    }
    void change_network(message_bag_rules rules) { share_calls_.change(rules); }

    /// Returns whether the request's gateway is dead, so that the request can't be answered.
    [[nodiscard]] auto lost_with_gateway(exchange_number number) const -> bool
    {
        return !gateways_[gateway_of_.at(number)];
    }
    /// Returns an engine that computes a span, or that decodes the answer of a gang.
    [[nodiscard]] auto busy_engine(bool exporting) const -> std::optional<std::size_t>
    {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            for (const auto& work : engines[i].streams) {
                if (work.spec.share != lease_id{} && work.spec.is_export() == exporting) {
                    return i;
                }
            }
        }
        return std::nullopt;
    }
    /// Returns the tokens that sidecars have reserved or engines hold.
    [[nodiscard]] auto held() const -> token_count
    {
        token_count sum = 0;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            sum += sidecars_[i]->load(now).outstanding;
            sum += static_cast<token_count>(sidecars_[i]->in_flight());
            sum += memory_of(engines[i]);
        }
        return sum;
    }

private:
    struct call_info
    {
        std::size_t gateway = 0;
        std::size_t sidecar = 0;
        attempt_key key;   // of an attempt
        gang_key gang;     // of a call about a share
        bool open = false; // an attempt that has not ended
    };
    struct message
    {
        bool to_gateway = false;
        std::size_t to = 0;
        std::variant<gateway_event, sidecar_event> what;
    };

    static auto upstream_of(std::size_t sidecar) -> upstream_id
    {
        return upstream_id("e" + std::to_string(sidecar));
    }
    static auto memory_of(const engine& each) -> token_count
    {
        token_count sum = 0;
        for (const auto& [name, tokens] : each.spans) {
            sum += tokens;
        }
        for (const auto& work : each.streams) {
            sum += work.spec.is_export() ? 0 : work.spec.prefill + work.spec.max_tokens;
        }
        return sum;
    }

    void add_gateway(std::size_t number)
    {
        gateway_core_options options;
        options.self = process_id("g" + std::to_string(number));
        options.failure_domain = failure_domain_id("d");
        options.region = region_id("r");
        options.reserved_for_short = 0;
        options.seed = number;
        gateways_.push_back(std::make_unique<gateway_core>(now, options));
        auto made = std::make_shared<bundle>();
        made->version = bundle_version(1);
        made->models.push_back({model_id("m"), {}, 1'000'000});
        made->domains.push_back({failure_domain_id("d"), region_id("r"), true});
        for (std::size_t i = 0; i < engines.size(); ++i) {
            upstream_entry entry;
            entry.id = upstream_of(i);
            entry.domain = failure_domain_id("d");
            entry.models = {model_id("m")};
            entry.memory_tokens = memory;
            entry.max_outstanding = memory;
            made->upstreams.push_back(entry);
        }
        account_entry account;
        account.id = client_account_id("a");
        account.requests_per_second = 10'000;
        account.tokens_per_second = 1e9;
        account.max_in_flight = 1'000;
        made->accounts.push_back(account);
        feed(number, gateway_input::gateways_changed{{options.self}, 1});
        feed(number, gateway_input::bundle_adopted{std::move(made)});
    }

    void step()
    {
        now += step_length;
        std::deque<message> due;
        due.swap(connections_);
        for (const auto& each : due) {
            deliver(each);
        }
        while (const auto each = share_calls_.take(now)) {
            deliver(*each);
        }
        for (std::size_t i = 0; i < engines.size(); ++i) {
            run_engine(i);
            feed_sidecar(i, sidecar_input::tick{});
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            feed(i, gateway_input::tick{});
        }
        if ((now - instant{}) % 200ms == duration::zero()) {
            report_states();
        }
        check_sources();
    }

    void report_states()
    {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            sidecar_input::engine_reported report;
            report.status.start = incarnation(engines[i].start);
            report.status.cold = std::exchange(engines[i].reports_cold, false);
            report.memory_used = memory_of(engines[i]);
            for (const auto& [name, tokens] : engines[i].spans) {
                report.held.push_back({name, tokens, true});
            }
            for (const auto& work : engines[i].streams) {
                if (!work.spec.is_export()) {
                    report.held.push_back({work.name, 1, false});
                }
            }
            feed_sidecar(i, report);
            for (std::size_t g = 0; g < gateways_.size(); ++g) {
                if (gateways_[g]) {
                    feed_sidecar(i, sidecar_input::gateway_heartbeat{process_id("g" + std::to_string(g))});
                    feed(g, gateway_input::load_reported{upstream_of(i), sidecars_[i]->load(now)});
                }
            }
        }
    }

    void run_engine(std::size_t number)
    {
        auto& engine_state = engines[number];
        std::vector<sidecar_event> events;
        for (auto& work : engine_state.streams) {
            if (work.due > now) {
                continue;
            }
            work.due = now + step_length;
            if (work.spec.is_export()) {
                work.offset = answer_tokens;
                events.emplace_back(sidecar_input::engine_finished{work.call, work.spec.prompt_tokens,
                                                                   "exported", std::to_string(number)});
            }
            else if (work.offset < answer_tokens) {
                events.emplace_back(sidecar_input::engine_tokens{work.call, work.offset++, {"t"}});
            }
            else {
                ++work.offset;
                events.emplace_back(sidecar_input::engine_finished{work.call, answer_tokens, "length"});
            }
        }
        std::erase_if(engine_state.streams, [](const auto& work) {
            return work.offset > answer_tokens || (work.spec.is_export() && work.offset == answer_tokens);
        });
        for (const auto& event : events) {
            feed_sidecar(number, event);
        }
    }

    /// Checks that every imported span exists at its source while the answer is decoded.
    void check_sources() const
    {
        for (const auto& each : engines) {
            for (const auto& work : each.streams) {
                for (const auto& import : work.spec.imports) {
                    const auto& source = engines[std::stoul(import.source)];
                    const bool reads = work.offset > 0 && work.offset < answer_tokens;
                    const bool lost = source.start != each.start || orphaned(work.call);
                    cr_assert(!reads || lost || source.spans.count(import.span) != 0,
                              "span %s is read but not held by its source", import.span.c_str());
                }
            }
        }
    }
    [[nodiscard]] auto orphaned(call_number call) const -> bool { return !calls_.at(call).open; }

    void deliver(const message& each)
    {
        if (each.to_gateway) {
            feed(each.to, std::get<gateway_event>(each.what));
        }
        else {
            feed_sidecar(each.to, std::get<sidecar_event>(each.what));
        }
    }
    void to_sidecar(std::size_t sidecar, sidecar_event event)
    {
        connections_.push_back({false, sidecar, std::move(event)});
    }
    void to_gateway(std::size_t gateway, gateway_event event)
    {
        connections_.push_back({true, gateway, std::move(event)});
    }
    void feed(std::size_t number, const gateway_event& event)
    {
        if (gateways_[number]) {
            for (const auto& action : gateways_[number]->step(now, event)) {
                std::visit([&](const auto& what) { act(number, what); }, action);
            }
        }
    }
    void feed_sidecar(std::size_t number, const sidecar_event& event)
    {
        for (const auto& action : sidecars_[number]->step(now, event)) {
            std::visit([&](const auto& what) { act_sidecar(number, what); }, action);
        }
    }
    void break_calls(std::size_t sidecar)
    {
        for (auto& [number, call] : calls_) {
            if (call.sidecar == sidecar && call.open) {
                call.open = false;
                to_gateway(call.gateway, gateway_input::attempt_broken{call.key, true});
            }
        }
    }
    static auto index_of(const upstream_id& upstream) -> std::size_t
    {
        return std::stoul(upstream.text().substr(1));
    }

    // Carries out the actions of a gateway.
    template <typename Action>
    void act(std::size_t /*gateway*/, const Action& /*action*/)
    {
    }
    void act(std::size_t gateway, const gateway_output::open_attempt& action)
    {
        const call_number call(++last_call_);
        calls_[call] = {gateway, index_of(action.upstream), action.key, {}, true};
        to_sidecar(index_of(action.upstream), sidecar_input::attempt_opened{call, action.spec});
    }
    void act(std::size_t gateway, const gateway_output::send_prompt& action)
    {
        with_call(gateway, action.key, [&](call_number number, call_info& call) {
            to_sidecar(call.sidecar, sidecar_input::prompt_received{number});
        });
    }
    void act(std::size_t gateway, const gateway_output::cancel_attempt& action)
    {
        with_call(gateway, action.key, [&](call_number number, call_info& call) {
            call.open = false;
            to_sidecar(call.sidecar, sidecar_input::call_cancelled{number});
        });
    }
    template <typename Use>
    void with_call(std::size_t gateway, const attempt_key& key, Use use)
    {
        for (auto& [number, call] : calls_) {
            if (call.gateway == gateway && call.key == key && call.open) {
                use(number, call);
            }
        }
    }
    void act(std::size_t gateway, const reserve_share& action)
    {
        const auto released = released_rounds_.find(action.gang.request);
        cr_assert(released == released_rounds_.end() || released->second < action.gang.round,
                  "a repeated release must not end the next round");
        send_share<sidecar_input::share_requested>(gateway, action, action);
    }
    void act(std::size_t gateway, const renew_share& action)
    {
        send_share<sidecar_input::share_renewal_requested>(gateway, action, action);
    }
    void act(std::size_t gateway, const release_share& action)
    {
        auto& released = released_rounds_[action.gang.request];
        released = std::max(released, action.gang.round);
        send_share<sidecar_input::share_release_requested>(gateway, action, action.gang);
    }
    template <typename Input, typename Wanted, typename Content>
    void send_share(std::size_t gateway, const Wanted& wanted, const Content& content)
    {
        const call_number call(++last_call_);
        const auto sidecar = index_of(wanted.upstream);
        calls_[call] = {gateway, sidecar, {}, wanted.gang, false};
        const Input input{call, process_id("g" + std::to_string(gateway)), content};
        share_calls_.send(now, message{false, sidecar, sidecar_event(input)});
    }
    void act(std::size_t /*gateway*/, const gateway_output::deliver& action)
    {
        auto& received = answers.at(action.exchange);
        cr_assert(received.tokens == action.offset, "tokens must arrive once and in order");
        received.tokens += static_cast<token_offset>(action.tokens.size());
    }
    void act(std::size_t /*gateway*/, const gateway_output::finish& action)
    {
        auto& received = answers.at(action.exchange);
        cr_assert(!received.complete && !received.refused && received.tokens == answer_tokens);
        received.complete = true;
    }
    void act(std::size_t /*gateway*/, const gateway_output::refuse& action)
    {
        auto& received = answers.at(action.exchange);
        cr_assert(!received.complete && !received.refused);
        received.refused = action.why;
    }

    // Carries out the actions of a sidecar.
    template <typename Action>
    void act_sidecar(std::size_t /*sidecar*/, const Action& /*action*/)
    {
    }
    void act_sidecar(std::size_t /*sidecar*/, const sidecar_output::grant_attempt& action)
    {
        send_to_caller(action.call, gateway_input::attempt_granted{calls_.at(action.call).key}, false);
    }
    void act_sidecar(std::size_t /*sidecar*/, const sidecar_output::refuse_call& action)
    {
        send_to_caller(action.call, gateway_input::attempt_refused{calls_.at(action.call).key, action.why},
                       true);
    }
    void act_sidecar(std::size_t /*sidecar*/, const sidecar_output::send_tokens& action)
    {
        send_to_caller(
            action.call,
            gateway_input::attempt_tokens{calls_.at(action.call).key, action.offset, action.tokens}, false);
    }
    void act_sidecar(std::size_t /*sidecar*/, const sidecar_output::finish_attempt& action)
    {
        send_to_caller(action.call,
                       gateway_input::attempt_finished{calls_.at(action.call).key, action.tokens,
                                                       action.reason, action.source},
                       true);
    }
    void send_to_caller(call_number number, const gateway_event& event, bool last)
    {
        auto& call = calls_.at(number);
        if (call.open) {
            call.open = !last;
            to_gateway(call.gateway, event);
        }
    }
    void act_sidecar(std::size_t sidecar, const sidecar_output::start_stream& action)
    {
        auto& engine_state = engines[sidecar];
        const token_count need = action.spec.prefill + action.spec.max_tokens;
        if (memory_of(engine_state) + need > memory) {
            // A sidecar accounts for everything that it admitted itself.
            cr_assert(engine_state.has_unknown_work, "a sidecar admitted more than its engine can hold");
            to_sidecar(sidecar, sidecar_input::engine_failed{action.call, true, true});
            return;
        }
        if (action.spec.is_export()) {
            engine_state.spans[action.spec.exported_span] = action.spec.prompt_tokens;
        }
        for (const auto& import : action.spec.imports) {
            engine_state.spans[import.span] = (import.end - import.begin) / 64;
        }
        engine_state.streams.push_back(
            {action.call, action.engine_request, action.spec, now + export_time, action.spec.resume_offset});
    }
    void act_sidecar(std::size_t sidecar, const sidecar_output::start_warm_up& action)
    {
        engines[sidecar].streams.push_back(
            {action.call, action.engine_request, action.spec, now + export_time, 0});
    }
    void act_sidecar(std::size_t sidecar, const sidecar_output::cancel_stream& action)
    {
        auto& engine_state = engines[sidecar];
        std::erase_if(engine_state.streams, [&](const auto& work) {
            if (work.name == action.engine_request) {
                engine_state.spans.erase(work.spec.exported_span);
            }
            return work.name == action.engine_request;
        });
        to_sidecar(sidecar, sidecar_input::cancel_confirmed{action.engine_request});
    }
    void act_sidecar(std::size_t sidecar, const sidecar_output::release_span& action)
    {
        auto& engine_state = engines[sidecar];
        if (engine_state.drops_releases) {
            return;
        }
        engine_state.spans.erase(action.span);
        std::erase_if(engine_state.streams,
                      [&](const auto& work) { return work.spec.exported_span == action.span; });
        to_sidecar(sidecar, sidecar_input::span_released{action.span});
    }
    void act_sidecar(std::size_t sidecar, const sidecar_output::grant_share& action)
    {
        const auto& call = calls_.at(action.call);
        send_share_answer(call, share_granted{call.gang, upstream_of(sidecar), action.lease, action.ask});
    }
    void act_sidecar(std::size_t sidecar, const sidecar_output::refuse_share& action)
    {
        const auto& call = calls_.at(action.call);
        send_share_answer(
            call, share_refused{call.gang, upstream_of(sidecar), action.why.retry_after, action.in_line});
    }
    void act_sidecar(std::size_t sidecar, const sidecar_output::confirm_share_return& action)
    {
        const auto& call = calls_.at(action.call);
        send_share_answer(call, share_released{call.gang, upstream_of(sidecar)});
    }
    void send_share_answer(const call_info& call, const gateway_event& event)
    {
        share_calls_.send(now, message{true, call.gateway, event});
    }

    std::vector<std::unique_ptr<gateway_core>> gateways_;
    std::vector<std::unique_ptr<sidecar_core>> sidecars_;
    std::map<call_number, call_info> calls_;
    std::map<request_id, attempt_number> released_rounds_; // highest released round of each request
    std::map<exchange_number, std::size_t> gateway_of_;
    std::deque<message> connections_;
    token_count cold_;
    message_bag<message> share_calls_;
    std::uint64_t last_call_ = 0;
    std::uint64_t incarnations_ = 0;
};

} // namespace dragonflymill::test
