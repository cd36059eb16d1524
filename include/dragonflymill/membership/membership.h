#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/membership/datagram.h"
#include "dragonflymill/membership/member_table.h"
#include "dragonflymill/membership/news_queue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Settings of the membership protocol.
struct membership_settings
{
    member_info self;                  ///< This process.
    incarnation start;                 ///< Start of this process: civil time in milliseconds.
    std::vector<std::string> seeds;    ///< Gossip addresses to join by.
    duration probe_interval = 1s;      ///< One member is probed in each.
    duration probe_timeout = 300ms;    ///< Others are asked to probe it after this silence.
    duration suspicion = 5s;           ///< A suspect that does not deny it in this time is dead.
    duration isolation_after = 4s;     ///< Hearing from nobody for so long, this process is cut off itself.
    duration retention = 2h;           ///< Dead and leaving members are remembered so long.
    std::uint32_t indirect_probes = 3; ///< Members asked to probe a silent one.
    std::uint32_t announce_fanout = 4; ///< Members told of news at once.
    std::uint32_t bridges = 3;         ///< Members of each region that probe other regions.
    std::size_t news_bytes = 480;      ///< News carried by a datagram, in bytes.
    std::size_t bytes_per_second = 4'500; ///< Sent on average; probes go on when it is spent, news wait.
    std::size_t burst_bytes = 12'000;     ///< Sent at once after a quiet time.
    std::size_t max_members = 4'096;      ///< Members remembered.
};

/// Send this datagram to a gossip address.
struct send_datagram
{
    std::string address; ///< IP and UDP port.
    datagram message;    ///< What to send, not yet sealed.
};

/// What is believed about a member has changed.
struct member_changed
{
    member_update update; ///< What is believed now.
};

/// A peer said which bundle it has in force, or that it has none.
struct bundle_heard
{
    process_id peer;                   ///< Who.
    failure_domain_id domain;          ///< Where it runs.
    std::optional<bundle_notice> word; ///< What it has.
};

/// An operator's word was passed on; `drain_state` tells whether it is news.
struct drain_heard
{
    drain_notice word; ///< The word.
};

/// A member answered neither this process nor others on its behalf.
struct member_silent
{
    process_id peer; ///< Who.
};

/// A later start of this process's own name is there: this one must stop.
struct superseded
{
};

/// What the daemon is to do.
using membership_output =
    std::variant<send_datagram, member_changed, bundle_heard, drain_heard, member_silent, superseded>;
/// In the order in which they are to be done.
using membership_outputs = std::vector<membership_output>;

/// Counts of the membership protocol, for metrics.
struct membership_counts
{
    std::uint64_t replayed = 0;     ///< Datagrams dropped because they had come before.
    std::uint64_t misdirected = 0;  ///< Datagrams dropped because they were for another process.
    std::uint64_t out_of_date = 0;  ///< Datagrams dropped because a later start of the sender is known.
    std::uint64_t false_alarms = 0; ///< Suspicions of this process that it denied.
    std::uint64_t pauses = 0;       ///< Times that this process was found to have been paused.
};

/// Who is there: gossip of the SWIM family. Each process probes one member an interval, directly and then
/// through others, tells what it found with its datagrams, and denies what is said of it wrongly.
///
/// A process judges members of its own region only; a few of each region (by rendezvous hash, so without an
/// election) talk to the other regions. Every container is bounded, and bytes are bounded by a token bucket.
class membership
{
public:
    /// A process that starts at `now`; `seed` is for its random choices.
    membership(membership_settings settings, std::uint64_t seed, instant now);

    /// A datagram arrived whose seal was valid.
    [[nodiscard]] auto receive(instant now, const datagram& message, const std::string& from)
        -> membership_outputs;
    /// Time passes; called several times a probe interval.
    [[nodiscard]] auto tick(instant now) -> membership_outputs;
    /// This process is stopping: tells others, and goes on answering.
    [[nodiscard]] auto leave() -> membership_outputs;
    /// Tells some members at once about the bundle in force and operators' words.
    [[nodiscard]] auto announce() -> membership_outputs;
    /// Asks up to `count` members of different failure domains which bundle they have in force.
    [[nodiscard]] auto ask_peers(std::size_t count) -> membership_outputs;

