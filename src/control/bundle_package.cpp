#include "control/bundle_package.h"

#include "dragonflymill/bundle/bundle_source.h"
#include "runtime/text_file.h"

namespace dragonflymill {

namespace {

constexpr std::string_view package_magic = "dragonflymill-bundle ";
/// Separator between manifest and sections; never occurs as a line of a manifest.
constexpr std::string_view content_line = "content\n";

auto malformed_package(std::string why) -> error
{
    return {error_kind::corrupt, "not a signed bundle: " + std::move(why),
            "make it with `dragonflymill bundle sign` and send it unchanged"};
}

auto with_path(const std::string& path, const error& failed) -> error
{
    return {failed.kind(), path + ": " + failed.message(), failed.remedy()};
}

} // namespace

auto package_of(const bundle& value) -> bundle_package
{
    bundle_package package{{manifest_of(value), {}}, {}, value};
    for (bundle_section& section : split_bundle(value)) {
        package.sections.push_back(std::move(section.text));
    }
    return package;
}

auto encode_package(const bundle_package& package) -> std::string
{
    std::string text = encode_signed_manifest(package.manifest) + std::string(content_line);
    for (const std::string& section : package.sections) {
        text += section;
    }
    return text;
}

auto decode_package(std::string_view text) -> result<bundle_package>
{
    const std::size_t content = text.find("\n" + std::string(content_line));
    if (content == std::string_view::npos) {
        return malformed_package("the line 'content' is missing");
    }
    auto manifest = decode_signed_manifest(text.substr(0, content + 1));
    if (manifest.has_error()) {
        return manifest.error();
    }
    bundle_package package{std::move(manifest).value(), {}, {}};
    std::string_view rest = text.substr(content + 1 + content_line.size());
    for (const section_reference& section : package.manifest.manifest.sections) {
        if (rest.size() < section.bytes) {
            return malformed_package("section " + section.name + " is cut off");
        }
        package.sections.emplace_back(rest.substr(0, section.bytes));
        rest.remove_prefix(section.bytes);
    }
    if (!rest.empty()) {
        return malformed_package("there is more behind the last section");
    }
    auto value = assemble_bundle(package.manifest.manifest, package.sections);
    if (value.has_error()) {
        return value.error();
    }
    package.content = std::move(value).value();
    return package;
}

auto is_package(std::string_view text) -> bool
{
    return text.starts_with(package_magic);
}

auto load_package(const std::string& path) -> result<bundle_package>
{
    auto text = runtime::read_text_file(path, max_package_bytes);
    if (text.has_error()) {
        return text.error();
    }
    if (is_package(text.value())) {
        auto package = decode_package(text.value());
        return package.has_error() ? result<bundle_package>(with_path(path, package.error()))
                                   : std::move(package);
    }
    const auto value = parse_bundle_source(text.value());
    if (value.has_error()) {
        return with_path(path, value.error());
    }
    return package_of(value.value());
}

} // namespace dragonflymill
