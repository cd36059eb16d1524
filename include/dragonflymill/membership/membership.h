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
    member_info self;  ///< Description of this process.
    incarnation start; ///< Incarnation of this process: its start in milliseconds of wall-clock time.
    std::vector<std::string> seeds; ///< Gossip addresses used to join.
    duration probe_interval = 1s;   ///< Interval in which one member is probed.
    duration probe_timeout = 300ms; ///< Wait for an acknowledgement before other members are asked to probe.
    duration suspicion = 5s;        ///< Time that a suspect has to refute before it is declared dead.
    duration isolation_after = 4s;  ///< Time without any datagram after which it considers itself isolated.
    duration retention = 2h;        ///< How long dead and leaving members are kept.
    std::uint32_t indirect_probes = 3;    ///< Members asked to probe an unresponsive one.
    std::uint32_t announce_fanout = 4;    ///< Members that receive an announcement immediately.
    std::uint32_t bridges = 3;            ///< Members per region that probe other regions.
    std::size_t news_bytes = 480;         ///< Updates per datagram, in bytes.
    std::size_t bytes_per_second = 4'500; ///< Average send rate; when used up, probes continue, updates wait.
    std::size_t burst_bytes = 12'000;     ///< Largest burst after an idle time.
    std::size_t max_members = 4'096;      ///< Maximum number of members.
};

/// Output: send this datagram to a gossip address.
struct send_datagram
{
    std::string address; ///< IP address and UDP port.
    datagram message;    ///< Datagram, not yet sealed.
};

/// Output: the state of a member changed.
struct member_changed
{
    member_update update; ///< Newest update about the member.
};

/// Output: a peer reported which bundle it has in force, or that it has none.
struct bundle_heard
{
    process_id peer;                   ///< Reporting peer.
    failure_domain_id domain;          ///< Failure domain of the peer.
    std::optional<bundle_notice> word; ///< Bundle in force at the peer.
};

/// Output: an operator's notice was received; `drain_state` decides whether it is new.
struct drain_heard
{
    drain_notice word; ///< Received notice.
};

/// Output: a member responded to neither direct nor indirect probes.
struct member_silent
{
    process_id peer; ///< Unresponsive member.
};

/// Output: a later incarnation with this process's id exists; this process must stop.
struct superseded
{
};

/// Action for the daemon.
using membership_output =
    std::variant<send_datagram, member_changed, bundle_heard, drain_heard, member_silent, superseded>;
/// Actions, in the order of execution.
using membership_outputs = std::vector<membership_output>;

/// Counters of the membership protocol, for metrics.
struct membership_counts
{
    std::uint64_t replayed = 0;     ///< Datagrams dropped as replayed.
    std::uint64_t misdirected = 0;  ///< Datagrams dropped as addressed to another process.
    std::uint64_t out_of_date = 0;  ///< Datagrams dropped because a later incarnation of the sender is known.
    std::uint64_t false_alarms = 0; ///< Suspicions of this process that it refuted.
    std::uint64_t pauses = 0;       ///< Detected pauses of this process.
};

/// Gossip membership of the SWIM family. Each process probes one member per interval, directly and then
/// indirectly through other members, piggybacks what it learned on its datagrams, and refutes false
/// suspicions of itself.
///
/// A process suspects members of its own region only; a few members of each region, selected by rendezvous
/// hash without an election, probe the other regions. Every container is bounded, and a token bucket limits
/// the bytes sent.
class membership
{
public:
    /// Starts the protocol at `now`; `seed` initialises the random choices.
    membership(membership_settings settings, std::uint64_t seed, instant now);

    /// Handles a received datagram whose seal is valid.
    [[nodiscard]] auto receive(instant now, const datagram& message, const std::string& from)
        -> membership_outputs;
    /// Runs the timers; called several times per probe interval.
    [[nodiscard]] auto tick(instant now) -> membership_outputs;
    /// Announces that this process is stopping; it continues to respond to probes.
    [[nodiscard]] auto leave() -> membership_outputs;
    /// Sends the bundle in force and operators' notices to some members immediately.
    [[nodiscard]] auto announce() -> membership_outputs;
    /// Pings up to `count` members, of different failure domains first, to learn which bundle they have in
    /// force.
    [[nodiscard]] auto ask_peers(std::size_t count) -> membership_outputs;

    /// Sets the bundle in force at this process, which is sent with every datagram.
    void set_word(const std::optional<bundle_notice>& word) { word_ = word; }
    /// Sets the operators' notices known to this process. New ones are propagated by `pass_on`; all of them
    /// are repeated at a low rate.
    void set_drains(std::vector<drain_notice> words) { drains_ = std::move(words); }
    /// Propagates an operator's notice that was new to this process.
    void pass_on(const drain_notice& word) { news_.add(word); }
    /// Adds addresses used to join, such as those of the host list; at most 64 are kept.
    void add_seeds(const std::vector<std::string>& addresses);

    /// State of every other process.
    [[nodiscard]] auto table() const -> const member_table& { return table_; }
    /// Update that this process sends about itself.
    [[nodiscard]] auto self() const -> const member_update& { return self_; }
    /// Whether this process receives no datagrams although it knows live members.
    [[nodiscard]] auto isolated(instant now) const -> bool;
    /// Send time of the last probe whose acknowledgement reported the bundle in force here or an older one;
    /// empty before the first. The send time is used, as an acknowledgement may have waited in the socket
    /// while this process was paused.
    [[nodiscard]] auto bundle_confirmed() const -> std::optional<instant> { return bundle_confirmed_; }
    /// Counters, for metrics.
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
