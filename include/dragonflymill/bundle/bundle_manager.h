#pragma once

#include "dragonflymill/bundle/boot_answers.h"
#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/bundle/signed_bundle.h"
#include "dragonflymill/core/error.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Kind of source of a bundle.
enum class bundle_origin_kind
{
    service,       ///< The configuration service.
    peer,          ///< Another process.
    operator_push, ///< An operator's push, which includes the sections.
};

/// Source of a bundle.
struct bundle_origin
{
    bundle_origin_kind kind = bundle_origin_kind::service; ///< The kind of source.
    process_id peer;                                       ///< The peer; empty for other kinds.

    friend auto operator==(const bundle_origin&, const bundle_origin&) -> bool = default;
};

/// Settings of `bundle_manager`.
struct bundle_manager_settings
{
    std::vector<partner_entry> trusted; ///< The two partners with their initially trusted keys.
    bundle_version min_version;         ///< Bundles below this version are never adopted.
    boot_settings boot;                 ///< How a starting process learns which bundle is in force.
    duration fetch_timeout = 1s;        ///< An unanswered fetch is retried at another source after this time.
    std::uint32_t max_fetches = 6; ///< Fetch attempts per bundle before it is dropped until the next notice.
};

/// Puts a bundle in force.
struct adopt_bundle
{
    bundle_notice word;                  ///< Version and digest.
    std::shared_ptr<const bundle> value; ///< The bundle.
};

/// Fetches the signed manifest that `peer` has in force.
struct fetch_manifest
{
    process_id peer;    ///< The peer.
    bundle_notice word; ///< The bundle that it reported.
};

/// Fetches sections from `origin`.
struct fetch_sections
{
    bundle_origin origin;               ///< The source.
    std::vector<sha256_digest> digests; ///< Digests of the sections.
};

/// A bundle was rejected; the one in force stays.
struct reject_bundle
{
    bundle_origin origin; ///< Its source.
    error why;            ///< Reason and remedy.
};

/// A condition that needs an operator's attention.
struct bundle_alarm
{
    /// Kind of alarm.
    enum class kind_type
    {
        two_of_one_version, ///< Two different bundles have the same version.
        service_stale,      ///< The configuration service has an older bundle than the processes.
        term_ended,         ///< The bundle's term has ended: the process is not ready.
    };
    kind_type kind = kind_type::service_stale; ///< Kind of alarm.
    std::string text;                          ///< Description for operators.
};

/// An action for the daemon to perform.
using bundle_manager_output =
    std::variant<adopt_bundle, fetch_manifest, fetch_sections, reject_bundle, bundle_alarm>;
/// Actions, in order.
using bundle_manager_outputs = std::vector<bundle_manager_output>;

/// Decides which bundle is in force at this process without persistent storage: queries peers at start,
/// adopts newer bundles that both partners signed, and never reverts to an older one.
///
/// Bounds: one bundle in force and one being fetched, at most 8 MiB each; 8 peers to fetch the latter from;
/// 16 entries each of rejections, invalid bundles and conflicts, of which the oldest is dropped.
class bundle_manager
{
public:
    /// Creates the manager of a process that starts at `now`.
    bundle_manager(bundle_manager_settings settings, instant now);

    /// Registers a peer that this starting process queried for its bundle.
    void peer_asked(const process_id& peer) { boot_.asked(peer); }
    /// Handles a notice of the bundle that a peer in `domain` has in force, or that it has none.
    [[nodiscard]] auto peer_said(instant now, const process_id& peer, const failure_domain_id& domain,
                                 const std::optional<bundle_notice>& word) -> bundle_manager_outputs;
    /// Handles an unreachable peer: its notice no longer delays a starting process.
    [[nodiscard]] auto peer_lost(instant now, const process_id& peer) -> bundle_manager_outputs;
    /// Handles the text of a signed manifest.
    [[nodiscard]] auto manifest_arrived(instant now, const bundle_origin& origin, const std::string& text)
        -> bundle_manager_outputs;
    /// Handles the text of a section, identified by its digest.
    [[nodiscard]] auto section_arrived(instant now, const std::string& text) -> bundle_manager_outputs;
    /// Advances timers. `wall` is only compared with the end of the term.
    [[nodiscard]] auto tick(instant now, wall_instant wall) -> bundle_manager_outputs;

