#include "dragonflymill/bundle/signed_bundle.h"

#include "dragonflymill/core/units.h"
#include "section_reader.h"

namespace dragonflymill {

namespace {

constexpr std::string_view magic = "dragonflymill-bundle 1";
constexpr std::size_t key_bytes = 32;
constexpr std::size_t signature_bytes = 64;

// Splits lines into words and records any failure, so callers check only `finished` at the end.
class line_reader
{
public:
    explicit line_reader(std::string_view text)
        : rest_(text)
    {
    }

    // Advances to the next line if its first word is `keyword`.
    auto next(std::string_view keyword) -> bool
    {
        const auto end = rest_.find('\n');
        if (failed_ || end == std::string_view::npos) {
            return false;
        }
        words_ = rest_.substr(0, end);
        if (words_ != keyword && !words_.starts_with(std::string(keyword) + " ")) {
            return false;
        }
        words_.remove_prefix(std::min(words_.size(), keyword.size() + 1));
        rest_.remove_prefix(end + 1);
        return true;
    }

    auto word() -> std::string_view
    {
        const auto blank = words_.find(' ');
        const auto found = words_.substr(0, blank);
        words_.remove_prefix(blank == std::string_view::npos ? words_.size() : blank + 1);
        return found;
    }

    template <typename T>
    auto checked(result<T> value) -> T
    {
        if (value.has_error()) {
            failed_ = true;
            return T{};
        }
        return std::move(value).value();
    }

    auto hex(std::size_t size) -> std::string { return checked(parse_hex(word(), size)); }
    auto name() -> std::string { return checked(parse_name(word())); }
    auto number() -> std::uint64_t { return static_cast<std::uint64_t>(checked(parse_count(word()))); }

    void fail() { failed_ = true; }
    [[nodiscard]] auto finished() const -> bool { return !failed_ && rest_.empty(); }

private:
    std::string_view rest_;
    std::string_view words_;
    bool failed_ = false;
};

auto read_key_change(line_reader& reader) -> key_change
{
    key_change change;
    change.partner = reader.name();
    change.since = bundle_version(reader.number());
    change.old_key = reader.hex(key_bytes);
    change.new_key = reader.hex(key_bytes);
    change.signature_by_old = reader.hex(signature_bytes);
    change.signature_by_new = reader.hex(signature_bytes);
    return change;
}

auto read_section_reference(line_reader& reader) -> section_reference
{
    section_reference reference;
    reference.name = std::string(reader.word());
    reference.digest = reader.checked(sha256_digest::from_hex(reader.word()));
    reference.bytes = reader.number();
    if (reference.bytes > max_section_bytes) {
        reader.fail();
    }
    return reference;
}

void read_lists(line_reader& reader, signed_manifest& value)
{
    while (value.manifest.partners.size() < 2 && reader.next("partner")) {
        auto name = reader.name();
        value.manifest.partners.push_back({std::move(name), reader.hex(key_bytes)});
    }
    while (value.manifest.key_changes.size() < max_key_changes && reader.next("key_change")) {
        value.manifest.key_changes.push_back(read_key_change(reader));
    }
    while (value.manifest.sections.size() < max_sections && reader.next("section")) {
        value.manifest.sections.push_back(read_section_reference(reader));
    }
    while (value.signatures.size() < 2 && reader.next("signature")) {
        auto name = reader.name();
        value.signatures.push_back({std::move(name), reader.hex(signature_bytes)});
    }
}

auto malformed_manifest() -> error
{
    return {error_kind::corrupt, "not a signed manifest",
            "make it with `dragonflymill bundle sign` and send it unchanged"};
}

} // namespace

auto encode_manifest(const bundle_manifest& manifest) -> std::string
{
    std::string text(magic);
    text += "\nversion " + std::to_string(manifest.version.value());
    text += "\nterm_end " + to_text(manifest.term_end) + "\n";
    for (const auto& partner : manifest.partners) {
        text += "partner " + partner.name + " " + partner.public_key + "\n";
    }
    for (const auto& change : manifest.key_changes) {
        text += "key_change " + change.partner + " " + std::to_string(change.since.value()) + " " +
                change.old_key + " " + change.new_key + " " + change.signature_by_old + " " +
                change.signature_by_new + "\n";
    }
    for (const auto& section : manifest.sections) {
        text += "section " + section.name + " " + section.digest.hex() + " " + std::to_string(section.bytes) +
                "\n";
    }
    return text;
}

auto encode_signed_manifest(const signed_manifest& value) -> std::string
{
    auto text = encode_manifest(value.manifest);
    for (const auto& signature : value.signatures) {
        text += "signature " + signature.partner + " " + signature.signature + "\n";
    }
    return text;
}

auto decode_signed_manifest(std::string_view text) -> result<signed_manifest>
{
    if (text.size() > max_manifest_bytes) {
        return malformed_manifest();
    }
    line_reader reader(text);
    signed_manifest value;
    if (!reader.next(magic) || !reader.next("version")) {
        return malformed_manifest();
    }
    value.manifest.version = bundle_version(reader.number());
    if (!reader.next("term_end")) {
        return malformed_manifest();
    }
    value.manifest.term_end = reader.checked(parse_wall_instant(reader.word()));
    read_lists(reader, value);
    // Accepts only the canonical text: two texts of one manifest would have different digests.
    if (!reader.finished() || encode_signed_manifest(value) != text) {
        return malformed_manifest();
    }
    return value;
}

} // namespace dragonflymill
