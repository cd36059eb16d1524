#pragma once

#include "dragonflymill/membership/membership.h"
#include "support/message_bag.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// A datagram in flight between two addresses.
struct member_message
{
    std::size_t from = 0;
    std::size_t to = 0;
    datagram content;
};

/// Simulates a few memberships that exchange datagrams through a message bag. Process `i` has the address `i`
/// and runs in failure domain `i mod 3`; those from `second_region_from` on run in another region.
class membership_fixture
{
public:
    static constexpr duration tick_length = 100ms;

    membership_fixture(std::size_t size, std::uint64_t seed, message_bag_rules rules = {},
                       std::size_t second_region_from = 99)
        : members(size)
        , partition(size, 0)
        , paused(size, false)
        , down(size, false)
        , superseded_count(size, 0)
        , bag(seed, rules)
        , second_region_from_(second_region_from)
        , seed_(seed)
    {
        for (std::size_t at = 0; at < size; ++at) {
            start(at, 1'000);
        }
    }

    static auto name(std::size_t at) -> process_id { return process_id("p" + std::to_string(at)); }

    /// Restarts the process with empty state and the given incarnation number.
    void start(std::size_t at, std::uint64_t number)
    {
        membership_settings settings;
        settings.self.id = name(at);
        settings.self.region = region_id(at < second_region_from_ ? "north" : "south");
        settings.self.domain = failure_domain_id("d" + std::to_string(at % 3));
        settings.self.host = host_id("h" + std::to_string(at));
        settings.self.gossip_address = std::to_string(at);
        settings.start = incarnation(number);
        settings.seeds = {"0", "1", std::to_string(members.size() - 1)};
        members[at].emplace(settings, seed_ * 1'000 + at * 10 + number, now);
        down[at] = false;
    }

    /// Advances time in ticks; `each_tick` runs after each one.
    template <typename Check>
    void run(duration time, Check each_tick)
    {
        const auto end = now + time;
        while (now < end) {
            now += tick_length;
            for (std::size_t at = 0; at < members.size(); ++at) {
                if (is_running(at)) {
                    apply_outputs(at, members[at]->tick(now));
                }
            }
            deliver();
            each_tick();
        }
    }
    void run(duration time)
    {
        run(time, [] {});
    }

    /// State of `about` as seen by `at`; dead if it is unknown there.
    [[nodiscard]] auto observed_state(std::size_t at, std::size_t about) const -> member_state
    {
        const auto* record = members[at]->table().find(name(about));
        return record == nullptr ? member_state::dead : record->update.state;
    }
    /// Whether every running process other than `about` sees it in that state.
    [[nodiscard]] auto all_observe(std::size_t about, member_state state) const -> bool
    {
        for (std::size_t at = 0; at < members.size(); ++at) {
            if (at != about && is_running(at) && observed_state(at, about) != state) {
                return false;
            }
        }
        return true;
    }
    /// Whether every running process sees every running process as alive.
    [[nodiscard]] auto all_observe_all_alive() const -> bool
    {
        for (std::size_t about = 0; about < members.size(); ++about) {
            if (is_running(about) && !all_observe(about, member_state::alive)) {
                return false;
            }
        }
        return true;
    }
    [[nodiscard]] auto is_running(std::size_t at) const -> bool { return !down[at] && !paused[at]; }

    void apply_outputs(std::size_t at, const membership_outputs& outputs)
    {
        for (const auto& output : outputs) {
            if (const auto* sent = std::get_if<send_datagram>(&output)) {
                ++datagrams;
                bag.send(now, {at, std::stoul(sent->address), sent->message});
            }
            else if (std::holds_alternative<superseded>(output)) {
                ++superseded_count[at];
            }
            else if (const auto* changed = std::get_if<member_changed>(&output)) {
                deaths += changed->update.state == member_state::dead ? 1 : 0;
            }
        }
    }

    instant now{};
    std::vector<std::optional<membership>> members;
    std::vector<int> partition;
    std::vector<bool> paused;
    std::vector<bool> down;
    std::vector<int> superseded_count;
    message_bag<member_message> bag;
    std::uint64_t datagrams = 0;
    std::uint64_t deaths = 0;

private:
    void deliver()
    {
        const auto ready = [this](const member_message& message) { return !paused[message.to]; };
        for (auto message = bag.take(now, ready); message; message = bag.take(now, ready)) {
            if (!down[message->to] && partition[message->from] == partition[message->to]) {
                apply_outputs(message->to, members[message->to]->receive(now, message->content,
                                                                         std::to_string(message->from)));
            }
        }
    }

    std::size_t second_region_from_;
    std::uint64_t seed_;
};

} // namespace dragonflymill::test