    /// Version and digest of the bundle in force.
    [[nodiscard]] auto word() const -> std::optional<bundle_notice>;
    /// The bundle in force; null while there is none.
    [[nodiscard]] auto in_force() const -> std::shared_ptr<const bundle>;
    /// Whether a bundle is in force and its term has not ended.
    [[nodiscard]] auto ready() const -> bool { return in_force_.has_value() && !term_ended_; }
    /// Version and digest of the bundle being fetched.
    [[nodiscard]] auto pending() const -> std::optional<bundle_notice>;
    /// Signed manifest of the bundle in force, for peers; empty while there is none.
    [[nodiscard]] auto manifest_text() const -> std::string;
    /// Text of a section of the bundle in force; null if no section has this digest.
    [[nodiscard]] auto section(const sha256_digest& digest) const -> std::shared_ptr<const std::string>;
    /// Number of rejections so far.
    [[nodiscard]] auto rejected_count() const -> std::uint64_t { return rejected_count_; }
    /// The last rejections, oldest first.
    [[nodiscard]] auto rejections() const -> const std::vector<reject_bundle>& { return rejections_; }

private:
    using section_store = std::map<sha256_digest, std::shared_ptr<const std::string>>;

    struct held_bundle
    {
        bundle_notice word;
        signed_manifest manifest;
        std::shared_ptr<const bundle> value;
        section_store sections;
    };

    struct pending_bundle
    {
        bundle_notice word;
        bundle_origin origin;
        std::vector<process_id> holders;
        std::optional<signed_manifest> manifest;
        std::vector<partner_entry> keys;
        section_store sections;
        std::shared_ptr<const bundle> value;
        instant asked{};
        bool term_over = false;
        std::uint32_t fetches = 0;
    };

    struct bad_offer
    {
        bundle_notice word;
        bundle_origin origin;

        friend auto operator==(const bad_offer&, const bad_offer&) -> bool = default;
    };

    [[nodiscard]] auto known_bad(const bundle_notice& word) const -> bool;
    [[nodiscard]] auto known_bad_offer(const bundle_notice& word, const bundle_origin& origin) const -> bool;
    [[nodiscard]] auto too_old(const bundle_notice& word) const -> bool;
    [[nodiscard]] auto missing() const -> std::vector<sha256_digest>;
    [[nodiscard]] auto total_bytes(const bundle_manifest& manifest) const -> std::size_t;
    void hear(instant now, const process_id& peer, const bundle_notice& word,
              bundle_manager_outputs& outputs);
    void consider(instant now, const bundle_origin& origin, signed_manifest value,
                  bundle_manager_outputs& outputs);
    void take_up(instant now, const bundle_origin& origin, signed_manifest value,
                 std::vector<partner_entry> keys, bundle_manager_outputs& outputs);
    void ask(instant now, bundle_manager_outputs& outputs);
    void ask_elsewhere(instant now, bundle_manager_outputs& outputs);
    void drop_pending(instant now, bundle_manager_outputs& outputs);
    void finish_pending(instant now, bundle_manager_outputs& outputs);
    void adopt_pending(bundle_manager_outputs& outputs);
    void reject(const bundle_origin& origin, error why, bundle_manager_outputs& outputs);
    void reject_offer(instant now, const bundle_notice& word, const bundle_origin& origin, error why,
                      bundle_manager_outputs& outputs);
    void reject_for_good(const bundle_notice& word, const bundle_origin& origin, error why,
                         bundle_manager_outputs& outputs);
    void note_conflict(const bundle_notice& other, const std::string& who, bundle_manager_outputs& outputs);
    void note_stale_service(const bundle_notice& word, bundle_manager_outputs& outputs);

    bundle_manager_settings settings_;
    std::vector<partner_entry> keys_;
    boot_answers boot_;
    std::optional<held_bundle> in_force_;
    std::optional<pending_bundle> pending_;
    std::optional<signed_manifest> from_service_;
    std::vector<bundle_notice> bad_;
    std::vector<bad_offer> bad_offers_;
    std::vector<bundle_notice> conflicts_;
    std::vector<reject_bundle> rejections_;
    std::uint64_t rejected_count_ = 0;
    std::optional<bundle_notice> stale_noted_;
    std::optional<wall_instant> wall_;
    bool term_ended_ = false;
};

} // namespace dragonflymill
