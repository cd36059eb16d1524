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

/// Identifies a bundle by version and manifest digest; gossiped instead of the bundle itself. Of two bundles
/// with the same version, the one with the lower digest wins, so all processes choose the same one.
struct bundle_notice
{
    bundle_version version; ///< Its version.
    sha256_digest digest;   ///< Digest of its manifest without signatures.

    friend auto operator==(const bundle_notice&, const bundle_notice&) -> bool = default;
};

/// Whether `a` takes precedence over `b`.
[[nodiscard]] auto supersedes(const bundle_notice& a, const bundle_notice& b) -> bool;

/// A section as listed in the manifest.
struct section_reference
{
    std::string name;      ///< Its path within the bundle.
    sha256_digest digest;  ///< SHA-256 of its text.
    std::size_t bytes = 0; ///< Size of its text.

    friend auto operator==(const section_reference&, const section_reference&) -> bool = default;
};

/// A partner's key rotation, signed with the old and the new key. Later bundles retain it, so that processes
/// whose settings list the old key can still verify them.
struct key_change
{
    std::string partner;          ///< The partner.
    bundle_version since;         ///< First bundle version that requires the new key.
    std::string old_key;          ///< Previous public key.
    std::string new_key;          ///< New public key.
    std::string signature_by_old; ///< The old key's signature over the change.
    std::string signature_by_new; ///< The new key's signature over the change.

    /// The text that both keys sign.
    [[nodiscard]] auto signed_text() const -> std::string;
    friend auto operator==(const key_change&, const key_change&) -> bool = default;
};

/// A signature over a manifest.
struct partner_signature
{
    std::string partner;   ///< The signing partner.
    std::string signature; ///< Ed25519, in hexadecimal.

    friend auto operator==(const partner_signature&, const partner_signature&) -> bool = default;
};

/// The data that the two partners sign: version, end of term, keys and section digests.
struct bundle_manifest
{
    bundle_version version;                  ///< The bundle's version.
    wall_instant term_end{};                 ///< End of the joint venture.
    std::vector<partner_entry> partners;     ///< The two partners, sorted by name, with their current keys.
    std::vector<key_change> key_changes;     ///< Key changes so far, oldest first.
    std::vector<section_reference> sections; ///< Sorted by name.

    friend auto operator==(const bundle_manifest&, const bundle_manifest&) -> bool = default;
};

/// A manifest with its signatures.
struct signed_manifest
{
    bundle_manifest manifest;                  ///< The signed data.
    std::vector<partner_signature> signatures; ///< Sorted by partner.

    friend auto operator==(const signed_manifest&, const signed_manifest&) -> bool = default;
};

/// Largest encoded manifest, in bytes.
inline constexpr std::size_t max_manifest_bytes = 32'768;
/// Maximum number of key changes in a bundle.
inline constexpr std::size_t max_key_changes = 16;

/// Builds the unsigned manifest of a bundle.
[[nodiscard]] auto manifest_of(const bundle& value, std::vector<key_change> key_changes = {})
    -> bundle_manifest;

/// Version and digest of the bundle that a manifest describes.
[[nodiscard]] auto word_of(const bundle_manifest& manifest) -> bundle_notice;

/// Canonical text of a manifest: the signed bytes.
[[nodiscard]] auto encode_manifest(const bundle_manifest& manifest) -> std::string;

/// Canonical text of a manifest with its signatures, as transferred.
[[nodiscard]] auto encode_signed_manifest(const signed_manifest& value) -> std::string;

/// Decodes the canonical text of a signed manifest; returns `corrupt` for anything else. Does not verify
/// signatures.
[[nodiscard]] auto decode_signed_manifest(std::string_view text) -> result<signed_manifest>;

/// Creates a key change signed by both keys.
[[nodiscard]] auto change_key(const std::string& partner, bundle_version since,
                              const ed25519_private_key& old_key, const ed25519_private_key& new_key)
    -> result<key_change>;

/// Adds or replaces the signature of `partner`; returns `unauthorized` if `key` is not its key in the
/// manifest.
[[nodiscard]] auto sign_manifest(signed_manifest value, const std::string& partner,
                                 const ed25519_private_key& key) -> result<signed_manifest>;

/// Verifies that both partners signed, starting from the keys in `trusted` and applying the key changes.
/// Returns the keys that are valid after those changes.
[[nodiscard]] auto verify_manifest(const signed_manifest& value, const std::vector<partner_entry>& trusted)
    -> result<std::vector<partner_entry>>;

/// Joins the sections' texts, given in the manifest's order, into a bundle and verifies it against the
/// manifest.
[[nodiscard]] auto assemble_bundle(const bundle_manifest& manifest, std::vector<std::string> texts)
    -> result<bundle>;

} // namespace dragonflymill
