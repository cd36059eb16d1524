#pragma once

#include "dragonflymill/bundle/bundle_source.h"
#include "dragonflymill/bundle/signed_bundle.h"
#include "sample_bundle.h"

#include <criterion/criterion.h>

namespace dragonflymill {

/// Deterministic key derived from `letter`.
inline auto test_key(char letter) -> ed25519_private_key
{
    return ed25519_private_key::from_seed(std::string(32, letter)).value();
}

/// The two partners with the keys derived from the given letters.
inline auto test_partners(char cooperative = 'c', char birchlog = 'b') -> std::vector<partner_entry>
{
    return {{"birchlog", test_key(birchlog).public_key()},
            {"cooperative", test_key(cooperative).public_key()}};
}

/// The sample bundle with the partners' test keys; different values of `note` yield different bundles of one
/// version.
inline auto test_bundle(std::uint64_t version, std::uint32_t note = 100, char cooperative = 'c') -> bundle
{
    auto value = parse_bundle_source(sample_bundle_text(std::to_string(version))).value();
    value.partners = test_partners(cooperative);
    value.accounts.front().max_in_flight = note;
    return value;
}

/// Signs with both partners' test keys.
inline auto test_signed(const bundle& value, std::vector<key_change> changes = {}, char cooperative = 'c')
    -> signed_manifest
{
    signed_manifest unsigned_manifest{manifest_of(value, std::move(changes)), {}};
    auto once = sign_manifest(std::move(unsigned_manifest), "cooperative", test_key(cooperative));
    cr_assert(once.has_value());
    auto twice = sign_manifest(std::move(once).value(), "birchlog", test_key('b'));
    cr_assert(twice.has_value());
    return std::move(twice).value();
}

/// Texts of the sections, in the manifest's order.
inline auto section_texts(const bundle& value) -> std::vector<std::string>
{
    std::vector<std::string> texts;
    for (auto& section : split_bundle(value)) {
        texts.push_back(std::move(section.text));
    }
    return texts;
}

} // namespace dragonflymill
