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

/// A message between two keepers of a schedule test.
struct keeper_message
{
    enum class kind_type
    {
        ask,
        word,
        get_manifest,
        manifest,
        get_section,
        section,
    };
    std::size_t from = 0;
    std::size_t to = 0;
    kind_type kind = kind_type::ask;
    std::optional<bundle_notice> word;
    sha256_digest digest;
    std::string text;
};

/// Up to five keepers, a configuration service that may be down or stale, and a bag of messages.
class keeper_world
{
public:
    static constexpr std::size_t size = 4;
    static constexpr duration tick_length = 100ms;

    explicit keeper_world(std::uint64_t seed, message_bag_rules rules = {})
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

    /// Starts the process anew, with an empty memory.
    void start(std::size_t at)
    {
        bundle_manager_settings settings;
        settings.trusted = test_partners();
        keepers[at].emplace(settings, now);
        for (std::size_t other = 0; other < size; ++other) {
            if (other != at) {
                keepers[at]->peer_asked(name(other));
            }
        }
    }

    /// Publishes a bundle: the service has it from now on.
    void publish(const bundle& value)
    {
        service_manifest = encode_signed_manifest(test_signed(value));
        for (const auto& text : section_texts(value)) {
            service_sections[sha256(text)] = text;
        }
    }

    /// Lets time pass; `each_tick` runs after each step.
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

    /// Whether two processes can talk to each other.
    [[nodiscard]] auto connected(std::size_t a, std::size_t b) const -> bool { return side[a] == side[b]; }

    /// Version in force at a process; 0 if none is.
    [[nodiscard]] auto version(std::size_t at) const -> std::uint64_t
    {
        const auto word = keepers[at]->word();
        return word ? word->version.value() : 0;
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
    wall_instant wall = parse_wall_instant_or_die();
    random_source random;
    message_bag<keeper_message> bag;
    std::array<std::optional<bundle_manager>, size> keepers;
    std::array<int, size> side{};
    std::array<bool, size> paused{};
    bool service_up = true;
    std::string service_manifest;
    std::map<sha256_digest, std::string> service_sections;
    std::vector<bundle_alarm> alarms;
    std::uint64_t sections_sent = 0;

private:
    static auto parse_wall_instant_or_die() -> wall_instant { return wall_instant(duration(1h)); }

    void step(std::size_t at)
    {
        if (paused[at]) {
            return;
        }
        act(at, keepers[at]->tick(now, wall));
        if (service_up && !service_manifest.empty() && random.chance(0.2)) {
            act(at, keepers[at]->manifest_arrived(now, {}, service_manifest));
        }
        for (std::size_t other = 0; other < size; ++other) {
            if (other != at && random.chance(0.5)) {
                bag.send(now, {at, other, keeper_message::kind_type::ask, {}, {}, ""});
            }
        }
    }

    void deliver()
    {
        const auto ready = [this](const keeper_message& message) { return !paused[message.to]; };
        for (auto message = bag.take(now, ready); message; message = bag.take(now, ready)) {
            if (connected(message->from, message->to)) {
                receive(*message);
            }
        }
    }

    void receive(const keeper_message& message)
    {
        using kind = keeper_message::kind_type;
        auto& keeper = *keepers[message.to];
        const auto reply = [&](kind what, std::string text) {
            bag.send(now, {message.to, message.from, what, keeper.word(), {}, std::move(text)});
        };
        switch (message.kind) {
        case kind::ask:
            return reply(kind::word, "");
        case kind::word:
            return act(message.to,
                       keeper.peer_said(now, name(message.from), domain(message.from), message.word));
        case kind::get_manifest:
            return reply(kind::manifest, keeper.manifest_text());
        case kind::manifest:
            return act(message.to, keeper.manifest_arrived(
                                       now, {bundle_origin_kind::peer, name(message.from)}, message.text));
        case kind::get_section:
            if (const auto text = keeper.section(message.digest)) {
                ++sections_sent;
                reply(kind::section, *text);
            }
            return;
        case kind::section:
            return act(message.to, keeper.section_arrived(now, message.text));
        }
    }

    void act(std::size_t at, const bundle_manager_outputs& outputs)
    {
        for (const auto& output : outputs) {
            if (const auto* manifest = std::get_if<fetch_manifest>(&output)) {
                bag.send(now,
                         {at, number(manifest->peer), keeper_message::kind_type::get_manifest, {}, {}, ""});
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
                bag.send(
                    now,
                    {at, number(wanted.origin.peer), keeper_message::kind_type::get_section, {}, digest, ""});
            }
            else if (service_up) {
                act(at, keepers[at]->section_arrived(now, service_sections.at(digest)));
            }
        }
    }

    static auto number(const process_id& peer) -> std::size_t
    {
        return static_cast<std::size_t>(peer.text().at(1) - '0');
    }
};

} // namespace dragonflymill::test
