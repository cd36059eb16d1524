#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/fleet_cells.h"
#include "dragonflymill/limit/shared_rate_schedule.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// State that a gateway reports about itself in each datagram.
struct peer_digest
{
    std::string gateway;            ///< Name of the gateway process; a restart has a new one.
    std::uint64_t sequence = 0;     ///< Increases with each digest of the process.
    std::string address;            ///< Address for datagrams and requests for records.
    std::uint64_t revision = 0;     ///< It knows all published changes up to this revision.
    bool leaving = false;           ///< It is draining.
    bool reads_source = false;      ///< It reads published records from the source successfully.
    std::vector<std::string> peers; ///< Addresses of its known peers; not in every digest.
    std::string failure_domain;     ///< Failure domain that it runs in.
    int millicores = 0;             ///< Processor of its host, in thousandths of a core; 0: unknown.
    bool relaying = false;          ///< It forwards the digests of others.
    bool subscribes = false;        ///< Requests the receiver to be its relay.
    bool urgent = false;            ///< A relay forwards it after a shorter interval.
    bool seeks_peers = false;       ///< Asks a gateway of another cell for members of the sender's cell.

    friend auto operator==(const peer_digest&, const peer_digest&) -> bool = default;
};

/// A peer's last known state.
struct known_peer
{
    peer_digest digest;         ///< Its latest digest.
    instant last_received_at{}; ///< When the digest was received.

    friend auto operator==(const known_peer&, const known_peer&) -> bool = default;
};

/// The other gateways of the same cell; in a fleet of one cell, all others. Each gateway's state reaches
/// every other one of its cell a few times per second, directly or through relays, so the age of the last
/// digest suffices as a failure detector.
class peer_table
{
public:
    /// `self` and `address` identify this gateway; `seeds` are the addresses known at the start.
    peer_table(std::string self, std::string address, std::vector<std::string> seeds, int millicores = 0);

