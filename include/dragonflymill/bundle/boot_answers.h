#pragma once

#include "dragonflymill/bundle/signed_bundle.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace dragonflymill {

/// Settings for how a starting process learns which bundle is in force.
struct boot_settings
{
    bool stands_alone = false;       ///< No peers exist; does not wait for any.
    std::size_t failure_domains = 3; ///< Failure domains that run processes of the fleet.
    duration patience = 3s; ///< Longest wait for a second failure domain after the first peer with a bundle.
    duration first_start_patience = 10s; ///< Wait for a peer with a bundle while all report none.
};

/// Collects the replies of peers to a starting process and decides whether they suffice to adopt a bundle.
///
/// A process stores nothing across restarts, so only its peers know which bundle was in force. The
/// configuration service may be stale: adopting from it immediately could revert the process to an older
/// bundle. Keeps one reply per peer for at most 256 peers; further peers are ignored.
class boot_answers
{
public:
    /// Starts collecting at `now`.
    boot_answers(boot_settings settings, instant now);

    /// Registers a peer that was queried; `decided` waits for its reply until `boot_settings::patience`
    /// expires.
    void asked(const process_id& peer);
    /// Records a peer's reply: the bundle that it has in force, or none.
    void add(instant now, const process_id& peer, const failure_domain_id& domain,
             const std::optional<bundle_notice>& word);
    /// Removes an unreachable peer.
    void remove(const process_id& peer);
    /// Removes all replies that name an invalid bundle.
    void forget(const bundle_notice& word);

    /// Whether enough peers replied, or the process is standalone. Never returns to false.
    [[nodiscard]] auto decided(instant now) -> bool;
    /// The newest bundle reported by any peer.
    [[nodiscard]] auto best() const -> std::optional<bundle_notice>;
    /// A peer that reported `word`.
    [[nodiscard]] auto holder(const bundle_notice& word) const -> std::optional<process_id>;
    /// Ends the collection and marks it as decided.
    void close();

private:
    struct answer
    {
        bool given = false;
        failure_domain_id domain;
        std::optional<bundle_notice> word;
    };

    [[nodiscard]] auto domains(bool with_bundle) const -> std::size_t;
    [[nodiscard]] auto all_answered() const -> bool;

    boot_settings settings_;
    instant started_;
    std::optional<instant> first_bundle_;
    std::map<process_id, answer> answers_;
    bool decided_ = false;
};

} // namespace dragonflymill
