#pragma once

#include "dragonflymill/bundle/bundle_manager.h"
#include "signing.h"
#include "support/message_bag.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// A message between two simulated bundle managers.
struct bundle_message
{
    enum class kind_type
    {
        query,
        notice,
        get_manifest,
        manifest,
        get_section,
        section,
    };
    std::size_t from = 0;
    std::size_t to = 0;
    kind_type kind = kind_type::query;
    std::optional<bundle_notice> notice;
    sha256_digest digest;
    std::string text;
};

/// Simulates four bundle managers, a configuration service that may be down or stale, and a lossy network.
class bundle_simulation
{
public:
    static constexpr std::size_t size = 4;
    static constexpr duration tick_length = 100ms;

    explicit bundle_simulation(std::uint64_t seed, message_bag_rules rules = {})
        : random(seed)
        , bag(seed + 1, rules)
    {
        for (std::size_t at = 0; at < size; ++at) {
            start(at);
        }
    }

    static auto name(std::size_t at) -> process_id { return process_id("p" + std::to_string(at)); }
    static auto domain(std::size_t at) -> failure_domain_id
    {
        return failure_domain_id("d" + std::to_string(at % 3));
    }

    /// Restarts the process without state.
    void start(std::size_t at)
    {
        bundle_manager_settings settings;
        settings.trusted = test_partners();
        managers[at].emplace(settings, now);
        for (std::size_t other = 0; other < size; ++other) {
            if (other != at) {
                managers[at]->peer_asked(name(other));
            }
        }
    }

    /// Publishes a bundle at the configuration service.
    void publish(const bundle& value)
    {
        service_manifest = encode_signed_manifest(test_signed(value));
        for (const auto& text : section_texts(value)) {
            service_sections[sha256(text)] = text;
        }
    }

    /// Advances time; calls `each_tick` after each step.
    template <typename Check>
    void run(duration time, Check each_tick)
    {
        const auto end = now + time;
        while (now < end) {
            now += tick_length;
            for (std::size_t at = 0; at < size; ++at) {
                step(at);
            }
            deliver();
            each_tick();
        }
    }
    void run(duration time)
    {
        run(time, [] {});
    }

    /// Whether two processes can reach each other.
    [[nodiscard]] auto connected(std::size_t a, std::size_t b) const -> bool
    {
        return partition[a] == partition[b];
    }

    /// Version in force at a process; 0 if none is.
    [[nodiscard]] auto version(std::size_t at) const -> std::uint64_t
    {
        const auto notice = managers[at]->word();
        return notice ? notice->version.value() : 0;
    }
    [[nodiscard]] auto all_have(std::uint64_t wanted) const -> bool
    {
        for (std::size_t at = 0; at < size; ++at) {
            if (version(at) != wanted) {
                return false;
            }
        }
        return true;
    }

    instant now{};
    wall_instant wall = start_wall_time();
    random_source random;
    message_bag<bundle_message> bag;
    std::array<std::optional<bundle_manager>, size> managers;
    std::array<int, size> partition{};
    std::array<bool, size> paused{};
    bool service_up = true;
    std::string service_manifest;
    std::map<sha256_digest, std::string> service_sections;
    std::vector<bundle_alarm> alarms;
    std::uint64_t sections_sent = 0;

private:
    static auto start_wall_time() -> wall_instant { return wall_instant(duration(1h)); }

    void step(std::size_t at)
    {
        if (paused[at]) {
            return;
        }
        apply(at, managers[at]->tick(now, wall));
        if (service_up && !service_manifest.empty() && random.chance(0.2)) {
            apply(at, managers[at]->manifest_arrived(now, {}, service_manifest));
        }
        for (std::size_t other = 0; other < size; ++other) {
            if (other != at && random.chance(0.5)) {
                bag.send(now, {at, other, bundle_message::kind_type::query, {}, {}, ""});
            }
        }
    }

    void deliver()
    {
        const auto ready = [this](const bundle_message& message) { return !paused[message.to]; };
        for (auto message = bag.take(now, ready); message; message = bag.take(now, ready)) {
            if (connected(message->from, message->to)) {
                receive(*message);
            }
        }
    }

    void receive(const bundle_message& message)
    {
        using kind = bundle_message::kind_type;
        auto& manager = *managers[message.to];
        const auto reply = [&](kind what, std::string text) {
            bag.send(now, {message.to, message.from, what, manager.word(), {}, std::move(text)});
        };
        switch (message.kind) {
        case kind::query:
            return reply(kind::notice, "");
        case kind::notice:
            return apply(message.to,
                         manager.peer_said(now, name(message.from), domain(message.from), message.notice));
        case kind::get_manifest:
            return reply(kind::manifest, manager.manifest_text());
        case kind::manifest:
            return apply(message.to, manager.manifest_arrived(
                                         now, {bundle_origin_kind::peer, name(message.from)}, message.text));
        case kind::get_section:
            if (const auto text = manager.section(message.digest)) {
                ++sections_sent;
                reply(kind::section, *text);
            }
            return;
        case kind::section:
            return apply(message.to, manager.section_arrived(now, message.text));
        }
    }

    void apply(std::size_t at, const bundle_manager_outputs& outputs)
    {
        for (const auto& output : outputs) {
            if (const auto* manifest = std::get_if<fetch_manifest>(&output)) {
                bag.send(
                    now,
                    {at, peer_index(manifest->peer), bundle_message::kind_type::get_manifest, {}, {}, ""});
            }
            else if (const auto* sections = std::get_if<fetch_sections>(&output)) {
                fetch(at, *sections);
            }
            else if (const auto* alarm = std::get_if<bundle_alarm>(&output)) {
                alarms.push_back(*alarm);
            }
        }
    }

    void fetch(std::size_t at, const fetch_sections& wanted)
    {
        for (const auto& digest : wanted.digests) {
            if (wanted.origin.kind == bundle_origin_kind::peer) {
                bag.send(now, {at,
                               peer_index(wanted.origin.peer),
                               bundle_message::kind_type::get_section,
                               {},
                               digest,
                               ""});
            }
            else if (service_up) {
                apply(at, managers[at]->section_arrived(now, service_sections.at(digest)));
            }
        }
    }

    static auto peer_index(const process_id& peer) -> std::size_t
    {
        return static_cast<std::size_t>(peer.text().at(1) - '0');
    }
};

} // namespace dragonflymill::test