    /// Limits the table to this gateway's cell; returns the names of the peers that it removed. Without a
    /// call all gateways are in one cell.
    [[nodiscard]] auto set_cells(const fleet_cells& cells) -> std::vector<std::string>;
    /// Applies a digest of a gateway of the same cell; returns true if the peer is new. Ignores digests of
    /// this process and outdated ones.
    auto take(const peer_digest& digest, instant now) -> bool;
    /// Stores addresses of gateways of the cell, to be contacted; ignores others.
    void learn(const std::vector<std::string>& addresses, instant now);
    /// Removes peers that have not sent a digest for `peer_timeout`. Returns their names, and those of
    /// processes that a restart at the same address has replaced since the last call: their calls have ended
    /// too.
    [[nodiscard]] auto expire_peers(instant now) -> std::vector<std::string>;
    /// Addresses to which the next digest is sent: all peers, seeds and learned addresses of the cell. While
    /// the cells aren't known, the seeds and up to `max_targets_without_cells` others.
    [[nodiscard]] auto targets() const -> std::vector<std::string>;
    /// Seeds and learned addresses of the cell that belong to no known peer.
    [[nodiscard]] auto unknown_addresses() const -> std::vector<std::string>;
    /// Age of the least recent digest of the peers that count as reachable: the age of this gateway's view of
    /// its cell.
    /// Returns the names of the gateways that were heard lately and aren't stopping.
    [[nodiscard]] auto reachable(instant now) const -> std::vector<std::string>;
    [[nodiscard]] auto view_age(instant now) const -> duration;
    /// Returns the gateways that share limits with this one. A peer that fell silent without draining may be
    /// partitioned rather than gone and counts as known for `lost_peer_retention`; so do seeds that have not
    /// been heard yet, if `count_seeds` is set. The rank is the position among the peers in an order that all
    /// gateways share.
    [[nodiscard]] auto reach(instant now, bool count_seeds) const -> gateway_reach;
    /// Number of gateways, including this one. Draining peers count, because they are still sending.
    [[nodiscard]] auto gateways() const -> int { return static_cast<int>(peers_.size()) + 1; }
    /// Returns whether a peer may know published changes after `revision`.
    [[nodiscard]] auto has_newer_peer(std::uint64_t revision) const -> bool
    {
        return newest_revision_ > revision;
    }
    /// Returns a peer that knows published changes after `revision`; nothing if none does. The choice differs
    /// between gateways and between values of `attempt`, weighted by the peers' processor. If all gateways
    /// asked the peer with the newest revision, sending a large configuration would saturate its link for
    /// seconds and delay every other change.
    [[nodiscard]] auto select_newer_peer(std::uint64_t revision, std::uint64_t attempt = 0)
        -> std::optional<peer_digest>;
    /// Returns whether this process must read published records from the source: fewer than `source_readers`
    /// of the gateways that precede it in a common order, larger ones first, are known to do so. All other
    /// gateways fetch changes from these readers, because a large fleet that reads the source directly would
    /// overload it. When readers are lost, the gateways take over in batches of that order: the next batch
    /// starts only if the one before it has not been able to read.
    [[nodiscard]] auto must_read_source(instant now) -> bool;
    /// Returns the addresses of up to `max_listed_peers` peers, rotating with `round` so that all are sent
    /// within a few rounds. In a large fleet, all addresses would make up most of a digest's bytes.
    [[nodiscard]] auto address_sample(std::uint64_t round) const -> std::vector<std::string>;
    /// All known peers by name.
    [[nodiscard]] auto peers() const -> const std::map<std::string, known_peer>& { return peers_; }
    /// Replaces the seed addresses when the settings change.
    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// Time without a digest after which a peer is removed: eight consecutive missed digests.
    static constexpr duration peer_timeout = 3s;
    /// Time without a digest after which a peer doesn't count as reachable: two missed idle digests.
    static constexpr duration reachable_timeout = 1s;
    /// Time for which a lost peer counts as known; regions may lose each other for an hour.
    static constexpr duration lost_peer_retention = 1h;
    /// Time for which an address that was learned from a peer's digest is contacted.
    static constexpr duration learned_address_timeout = 3s;
    /// Number of gateways that read published records from the source, in all cells together; at least one in
    /// each. With three, the source may refuse one while another is killed or partitioned.
    static constexpr int source_readers = 3;
    /// Time without a digest after which a source reader no longer counts: two missed idle digests.
    static constexpr duration source_reader_timeout = 1s;
    /// Number of gateways that start to read the source together when readers are missing. Larger than
    /// `source_readers`, as the source may refuse part of the fleet's hosts.
    static constexpr int takeover_batch = 8;
    /// Time until the next batch starts: a read of a slow source, and the digests that report it.
    static constexpr duration takeover_interval = 500ms;
    /// Maximum number of peer addresses in a digest.
    static constexpr std::size_t max_listed_peers = 32;
    /// Maximum number of addresses, besides the seeds, to which a gateway sends before it knows its cell: a
    /// fleet that starts at once would otherwise send digests by the square of its size.
    static constexpr std::size_t max_targets_without_cells = 8;
    /// Maximum number of known peers.
    static constexpr std::size_t max_peers = 512;

private:
    [[nodiscard]] auto in_cell(const std::string& address) const -> bool;
    [[nodiscard]] auto known_addresses() const -> std::set<std::string>;
    [[nodiscard]] auto max_readers() const -> int;

    std::string self_;
    std::string address_;
    int millicores_ = 0;
    std::optional<fleet_cells> cells_;
    std::vector<std::string> seeds_;
    std::map<std::string, known_peer> peers_;
    std::map<std::string, instant> learned_addresses_;
    std::map<std::string, instant> lost_peers_; // by address, when they were lost
    std::vector<std::string> replaced_peers_;   // by a restart, not yet returned
    std::uint64_t newest_revision_ = 0;         // of any peer, which may have gone since
    std::optional<instant> readers_missing_since_;
};

} // namespace dragonflymill::direct
