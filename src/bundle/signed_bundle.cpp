#include "dragonflymill/bundle/signed_bundle.h"

#include <algorithm>

namespace dragonflymill {

namespace {

auto unauthorized_error(std::string message) -> error
{
    return {error_kind::unauthorized, std::move(message),
            "have both partners sign it with the keys that are in force (`dragonflymill bundle sign`)"};
}

auto find_partner(std::vector<partner_entry>& partners, const std::string& name) -> partner_entry*
{
    const auto found = std::find_if(partners.begin(), partners.end(),
                                    [&name](const auto& partner) { return partner.name == name; });
    return found == partners.end() ? nullptr : &*found;
}

// Applies the change if it replaces the trusted key; skips a change of an older key.
auto apply_key_change(const key_change& change, bundle_version version, std::vector<partner_entry>& trusted)
    -> result<void>
{
    auto* partner = find_partner(trusted, change.partner);
    if (partner == nullptr || partner->public_key != change.old_key) {
        return success();
    }
    const auto text = change.signed_text();
    if (change.since > version || !verify_ed25519(change.old_key, text, change.signature_by_old) ||
        !verify_ed25519(change.new_key, text, change.signature_by_new)) {
        return unauthorized_error("the key change of " + change.partner +
                                  " is not signed by both of its keys");
    }
    partner->public_key = change.new_key;
    return success();
}

auto signed_by(const signed_manifest& value, const partner_entry& partner, const std::string& text) -> bool
{
    return std::any_of(value.signatures.begin(), value.signatures.end(), [&](const auto& signature) {
        return signature.partner == partner.name &&
               verify_ed25519(partner.public_key, text, signature.signature);
    });
}

} // namespace

auto supersedes(const bundle_notice& a, const bundle_notice& b) -> bool
{
    return a.version != b.version ? a.version > b.version : a.digest < b.digest;
}

auto key_change::signed_text() const -> std::string
{
    return "dragonflymill key change\n" + partner + "\n" + std::to_string(since.value()) + "\n" + old_key +
           "\n" + new_key + "\n";
}

auto manifest_of(const bundle& value, std::vector<key_change> key_changes) -> bundle_manifest
{
    bundle_manifest manifest;
    manifest.version = value.version;
    manifest.term_end = value.term_end;
    manifest.partners = value.partners;
    std::sort(manifest.partners.begin(), manifest.partners.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    manifest.key_changes = std::move(key_changes);
    for (const auto& section : split_bundle(value)) {
        manifest.sections.push_back({section.name, sha256(section.text), section.text.size()});
    }
    return manifest;
}

auto word_of(const bundle_manifest& manifest) -> bundle_notice
{
    return {manifest.version, sha256(encode_manifest(manifest))};
}

auto change_key(const std::string& partner, bundle_version since, const ed25519_private_key& old_key,
                const ed25519_private_key& new_key) -> result<key_change>
{
    key_change change{partner, since, old_key.public_key(), new_key.public_key(), "", ""};
    auto by_old = old_key.sign(change.signed_text());
    auto by_new = new_key.sign(change.signed_text());
    if (by_old.has_error() || by_new.has_error()) {
        return by_old.has_error() ? by_old.error() : by_new.error();
    }
    change.signature_by_old = std::move(by_old).value();
    change.signature_by_new = std::move(by_new).value();
    return change;
}

auto sign_manifest(signed_manifest value, const std::string& partner, const ed25519_private_key& key)
    -> result<signed_manifest>
{
    const auto* known = find_partner(value.manifest.partners, partner);
    if (known == nullptr || known->public_key != key.public_key()) {
        return error(error_kind::unauthorized, "this is not the key of " + partner + " in the bundle",
                     "put its public key " + key.public_key() + " into [partner " + partner +
                         "], or sign with the key that is there");
    }
    auto signature = key.sign(encode_manifest(value.manifest));
    if (signature.has_error()) {
        return signature.error();
    }
    std::erase_if(value.signatures, [&partner](const auto& other) { return other.partner == partner; });
    value.signatures.push_back({partner, std::move(signature).value()});
    std::sort(value.signatures.begin(), value.signatures.end(),
              [](const auto& a, const auto& b) { return a.partner < b.partner; });
    return value;
}

auto verify_manifest(const signed_manifest& value, const std::vector<partner_entry>& trusted)
    -> result<std::vector<partner_entry>>
{
    auto keys = trusted;
    for (const auto& change : value.manifest.key_changes) {
        auto applied = apply_key_change(change, value.manifest.version, keys);
        if (applied.has_error()) {
            return applied.error();
        }
    }
    std::sort(keys.begin(), keys.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
    if (keys.size() != 2 || keys != value.manifest.partners) {
        return unauthorized_error("its partners or their keys are not the ones trusted here");
    }
    const auto text = encode_manifest(value.manifest);
    for (const auto& partner : keys) {
        // Both signatures are required, each verified with that partner's own trusted key. Otherwise one
        // partner could put a configuration in force that the other does not know.
        if (!signed_by(value, partner, text)) {
            return unauthorized_error("the signature of " + partner.name + " is missing or wrong");
        }
    }
    return keys;
}

auto assemble_bundle(const bundle_manifest& manifest, std::vector<std::string> texts) -> result<bundle>
{
    if (texts.size() != manifest.sections.size()) {
        return error(error_kind::corrupt, "sections are missing", "fetch every section of the manifest");
    }
    std::vector<bundle_section> sections;
    for (std::size_t at = 0; at < texts.size(); ++at) {
        if (sha256(texts[at]) != manifest.sections[at].digest) {
            return error(error_kind::corrupt, "section " + manifest.sections[at].name + " was changed",
                         "fetch it again from another source");
        }
        sections.push_back({manifest.sections[at].name, std::move(texts[at])});
    }
    auto value = join_bundle(sections);
    if (value.has_error()) {
        return value.error();
    }
    const auto& assembled = value.value();
    if (assembled.version != manifest.version || assembled.term_end != manifest.term_end ||
        assembled.partners != manifest.partners) {
        return error(error_kind::corrupt, "the head differs from the manifest",
                     "make and sign the bundle again");
    }
    return value;
}

} // namespace dragonflymill
