#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/limit/account_limiter.h"

#include <functional>
#include <vector>

namespace dragonflymill::test {

/// Gateways that serve one account on a virtual clock. Their messages reach only gateways on the same side of
/// a partition.
class limiter_simulation
{
public:
    static constexpr duration tick_length = 50ms;
    static constexpr double limit = 200;

    limiter_simulation(std::size_t size, std::uint64_t seed)
        : demand(size, 0)
        , side(size, 0)
        , paused(size, false)
        , admitted_at(size, 0)
        , random_(seed)
    {
        for (std::size_t at = 0; at < size; ++at) {
            account_limiter_settings settings;
            settings.self = name(at);
            limiters.emplace_back(settings, now);
            limiters.back().bundle_adopted(now, sample());
        }
        spread_membership();
    }

    static auto name(std::size_t at) -> process_id { return process_id("g" + std::to_string(at)); }
    static auto account() -> client_account_id { return client_account_id("acme"); }
    static auto sample(double requests = limit) -> bundle
    {
        account_entry entry;
        entry.id = account();
        entry.requests_per_second = requests;
        entry.tokens_per_second = 1'000'000;
        entry.max_in_flight = 1'000'000;
        bundle value;
        value.accounts = {entry};
        return value;
    }

    /// Updates the membership: each gateway sees the running gateways on its side.
    void spread_membership()
    {
        for (std::size_t at = 0; at < limiters.size(); ++at) {
            std::vector<process_id> live;
            for (std::size_t other = 0; other < limiters.size(); ++other) {
                if (side[at] == side[other] && !paused[other]) {
                    live.push_back(name(other));
                }
            }
            limiters[at].gateways_changed(now, live, limiters.size());
        }
    }

    /// Returns the index of the home as gateway `at` sees it.
    [[nodiscard]] auto home(std::size_t at) const -> std::size_t
    {
        return std::stoul(limiters[at].home(account()).text().substr(1));
    }

    /// Advances by `time` and returns the admitted requests a second.
    auto run(duration time) -> double
    {
        admitted = 0;
        std::fill(admitted_at.begin(), admitted_at.end(), 0);
        const auto end = now + time;
        while (now < end) {
            now += tick_length;
            for (std::size_t at = 0; at < limiters.size(); ++at) {
                if (!paused[at]) {
                    step(at);
                }
            }
        }
        return static_cast<double>(admitted) * 1e6 / static_cast<double>(time.count());
    }

    instant now{};
    std::vector<account_limiter> limiters;
    std::vector<double> demand; ///< Requests a second that callers send to each gateway.
    std::vector<int> side;
    std::vector<bool> paused;
    std::vector<std::uint64_t> admitted_at;
    std::uint64_t admitted = 0;
    double loss = 0;
    std::uint64_t share_messages = 0; ///< Messages that request shares.

private:
    void step(std::size_t at)
    {
        auto count = demand[at] * static_cast<double>(tick_length.count()) / 1e6;
        for (; count > 0; count -= 1) {
            if (count < 1 && !random_.chance(count)) {
                continue;
            }
            if (!limiters[at].admit(now, account(), 100)) {
                ++admitted;
                ++admitted_at[at];
                limiters[at].done(now, account(), 0);
            }
        }
        for (const auto& message : limiters[at].tick(now)) {
            const auto home_at = std::stoul(message.home.text().substr(1));
            const bool reached = side[at] == side[home_at] && !paused[home_at];
            ++share_messages;
            if (!reached || random_.chance(loss)) {
                continue;
            }
            for (const auto& request : message.requests) {
                limiters[at].share_granted(now, limiters[home_at].grant_share(now, request), message.asked);
            }
        }
    }

    random_source random_;
};

} // namespace dragonflymill::test
