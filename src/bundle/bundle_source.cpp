#include "dragonflymill/bundle/bundle_source.h"

#include "dragonflymill/bundle/bundle_checks.h"
#include "dragonflymill/core/units.h"
#include "section_reader.h"

#include <algorithm>
#include <limits>

namespace dragonflymill {

namespace {

constexpr std::size_t key_bytes = 32;

auto parse_kind(std::string_view text) -> result<upstream_kind>
{
    if (text == "engine") {
        return upstream_kind::engine;
    }
    if (text == "service") {
        return upstream_kind::service;
    }
    return error(error_kind::invalid_input, "'" + std::string(text) + "' is not a kind of upstream",
                 "write engine or service");
}

auto parse_priority(std::string_view text) -> result<priority>
{
    if (text == "doorstep") {
        return priority::doorstep;
    }
    if (text == "standard") {
        return priority::standard;
    }
    if (text == "overnight") {
        return priority::overnight;
    }
    return error(error_kind::invalid_input, "'" + std::string(text) + "' is not a priority",
                 "write doorstep, standard or overnight");
}

auto parse_key(std::string_view text) -> result<std::string>
{
    return parse_hex(text, key_bytes);
}

auto parse_uint32(std::string_view text) -> result<std::uint32_t>
{
    const auto value = parse_count(text);
    if (value.has_error()) {
        return value.error();
    }
    if (value.value() > std::numeric_limits<std::uint32_t>::max()) {
        return error(error_kind::invalid_input, "'" + std::string(text) + "' is too large",
                     "write at most 4294967295");
    }
    return static_cast<std::uint32_t>(value.value());
}

void read_bundle_section(section_reader& reader, bundle& value)
{
    reader.value("version", parse_count, value.version);
    reader.value("term_end", parse_wall_instant, value.term_end);
}

void read_partner(section_reader& reader, const std::string& name, bundle& value)
{
    partner_entry entry;
    entry.name = name;
    reader.value("public_key", parse_key, entry.public_key, false);
    value.partners.push_back(std::move(entry));
}

void read_domain(section_reader& reader, const std::string& name, bundle& value)
{
    failure_domain_entry entry;
    entry.id = failure_domain_id(name);
    reader.value("region", parse_name, entry.region);
    reader.value("in_service", parse_yes_no, entry.in_service, false);
    value.domains.push_back(std::move(entry));
}

void read_upstream(section_reader& reader, const std::string& name, bundle& value)
{
    upstream_entry entry;
    entry.id = upstream_id(name);
    reader.value("kind", parse_kind, entry.kind, false);
    reader.value("failure_domain", parse_name, entry.domain);
    reader.value("host", parse_name, entry.host);
    reader.value("sidecar", parse_address, entry.sidecar_address);
    reader.names("models", entry.models, false);
    reader.value("memory", parse_tokens, entry.memory_tokens, false);
    reader.value("max_outstanding", parse_tokens, entry.max_outstanding);
    reader.value("cold_outstanding", parse_tokens, entry.cold_outstanding);
    value.upstreams.push_back(std::move(entry));
}

void read_model(section_reader& reader, const std::string& name, bundle& value)
{
    model_entry entry;
    entry.id = model_id(name);
    reader.names("adapters", entry.adapters, false);
    reader.value("max_prompt", parse_tokens, entry.max_prompt_tokens);
    value.models.push_back(std::move(entry));
}

void read_route(section_reader& reader, const std::string& name, bundle& value)
{
    service_route_entry entry;
    entry.id = route_id(name);
    reader.names("upstreams", entry.upstreams);
    reader.value("idempotent", parse_yes_no, entry.idempotent, false);
    reader.value("time_limit", parse_duration, entry.time_limit, false);
    reader.value("remember_for", parse_duration, entry.remember_for, false);
    value.service_routes.push_back(std::move(entry));
}

void read_account(section_reader& reader, const std::string& name, bundle& value)
{
    account_entry entry;
    entry.id = client_account_id(name);
    reader.value("partner", parse_name, entry.partner);
    reader.value("key_sha256", parse_key, entry.key_sha256);
    reader.value("requests", parse_rate, entry.requests_per_second);
    reader.value("tokens", parse_rate, entry.tokens_per_second);
    reader.value("max_in_flight", parse_uint32, entry.max_in_flight);
    reader.value("weight", parse_uint32, entry.weight, false);
    reader.value("priority", parse_priority, entry.request_priority, false);
    value.accounts.push_back(std::move(entry));
}

// Reads the section into `value`; returns whether its kind is known.
auto read_section(section_reader& reader, const ini_section& section, bundle& value) -> bool
{
    if (section.kind == "bundle") {
        read_bundle_section(reader, value);
    }
    else if (section.kind == "partner") {
        read_partner(reader, section.name, value);
    }
    else if (section.kind == "failure_domain") {
        read_domain(reader, section.name, value);
    }
    else if (section.kind == "upstream") {
        read_upstream(reader, section.name, value);
    }
    else if (section.kind == "model") {
        read_model(reader, section.name, value);
    }
    else if (section.kind == "route") {
        read_route(reader, section.name, value);
    }
    else if (section.kind == "account") {
        read_account(reader, section.name, value);
    }
    else {
        return false;
    }
    reader.finish();
    return true;
}

void check_section_name(section_reader& reader, const ini_section& section)
{
    const bool is_bundle_section = section.kind == "bundle";
    if (is_bundle_section && !section.name.empty()) {
        reader.add(section.line, "", "takes no name", "write [bundle]");
    }
    else if (!is_bundle_section && parse_name(section.name).has_error()) {
        reader.add(section.line, "", "has no usable name",
                   "use 1 to 64 letters, digits, dots, dashes and underscores");
    }
}

void read_sections(const ini_document& document, bundle_reading& reading)
{
    std::size_t bundle_sections = 0;
    for (const auto& section : document.sections) {
        section_reader reader(section, reading.mistakes);
        if (!read_section(reader, section, reading.value)) {
            reader.add(section.line, "", "is not a kind of section",
                       "use bundle, partner, failure_domain, upstream, model, route or account");
            continue;
        }
        check_section_name(reader, section);
        bundle_sections += section.kind == "bundle" ? 1 : 0;
    }
    if (bundle_sections != 1) {
        reading.mistakes.push_back({0, "bundle", "stands " + std::to_string(bundle_sections) + " times",
                                    "write one [bundle] section with version and term_end"});
    }
}

// Line of the violated key, or else of its section; 0 if neither exists.
auto find_line(const ini_document& document, const bundle_fault& fault) -> std::size_t
{
    std::size_t line = 0;
    for (const auto& section : document.sections) {
        if (section_title(section.kind, section.name) != fault.section) {
            continue;
        }
        line = section.line;
        for (const auto& entry : section.entries) {
            if (entry.key == fault.key) {
                return entry.line;
            }
        }
    }
    return line;
}

void add_cross_checks(const ini_document& document, bundle_reading& reading)
{
    for (const auto& fault : check_bundle(reading.value)) {
        const auto subject = fault.section + (fault.key.empty() ? "" : " " + fault.key);
        const bool known = std::any_of(reading.mistakes.begin(), reading.mistakes.end(),
                                       [&subject](const auto& other) { return other.subject == subject; });
        if (!known && reading.mistakes.size() < max_source_mistakes) {
            reading.mistakes.push_back({find_line(document, fault), subject, fault.problem, fault.remedy});
        }
    }
}

} // namespace

auto read_bundle_source(std::string_view text) -> bundle_reading
{
    bundle_reading reading;
    if (text.size() > max_bundle_text) {
        reading.mistakes.push_back({0, "", "text larger than 8 MiB", "remove unused entries"});
        return reading;
    }
    auto document = read_ini(text);
    reading.mistakes = std::move(document.mistakes);
    read_sections(document, reading);
    add_cross_checks(document, reading);
    std::stable_sort(reading.mistakes.begin(), reading.mistakes.end(),
                     [](const auto& a, const auto& b) { return a.line < b.line; });
    reading.value = sorted(std::move(reading.value));
    return reading;
}

auto parse_bundle_source(std::string_view text) -> result<bundle>
{
    auto reading = read_bundle_source(text);
    if (reading.mistakes.empty()) {
        return std::move(reading.value);
    }
    std::string message = std::to_string(reading.mistakes.size()) + " mistakes";
    for (const auto& mistake : reading.mistakes) {
        message += "\n" + mistake.text();
    }
    return error(error_kind::invalid_input, std::move(message), "mend each line and check again");
}

auto sorted(bundle value) -> bundle
{
    const auto by_id = [](const auto& a, const auto& b) { return a.id < b.id; };
    std::stable_sort(value.domains.begin(), value.domains.end(), by_id);
    std::stable_sort(value.upstreams.begin(), value.upstreams.end(), by_id);
    std::stable_sort(value.models.begin(), value.models.end(), by_id);
    std::stable_sort(value.service_routes.begin(), value.service_routes.end(), by_id);
    std::stable_sort(value.accounts.begin(), value.accounts.end(), by_id);
    std::stable_sort(value.partners.begin(), value.partners.end(),
                     [](const auto& a, const auto& b) { return a.name < b.name; });
    return value;
}

} // namespace dragonflymill
