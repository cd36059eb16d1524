#pragma once

#include "bundle/signing.h"
#include "control/control_core.h"
#include "dragonflymill/core/random_source.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// Settings of process `number`; the number is also its gossip address.
inline auto core_options(std::size_t number) -> control::control_core_options
{
    control::control_core_options options;
    auto& self = options.membership.self;
    self.id = process_id("p" + std::to_string(number));
    self.region = region_id("north");
    self.domain = failure_domain_id("d" + std::to_string(number % 3));
    self.host = host_id("h" + std::to_string(number));
    self.gossip_address = std::to_string(number);
    self.peer_address = self.gossip_address;
    options.membership.start = incarnation(1'000);
    options.membership.seeds = {"0", "1", "2"};
    options.bundle.trusted = test_partners();
    options.seal_keys = {"0123456789abcdef"};
    return options;
}

/// Control cores of a fleet without sockets: a datagram is delivered immediately or lost.
class core_fleet
{
public:
    explicit core_fleet(std::size_t size, double drop_part = 0, std::uint64_t seed = 1)
        : cores(size)
        , partition(size, 0)
        , paused(size, false)
        , drop(drop_part)
        , random_(seed)
    {
        for (std::size_t at = 0; at < size; ++at) {
            start(at, 1'000);
        }
    }

    /// Restarts a process without state, with incarnation `number`.
    void start(std::size_t at, std::uint64_t number)
    {
        auto options = core_options(at);
        options.membership.start = incarnation(number);
        cores[at].emplace(control::control_core::create(options, at + number, now).value());
    }

    /// Advances time; calls `each_tick` after each step.
    template <typename Check>
    void run(duration time, Check each_tick)
    {
        for (const auto end = now + time; now < end; now += 100ms) {
            for (std::size_t at = 0; at < cores.size(); ++at) {
                if (!paused[at]) {
                    carry_out(at, cores[at]->tick(now, wall));
                }
            }
            each_tick();
        }
    }
    void run(duration time)
    {
        run(time, [] {});
    }

    /// Pushes a bundle to one process, as an operator does.
    void push(std::size_t at, const bundle& value)
    {
        const bundle_origin origin{bundle_origin_kind::operator_push, {}};
        carry_out(at, cores[at]->manifest_arrived(now, origin, encode_signed_manifest(test_signed(value))));
        for (const auto& text : section_texts(value)) {
            carry_out(at, cores[at]->section_arrived(now, text));
        }
    }

    /// Drains a failure domain at one process, or returns it to service, as an operator does.
    void drain(std::size_t at, const failure_domain_id& domain, bool out)
    {
        carry_out(at, cores[at]->operator_drain(now, domain, out));
    }

    /// Version in force; 0 if none.
    [[nodiscard]] auto version(std::size_t at) const -> std::uint64_t
    {
        const auto word = cores[at]->keeper().word();
        return word ? word->version.value() : 0;
    }
    [[nodiscard]] auto all_have(std::uint64_t wanted) const -> bool
    {
        for (std::size_t at = 0; at < cores.size(); ++at) {
            if (version(at) != wanted) {
                return false;
            }
        }
        return true;
    }
    /// Number of processes that consider a failure domain drained.
    [[nodiscard]] auto drained_at(const failure_domain_id& domain) const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& core : cores) {
            count += core->drains().accepts_new_work(domain, host_id("none")) ? 0 : 1;
        }
        return count;
    }

    void carry_out(std::size_t at, const control::control_outputs& outputs)
    {
        for (const auto& output : outputs) {
            if (const auto* sent = std::get_if<control::send_bytes>(&output)) {
                const auto to = std::stoul(sent->address);
                if (reaches(at, to) && !random_.chance(drop)) {
                    carry_out(to, cores[to]->datagram_arrived(now, sent->bytes, std::to_string(at)));
                }
            }
            else if (const auto* manifest = std::get_if<control::fetch_peer_manifest>(&output)) {
                fetch(at, *manifest);
            }
            else if (const auto* sections = std::get_if<control::fetch_peer_sections>(&output)) {
                fetch(at, *sections);
            }
        }
    }

    instant now{};
    wall_instant wall{};
    std::vector<std::optional<control::control_core>> cores;
    std::vector<int> partition;
    std::vector<bool> paused;
    double drop = 0;

private:
    [[nodiscard]] auto reaches(std::size_t from, std::size_t to) const -> bool
    {
        return to < cores.size() && partition[from] == partition[to] && !paused[to];
    }

    void fetch(std::size_t at, const control::fetch_peer_manifest& wanted)
    {
        const auto from = std::stoul(wanted.address);
        if (!reaches(at, from)) {
            carry_out(at, cores[at]->fetch_failed(now, wanted.peer));
            return;
        }
        carry_out(at, cores[at]->manifest_arrived(now, {bundle_origin_kind::peer, wanted.peer},
                                                  cores[from]->keeper().manifest_text()));
    }

    void fetch(std::size_t at, const control::fetch_peer_sections& wanted)
    {
        const auto from = std::stoul(wanted.address);
        if (!reaches(at, from)) {
            carry_out(at, cores[at]->fetch_failed(now, wanted.peer));
            return;
        }
        for (const auto& digest : wanted.digests) {
            if (const auto text = cores[from]->keeper().section(digest)) {
                carry_out(at, cores[at]->section_arrived(now, *text));
            }
        }
    }

    random_source random_;
};

} // namespace dragonflymill::test
