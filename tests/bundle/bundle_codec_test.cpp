#include "dragonflymill/bundle/bundle_codec.h"
#include "dragonflymill/bundle/bundle_diff.h"
#include "signing.h"

#include <algorithm>

using namespace dragonflymill;

Test(bundle_codec, decodes_only_canonical_text)
{
    const auto value = test_bundle(7);
    const auto text = encode_bundle(value);
    cr_assert(decode_bundle(text).value() == value);
    cr_assert(decode_bundle("# comment\n" + text).has_error());
    cr_assert(decode_bundle(sample_bundle_text()).has_error(), "different order and spelling");
    for (std::size_t size = 0; size < text.size(); size += 7) {
        const auto shorter = decode_bundle(text.substr(0, size));
        cr_assert(shorter.has_error() || shorter.value() != value,
                  "a text cut between entries is another bundle");
    }
}

Test(bundle_codec, source_order_does_not_change_the_digest)
{
    auto value = test_bundle(7);
    const auto digest = digest_of(value);
    std::swap(value.upstreams[0], value.upstreams[1]);
    std::swap(value.partners[0], value.partners[1]);
    cr_assert(digest_of(value) == digest);
}

Test(bundle_codec, changing_one_account_changes_the_head_and_one_section)
{
    auto before = test_bundle(7);
    for (int peer_index = 0; peer_index < 1'000; ++peer_index) {
        auto account = before.accounts.front();
        account.id = client_account_id("account-" + std::to_string(peer_index));
        account.key_sha256 = sha256(account.id.text()).hex();
        before.accounts.push_back(account);
    }
    auto after = before;
    after.version = bundle_version(8);
    after.accounts[500].max_in_flight = 7;
    const auto old_sections = split_bundle(before);
    const auto new_sections = split_bundle(after);
    std::size_t changed = 0;
    for (std::size_t at = 0; at < new_sections.size(); ++at) {
        changed += old_sections[at] == new_sections[at] ? 0 : 1;
    }
    cr_assert(changed == 2);
    cr_assert(join_bundle(new_sections).value() == sorted(after));
}

Test(bundle_codec, rejects_an_entry_in_the_wrong_section)
{
    auto sections = split_bundle(test_bundle(7));
    std::swap(sections.front().text, sections.back().text);
    cr_assert(join_bundle(sections).has_error());
}

Test(bundle_diff, lists_each_changed_value)
{
    auto after = test_bundle(8);
    after.accounts.front().requests_per_second = 80;
    after.domains.front().in_service = false;
    after.models.front().adapters.clear();
    after.service_routes.clear();
    const auto text = to_text(diff_bundles(test_bundle(7), after));
    cr_assert_str_eq(text.c_str(), "~ account doorstep: requests 0.5/s -> 80/s\n"
                                   "~ bundle: version 7 -> 8\n"
                                   "~ failure_domain a: in_service yes -> no\n"
                                   "~ model m: adapters shade, dossier -> none\n"
                                   "- route booking\n");
}
