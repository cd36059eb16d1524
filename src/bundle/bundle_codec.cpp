#include "dragonflymill/bundle/bundle_codec.h"

#include "dragonflymill/bundle/bundle_source.h"
#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/core/units.h"

#include <array>
#include <charconv>
#include <map>

namespace dragonflymill {

namespace {

auto line(std::string_view key, std::string_view value) -> std::string
{
    return std::string(key) + " = " + std::string(value) + "\n";
}

auto line(std::string_view key, std::int64_t value) -> std::string
{
    return line(key, std::to_string(value));
}

auto yes_no(bool value) -> std::string_view
{
    return value ? "yes" : "no";
}

// Shortest decimal text that parses to the same number.
auto rate_text(double per_second) -> std::string
{
    std::array<char, 512> buffer{};
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), per_second, std::chars_format::fixed);
    return std::string(buffer.data(), end.ptr) + "/s";
}

auto priority_text(priority value) -> std::string_view
{
    switch (value) {
    case priority::doorstep:
        return "doorstep";
    case priority::standard:
        return "standard";
    case priority::overnight:
        return "overnight";
    }
    return "standard";
}

template <typename Id>
auto names_line(std::string_view key, const std::vector<Id>& ids) -> std::string
{
    if (ids.empty()) {
        return "";
    }
    std::string text;
    for (const auto& id : ids) {
        text += (text.empty() ? "" : ", ") + id.text();
    }
    return line(key, text);
}

auto header(std::string_view kind, const std::string& name) -> std::string
{
    return "[" + std::string(kind) + " " + name + "]\n";
}

auto encode(const partner_entry& entry) -> std::string
{
    const auto key = entry.public_key.empty() ? "" : line("public_key", entry.public_key);
    return header("partner", entry.name) + key;
}

auto encode(const failure_domain_entry& entry) -> std::string
{
    return header("failure_domain", entry.id.text()) + line("region", entry.region.text()) +
           line("in_service", yes_no(entry.in_service));
}

auto encode(const upstream_entry& entry) -> std::string
{
    auto text = header("upstream", entry.id.text());
    text += line("kind", entry.kind == upstream_kind::engine ? "engine" : "service");
    text += line("failure_domain", entry.domain.text());
    text += line("host", entry.host.text());
    text += line("sidecar", entry.sidecar_address);
    text += names_line("models", entry.models);
    text += line("memory", entry.memory_tokens);
    text += line("max_outstanding", entry.max_outstanding);
    text += line("cold_outstanding", entry.cold_outstanding);
    return text;
}

auto encode(const model_entry& entry) -> std::string
{
    return header("model", entry.id.text()) + names_line("adapters", entry.adapters) +
           line("max_prompt", entry.max_prompt_tokens);
}

auto encode(const service_route_entry& entry) -> std::string
{
    auto text = header("route", entry.id.text());
    text += names_line("upstreams", entry.upstreams);
    text += line("idempotent", yes_no(entry.idempotent));
    text += line("time_limit", to_text(entry.time_limit));
    text += line("remember_for", to_text(entry.remember_for));
    return text;
}

auto encode(const account_entry& entry) -> std::string
{
    auto text = header("account", entry.id.text());
    text += line("partner", entry.partner);
    text += line("key_sha256", entry.key_sha256);
    text += line("requests", rate_text(entry.requests_per_second));
    text += line("tokens", rate_text(entry.tokens_per_second));
    text += line("max_in_flight", entry.max_in_flight);
    text += line("weight", entry.weight);
    text += line("priority", priority_text(entry.request_priority));
    return text;
}

template <typename Entry>
auto encode_all(const std::vector<Entry>& entries) -> std::string
{
    std::string text;
    for (const auto& entry : entries) {
        text += encode(entry);
    }
    return text;
}

auto encode_head(const bundle& value) -> std::string
{
    return "[bundle]\n" + line("version", std::to_string(value.version.value())) +
           line("term_end", to_text(value.term_end)) + encode_all(value.partners) + encode_all(value.domains);
}

auto bucket_name(std::string_view kind, const std::string& name) -> std::string
{
    const auto bucket = stable_hash(name) % section_buckets;
    const std::string tens(1, static_cast<char>('0' + bucket / 10));
    return std::string(kind) + "/" + tens + static_cast<char>('0' + bucket % 10);
}

template <typename Entry>
void append_to_buckets(std::string_view kind, const std::vector<Entry>& entries,
                       std::map<std::string, std::string>& sections)
{
    for (const auto& entry : entries) {
        sections[bucket_name(kind, entry.id.text())] += encode(entry);
    }
}

auto not_canonical() -> error
{
    return {error_kind::corrupt, "not the canonical form of a bundle",
            "make it with `dragonflymill bundle new` from the source"};
}

} // namespace

auto encode_bundle(const bundle& value) -> std::string
{
    const auto ordered = sorted(value);
    return encode_head(ordered) + encode_all(ordered.models) + encode_all(ordered.upstreams) +
           encode_all(ordered.service_routes) + encode_all(ordered.accounts);
}

auto decode_bundle(std::string_view text) -> result<bundle>
{
    auto value = parse_bundle_source(text);
    if (value.has_error()) {
        return value.error();
    }
    if (encode_bundle(value.value()) != text) {
        return not_canonical();
    }
    return value;
}

auto split_bundle(const bundle& value) -> std::vector<bundle_section>
{
    const auto ordered = sorted(value);
    std::map<std::string, std::string> sections;
    sections["head"] = encode_head(ordered);
    sections["models"] = encode_all(ordered.models);
    sections["routes"] = encode_all(ordered.service_routes);
    append_to_buckets("upstreams", ordered.upstreams, sections);
    append_to_buckets("accounts", ordered.accounts, sections);
    std::vector<bundle_section> split;
    for (auto& [name, text] : sections) {
        if (!text.empty()) {
            split.push_back({name, std::move(text)});
        }
    }
    return split;
}

auto join_bundle(const std::vector<bundle_section>& sections) -> result<bundle>
{
    std::string text;
    for (const auto& section : sections) {
        if (section.text.size() > max_section_bytes || text.size() > max_bundle_text) {
            return error(error_kind::limit_reached, "section " + section.name + " is too large",
                         "remove unused entries; a section holds at most 1 MiB and a bundle 8 MiB");
        }
        text += section.text;
    }
    auto value = parse_bundle_source(text);
    if (value.has_error()) {
        return value.error();
    }
    if (split_bundle(value.value()) != sections) {
        return not_canonical();
    }
    return value;
}

auto digest_of(const bundle& value) -> sha256_digest
{
    return sha256(encode_bundle(value));
}

} // namespace dragonflymill