    /// The bundle in force at this process, to be told with every datagram.
    void set_word(const std::optional<bundle_notice>& word) { word_ = word; }
    /// Operators' words known here: fresh ones are passed on by `pass_on`, all are repeated slowly.
    void set_drains(std::vector<drain_notice> words) { drains_ = std::move(words); }
    /// Passes on an operator's word that was news here.
    void pass_on(const drain_notice& word) { news_.add(word); }
    /// More addresses to join by, such as those of the host list; at most 64 are kept.
    void add_seeds(const std::vector<std::string>& addresses);

    /// What is believed about every other process.
    [[nodiscard]] auto table() const -> const member_table& { return table_; }
    /// What this process says about itself.
    [[nodiscard]] auto self() const -> const member_update& { return self_; }
    /// Whether this process hears from nobody although it knows members.
    [[nodiscard]] auto isolated(instant now) const -> bool;
    /// When the last peer was asked that answered with the bundle in force here, or with none newer; nothing
    /// before the first such answer. An answer that waited in the socket while this process was paused counts
    /// from its question.
    [[nodiscard]] auto bundle_confirmed() const -> std::optional<instant> { return bundle_confirmed_; }
    /// Counts, for metrics.
    [[nodiscard]] auto counts() const -> const membership_counts& { return counts_; }

private:
    struct probe
    {
        process_id target;
        std::uint64_t sequence = 0;
        instant sent{};
        bool indirect = false;
    };
    struct relay
    {
        std::string address;
        process_id requester;
        std::uint64_t sequence = 0;
        instant until{};
    };
    struct sync
    {
        process_id peer;
        process_id after;
        instant asked{};
        bool waiting = false;
    };

    [[nodiscard]] auto same_region(const member_record& record) const -> bool;
    [[nodiscard]] auto is_bridge() const -> bool;
    [[nodiscard]] auto digest() const -> std::uint64_t;
    [[nodiscard]] auto repeats_of_change() const -> std::uint32_t;
    [[nodiscard]] auto known(const datagram& message) -> bool;

    void send(const std::string& address, const process_id& receiver, datagram_body body,
              membership_outputs& outputs);
    void add_news(datagram& message);
    void ping(const member_record& record, membership_outputs& outputs);
    void hear(instant now, const member_update& news, membership_outputs& outputs);
    void hear_of_self(instant now, const member_update& news, membership_outputs& outputs);
    void answer(instant now, const datagram& message, const std::string& from, membership_outputs& outputs);
    void answer_ack(const ack_message& ack, const std::optional<bundle_notice>& word);
    void relay_ping(instant now, const ping_request_message& request, const datagram& message,
                    const std::string& from, membership_outputs& outputs);
    void send_page(instant now, const sync_request_message& request, const datagram& message,
                   const std::string& from, membership_outputs& outputs);
    void take_page(instant now, const sync_page_message& page, const datagram& message);
    void compare_digest(instant now, const datagram& message);
    void note_pause(instant now);
    void judge_suspects(instant now, membership_outputs& outputs);
    void probe_indirectly(membership_outputs& outputs);
    void end_probe(instant now, membership_outputs& outputs);
    void warn_suspects(membership_outputs& outputs);
    void start_probe(instant now, membership_outputs& outputs);
    [[nodiscard]] auto next_target() -> const member_record*;
    void probe_other_regions(membership_outputs& outputs);
    void probe_lost_ones(instant now, membership_outputs& outputs);
    void join(instant now, membership_outputs& outputs);
    void go_on_syncing(instant now, membership_outputs& outputs);
    void set_state(instant now, const member_record& record, member_state state, membership_outputs& outputs);

    membership_settings settings_;
    random_source random_;
    member_update self_;
    member_table table_;
    news_queue news_;
    membership_counts counts_;
    std::optional<bundle_notice> word_;
    std::optional<instant> bundle_confirmed_;
    std::vector<drain_notice> drains_;
    std::size_t next_drain_ = 0;
    std::vector<process_id> ring_;
    std::vector<std::string> seeds_;
    std::size_t next_seed_ = 0;
    std::optional<probe> probe_;
    std::map<std::uint64_t, relay> relays_;
    sync sync_;
    bool joined_ = false;
    std::map<region_id, instant> differs_since_;
    instant started_;
    instant last_tick_;
    instant heard_;
    instant next_probe_;
    instant next_join_;
    instant next_lost_;
    std::uint64_t counter_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t budget_ = 0;
};

} // namespace dragonflymill
