#pragma once

#include "dragonflymill/bundle/signed_bundle.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace dragonflymill {

/// How a starting process learns which bundle is in force.
struct boot_settings
{
    bool stands_alone = false;           ///< The only process there is: nobody can be asked.
    std::size_t failure_domains = 3;     ///< Failure domains that have processes of ours.
    duration patience = 3s;              ///< Wait for a second failure domain once one has answered.
    duration first_start_patience = 10s; ///< Wait for a peer with a bundle while all say they have none.
};

/// What peers said to a process that starts, and whether that is enough to put a bundle in force.
///
/// A process keeps nothing over a restart, so only its peers know which bundle was in force. The
/// configuration service may be stale, and adopting from it at once would take the process back to an older
/// bundle. Bound: one answer a peer, at most 256 peers; more are left out.
class boot_answers
{
public:
    /// A process that starts at `now`.
    boot_answers(boot_settings settings, instant now);

    /// A peer is being asked: its answer is waited for as long as patience lasts.
    void asked(const process_id& peer);
    /// A peer said what it has in force, or that it has none.
    void add(instant now, const process_id& peer, const failure_domain_id& domain,
             const std::optional<bundle_notice>& word);
    /// A peer can't be reached (any more).
    void remove(const process_id& peer);
    /// A bundle was found to be bad: nobody waits for it.
    void forget(const bundle_notice& word);

    /// Whether enough peers answered, or there can be none; stays true once it is.
    [[nodiscard]] auto decided(instant now) -> bool;
    /// The highest bundle that a peer has in force.
    [[nodiscard]] auto best() const -> std::optional<bundle_notice>;
    /// A peer that has it.
    [[nodiscard]] auto holder(const bundle_notice& word) const -> std::optional<process_id>;
    /// No more answers are needed.
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
