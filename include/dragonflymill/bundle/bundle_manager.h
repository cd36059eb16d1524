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

/// Where a bundle comes from.
enum class bundle_origin_kind
{
    service,       ///< The configuration service.
    peer,          ///< Another process.
    operator_push, ///< An operator, who sends the sections too.
};

/// Where a bundle comes from, by name.
struct bundle_origin
{
    bundle_origin_kind kind = bundle_origin_kind::service; ///< The kind of source.
    process_id peer;                                       ///< Which peer; empty for the others.

    friend auto operator==(const bundle_origin&, const bundle_origin&) -> bool = default;
};

/// Settings of a bundle keeper.
struct bundle_manager_settings
{
    std::vector<partner_entry> trusted; ///< The two partners and the keys they are known by at first.
    bundle_version min_version;         ///< No bundle below it is ever adopted.
    boot_settings boot;                 ///< How a starting process learns what is in force.
    duration fetch_timeout = 1s;        ///< A fetch without an answer is tried elsewhere after it.
    std::uint32_t max_fetches = 6;      ///< Tries at one bundle before it has to be heard of again.
};

/// The bundle to put in force from now on.
struct adopt_bundle
{
    bundle_notice word;                  ///< Its name.
    std::shared_ptr<const bundle> value; ///< The bundle.
};

/// Ask `peer` for the signed manifest that it has in force.
struct fetch_manifest
{
    process_id peer;    ///< Whom to ask.
    bundle_notice word; ///< What it said it has.
};

/// Get these sections from the origin.
struct fetch_sections
{
    bundle_origin origin;               ///< Whom to ask.
    std::vector<sha256_digest> digests; ///< The sections wanted.
};

/// A bundle was not taken; the one in force stays.
struct reject_bundle
{
    bundle_origin origin; ///< Where it came from.
    error why;            ///< Why, and what to do.
};

/// Something that operators must look at.
struct bundle_alarm
{
    /// What is wrong.
    enum class kind_type
    {
        two_of_one_version, ///< Two different bundles carry one version.
        service_stale,      ///< The configuration service has an older bundle than processes have.
        term_ended,         ///< The bundle's term is over: nothing is served.
    };
    kind_type kind = kind_type::service_stale; ///< What is wrong.
    std::string text;                          ///< In words.
};

/// What the daemon is to do.
using bundle_manager_output =
    std::variant<adopt_bundle, fetch_manifest, fetch_sections, reject_bundle, bundle_alarm>;
/// In the order in which they are to be done.
using bundle_manager_outputs = std::vector<bundle_manager_output>;

/// Decides which bundle is in force at this process, without a store: it asks the others when it starts,
/// takes over what is newer and signed by both partners, and never goes back.
///
/// Bounds: one bundle in force and one on its way, each at most 8 MiB; 8 peers that have the latter; 16 each
/// of refusals, bad bundles and conflicts; the oldest goes when one of these is full.
class bundle_manager
{
public:
    /// A keeper of a process that starts at `now`.
    bundle_manager(bundle_manager_settings settings, instant now);

    /// A peer is being asked what it has in force, because this process starts.
    void peer_asked(const process_id& peer) { boot_.asked(peer); }
    /// A peer in `domain` said which bundle it has in force, or that it has none.
    [[nodiscard]] auto peer_said(instant now, const process_id& peer, const failure_domain_id& domain,
                                 const std::optional<bundle_notice>& word) -> bundle_manager_outputs;
    /// A peer can't be reached: what it said no longer holds back a starting process.
    [[nodiscard]] auto peer_lost(instant now, const process_id& peer) -> bundle_manager_outputs;
    /// The text of a signed manifest arrived.
    [[nodiscard]] auto manifest_arrived(instant now, const bundle_origin& origin, const std::string& text)
        -> bundle_manager_outputs;
    /// The text of a section arrived; its digest tells which.
    [[nodiscard]] auto section_arrived(instant now, const std::string& text) -> bundle_manager_outputs;
    /// Time passes. `wall` is civil time, for the end of the term only.
    [[nodiscard]] auto tick(instant now, wall_instant wall) -> bundle_manager_outputs;

    /// Name of the bundle in force.
    [[nodiscard]] auto word() const -> std::optional<bundle_notice>;
    /// The bundle in force; null while there is none.
    [[nodiscard]] auto in_force() const -> std::shared_ptr<const bundle>;
    /// Whether the process may serve as far as the bundle goes: one is in force and its term is not over.
    [[nodiscard]] auto ready() const -> bool { return in_force_.has_value() && !term_ended_; }
    /// Name of the bundle on its way.
    [[nodiscard]] auto pending() const -> std::optional<bundle_notice>;
    /// Signed manifest of the bundle in force, to hand to a peer; empty while there is none.
    [[nodiscard]] auto manifest_text() const -> std::string;
    /// Text of a section of the bundle in force; null if it has none of that digest.
    [[nodiscard]] auto section(const sha256_digest& digest) const -> std::shared_ptr<const std::string>;
    /// Refusals so far.
    [[nodiscard]] auto rejected_count() const -> std::uint64_t { return rejected_count_; }
    /// The last refusals, oldest first.
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
