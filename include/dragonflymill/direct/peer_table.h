#pragma once

#include "dragonflymill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// What a gateway says of itself in each datagram.
struct peer_digest
{
    std::string gateway;            ///< Name of this start of the gateway.
    std::uint64_t sequence = 0;     ///< Rises with each digest of this start.
    std::string address;            ///< Where datagrams and requests for records reach it.
    std::uint64_t revision = 0;     ///< All published changes up to this one are known there.
    bool leaving = false;           ///< It is stopping.
    bool reads_source = false;      ///< It reads published records first hand, and they come.
    std::vector<std::string> peers; ///< Addresses of gateways that it hears from; not in every digest.
    std::string failure_domain;     ///< Where it runs.
    int millicores = 0;             ///< Processor of its host, in thousandths of a core; 0: not stated.
    bool relaying = false;          ///< It forwards digests of others.
    bool subscribes = false;        ///< The receiver is asked to be its relay.
    bool urgent = false;            ///< A relay forwards it without waiting for others.

    friend auto operator==(const peer_digest&, const peer_digest&) -> bool = default;
};

/// A peer, as this process knows it.
struct known_peer
{
    peer_digest digest; ///< Its newest digest.
    instant heard{};    ///< When that came.

    friend auto operator==(const known_peer&, const known_peer&) -> bool = default;
};

/// The other gateways: each one's state reaches every other one a few times a second, directly or through
/// relays, so that no failure detector is needed beyond the age of the last digest.
class peer_table
{
public:
    /// This gateway's name and address, and the addresses to begin with.
    peer_table(std::string self, std::string address, std::vector<std::string> seeds, int millicores = 0);

    /// Takes a digest; true if the peer is new. Digests of this process, and older ones, are left out.
    auto take(const peer_digest& digest, instant now) -> bool;
    /// Forgets peers that were silent for long; gives their names.
    [[nodiscard]] auto expire_peers(instant now) -> std::vector<std::string>;
    /// Where the next digest goes: all peers, and seeds and hearsay that nothing was heard of.
    [[nodiscard]] auto targets(instant now) const -> std::vector<std::string>;
    /// Seeds and hearsay that no known peer has the address of.
    [[nodiscard]] auto unknown_addresses() const -> std::vector<std::string>;
    /// Gateways that are there, this one included; peers that are stopping still count, as they still send.
    [[nodiscard]] auto gateways() const -> int { return static_cast<int>(peers_.size()) + 1; }
    /// A peer that knows more of the published changes than `revision`; nothing if none does. Each gateway
    /// gets another one, for each `attempt` again another, and larger ones more often: if all asked the one
    /// that knows most, a large configuration would take its link for seconds, and each change would wait
    /// behind it.
    [[nodiscard]] auto select_newer_peer(std::uint64_t revision, std::uint64_t attempt = 0) const
        -> std::optional<peer_digest>;
    /// Whether this process has to read published records first hand: fewer than `source_readers` of the
    /// gateways that come before it in an order that all share are known to do so, larger ones first: all
    /// others fetch each change from them. Where there are many gateways each read by each of them would cost
    /// the source more than it gives.
    [[nodiscard]] auto must_read_source(instant now) const -> bool;
    /// Addresses of up to `max_listed_peers` peers, others for each `round`: in a digest that goes to
    /// hundreds of gateways, all addresses would be most of its bytes. All are sent within some rounds.
    [[nodiscard]] auto address_sample(std::uint64_t round) const -> std::vector<std::string>;
    /// All peers by name.
    [[nodiscard]] auto peers() const -> const std::map<std::string, known_peer>& { return peers_; }
    /// Seeds may change with the settings.
    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// A peer that was silent for so long is taken as gone: eight of its digests in a row are missing.
    static constexpr duration silence_limit = 3s;
    /// Addresses known by hearsay only are tried for so long.
    static constexpr duration hearsay_limit = 3s;
    /// Gateways that read published records first hand: one may be refused by the source and another one be
    /// killed or cut off at the same time.
    static constexpr int source_readers = 3;
    /// A reader that was silent for so long is not relied on: two of its idle digests are missing.
    static constexpr duration reader_silence = 1s;
    /// Addresses of peers in one digest.
    static constexpr std::size_t max_listed_peers = 32;
    /// Peers remembered.
    static constexpr std::size_t max_peers = 512;

private:
    std::string self_;
    std::string address_;
    int millicores_ = 0;
    std::vector<std::string> seeds_;
    std::map<std::string, known_peer> peers_;
    std::map<std::string, instant> hearsay_;
};

} // namespace dragonflymill::direct
