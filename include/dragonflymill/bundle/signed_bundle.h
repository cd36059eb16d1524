#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/bundle/bundle_codec.h"
#include "dragonflymill/bundle/digest.h"
#include "dragonflymill/bundle/ed25519.h"
#include "dragonflymill/core/error.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Names one bundle: what processes tell each other instead of the bundle itself. The manifest's digest
/// decides between two bundles of one version, the lower one wins, so that every process chooses the same.
struct bundle_notice
{
    bundle_version version; ///< Its version.
    sha256_digest digest;   ///< Digest of its manifest without the signatures.

    friend auto operator==(const bundle_notice&, const bundle_notice&) -> bool = default;
};

/// Whether `a` is to be in force rather than `b`.
[[nodiscard]] auto supersedes(const bundle_notice& a, const bundle_notice& b) -> bool;

/// One section as the manifest names it.
struct section_reference
{
    std::string name;      ///< Its place in the bundle.
    sha256_digest digest;  ///< Its content.
    std::size_t bytes = 0; ///< Its size.

    friend auto operator==(const section_reference&, const section_reference&) -> bool = default;
};

/// A partner's change of key, signed with the old key and the new one. It stays in later bundles, so that a
/// process whose settings name the old key can still check them.
struct key_change
{
    std::string partner;          ///< Whose key.
    bundle_version since;         ///< First bundle that needs the new key.
    std::string old_key;          ///< Public key up to now.
    std::string new_key;          ///< Public key from now on.
    std::string signature_by_old; ///< The old key's signature over the change.
    std::string signature_by_new; ///< The new key's signature over the change.

    /// What both keys sign.
    [[nodiscard]] auto signed_text() const -> std::string;
    friend auto operator==(const key_change&, const key_change&) -> bool = default;
};

/// A signature over a manifest.
struct partner_signature
{
    std::string partner;   ///< Who signed.
    std::string signature; ///< Ed25519, in hexadecimal.

    friend auto operator==(const partner_signature&, const partner_signature&) -> bool = default;
};

/// What the two partners sign: the bundle's version, end, keys, and the digests of its sections.
struct bundle_manifest
{
    bundle_version version;                  ///< The bundle's version.
    wall_instant term_end{};                 ///< End of the joint venture.
    std::vector<partner_entry> partners;     ///< The two, sorted by name, with the keys now valid.
    std::vector<key_change> key_changes;     ///< Changes so far, oldest first.
    std::vector<section_reference> sections; ///< Sorted by name.

    friend auto operator==(const bundle_manifest&, const bundle_manifest&) -> bool = default;
};

/// A manifest with its signatures.
struct signed_manifest
{
    bundle_manifest manifest;                  ///< What was signed.
    std::vector<partner_signature> signatures; ///< Sorted by partner.

    friend auto operator==(const signed_manifest&, const signed_manifest&) -> bool = default;
};

/// Largest encoded manifest, in bytes.
inline constexpr std::size_t max_manifest_bytes = 32'768;
/// Most key changes that a bundle carries.
inline constexpr std::size_t max_key_changes = 16;

/// The manifest of a bundle, not yet signed.
[[nodiscard]] auto manifest_of(const bundle& value, std::vector<key_change> key_changes = {})
    -> bundle_manifest;

/// Name of the bundle that a manifest belongs to.
[[nodiscard]] auto word_of(const bundle_manifest& manifest) -> bundle_notice;

/// Canonical text of a manifest: what is signed.
[[nodiscard]] auto encode_manifest(const bundle_manifest& manifest) -> std::string;

/// Canonical text of a manifest with its signatures: what travels.
[[nodiscard]] auto encode_signed_manifest(const signed_manifest& value) -> std::string;

/// Reads the canonical text of a signed manifest; anything else is refused. Checks no signature.
[[nodiscard]] auto decode_signed_manifest(std::string_view text) -> result<signed_manifest>;

/// The change of a partner's key, signed by both keys.
[[nodiscard]] auto change_key(const std::string& partner, bundle_version since,
                              const ed25519_private_key& old_key, const ed25519_private_key& new_key)
    -> result<key_change>;

/// Adds or replaces the signature of `partner`.
[[nodiscard]] auto sign_manifest(signed_manifest value, const std::string& partner,
                                 const ed25519_private_key& key) -> result<signed_manifest>;

/// Checks that both partners signed, starting from the keys in `trusted` and following the key changes.
/// The answer is the keys that the manifest leaves valid.
[[nodiscard]] auto verify_manifest(const signed_manifest& value, const std::vector<partner_entry>& trusted)
    -> result<std::vector<partner_entry>>;

/// Puts the bundle together from its sections' texts (in the manifest's order) and checks it against the
/// manifest.
[[nodiscard]] auto assemble_bundle(const bundle_manifest& manifest, std::vector<std::string> texts)
    -> result<bundle>;

} // namespace dragonflymill
