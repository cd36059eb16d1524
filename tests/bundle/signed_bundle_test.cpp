#include "dragonflymill/bundle/signed_bundle.h"
#include "dragonflymill/core/random_source.h"
#include "signing.h"
#include "support/fault_cell.h"

using namespace dragonflymill;

Test(ed25519, keys_round_trip_through_pem_and_signatures_verify)
{
    const auto key = ed25519_private_key::generate().value();
    const auto again = ed25519_private_key::from_pem(key.pem().value()).value();
    cr_assert(again.public_key() == key.public_key());
    const auto signature = key.sign("text").value();
    cr_assert(verify_ed25519(key.public_key(), "text", signature));
    cr_assert(!verify_ed25519(key.public_key(), "texts", signature));
    cr_assert(!verify_ed25519(test_key('x').public_key(), "text", signature));
    cr_assert(!verify_ed25519("", "text", "zz"));
    cr_assert(ed25519_private_key::from_pem("no key").has_error());
}

Test(signed_bundle, requires_both_signatures)
{
    const auto fully_signed = test_signed(test_bundle(7));
    cr_assert(verify_manifest(fully_signed, test_partners()).has_value());
    for (const std::size_t missing : {0U, 1U}) {
        auto half_signed = fully_signed;
        half_signed.signatures.erase(half_signed.signatures.begin() + static_cast<std::ptrdiff_t>(missing));
        cr_assert(verify_manifest(half_signed, test_partners()).has_error());
    }
    auto twice = fully_signed;
    twice.signatures[1].signature = twice.signatures[0].signature;
    cr_assert(verify_manifest(twice, test_partners()).has_error());
    twice.signatures[1] = twice.signatures[0];
    cr_assert(verify_manifest(twice, test_partners()).has_error());
    auto changed = fully_signed;
    changed.manifest.version = bundle_version(8);
    cr_assert(verify_manifest(changed, test_partners()).has_error());
    cr_assert(verify_manifest(fully_signed, test_partners('x')).has_error());
}

Test(signed_bundle, manifest_round_trips_and_sections_match_it)
{
    const auto value = test_bundle(7);
    const auto fully_signed = test_signed(value);
    cr_assert(decode_signed_manifest(encode_signed_manifest(fully_signed)).value() == fully_signed);
    cr_assert(assemble_bundle(fully_signed.manifest, section_texts(value)).value() == value);
    auto texts = section_texts(value);
    texts.back() += " ";
    cr_assert(assemble_bundle(fully_signed.manifest, texts).error().kind() == error_kind::corrupt);
}

Test(signed_bundle, accepts_a_key_change_signed_by_both_keys)
{
    const auto change = change_key("cooperative", bundle_version(8), test_key('c'), test_key('d')).value();
    const auto value = test_bundle(8, 100, 'd');
    const auto fully_signed = test_signed(value, {change}, 'd');
    cr_assert(verify_manifest(fully_signed, test_partners()).value() == test_partners('d'));
    const auto later = test_signed(test_bundle(9, 100, 'd'), {change}, 'd');
    cr_assert(verify_manifest(later, test_partners()).has_value(), "settings with the old key");
    cr_assert(verify_manifest(later, test_partners('d')).has_value(), "already follows the new key");
    auto forged = change;
    forged.signature_by_old = forged.signature_by_new;
    cr_assert(verify_manifest(test_signed(value, {forged}, 'd'), test_partners()).has_error());
    cr_assert(verify_manifest(test_signed(value, {}, 'd'), test_partners()).has_error());
    cr_assert(verify_manifest(test_signed(test_bundle(9)), test_partners('d')).has_error(),
              "old key is over");
    cr_assert(decode_signed_manifest(encode_signed_manifest(fully_signed)).value() == fully_signed);
}

Test(signed_bundle, rejects_corrupted_manifests_without_crashing)
{
    const auto text = encode_signed_manifest(test_signed(test_bundle(7)));
    random_source random(1);
    for (int round = 0; round < 3'000; ++round) {
        auto changed = text;
        for (auto edits = 1 + random.below(4); edits > 0; --edits) {
            changed[random.below(changed.size())] = static_cast<char>(random.below(256));
        }
        changed.resize(random.chance(0.3) ? random.below(changed.size()) : changed.size());
        if (changed == text) {
            continue;
        }
        const auto read = decode_signed_manifest(changed);
        cr_assert(read.has_error() || verify_manifest(read.value(), test_partners()).has_error());
    }
}

FAULT_CELL(bundle_verify, message_reordered)
{
    // Overlapping fetches deliver a section of another bundle in place of the requested one. It must be
    // rejected by its digest, and a missing section as well.
    const auto value = test_bundle(7);
    const auto manifest = manifest_of(value);
    auto texts = section_texts(value);
    texts.front() = section_texts(test_bundle(7, 99)).front();
    cr_assert(assemble_bundle(manifest, texts).has_error());
    texts = section_texts(value);
    texts.pop_back();
    cr_assert(assemble_bundle(manifest, texts).has_error());
}
