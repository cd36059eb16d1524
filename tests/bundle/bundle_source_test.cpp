#include "dragonflymill/bundle/bundle_source.h"
#include "sample_bundle.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

namespace {

auto replaced(std::string text, const std::string& from, const std::string& to) -> std::string
{
    const auto at = text.find(from);
    cr_assert(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

auto has_mistake(const bundle_reading& reading, std::size_t line, const std::string& subject) -> bool
{
    for (const auto& mistake : reading.mistakes) {
        if (mistake.line == line && mistake.subject == subject && !mistake.remedy.empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

Test(bundle_source, reads_every_kind_of_section)
{
    const auto read = parse_bundle_source(sample_bundle_text());
    cr_assert(read.has_value(), "%s", read.has_error() ? read.error().text().c_str() : "");
    const auto& value = read.value();
    cr_assert(value.version == bundle_version(7));
    cr_assert(value.domains.size() == 2 && !value.domains[1].in_service);
    cr_assert(value.upstreams[0].id == upstream_id("b1"), "sorted by name");
    cr_assert(value.upstreams[1].max_outstanding == 64'000);
    cr_assert(value.models[0].adapters.size() == 2);
    cr_assert(value.service_routes[0].remember_for == 10min && !value.service_routes[0].idempotent);
    cr_assert(value.accounts[0].requests_per_second == 0.5);
    cr_assert(value.accounts[0].request_priority == priority::doorstep);
}

Test(bundle_source, reports_every_mistake_with_its_line)
{
    auto text = sample_bundle_text();
    text = replaced(text, "max_prompt = 1m", "max_prompt = lots");
    text = replaced(text, "region = north", "regoin = north");
    text = replaced(text, "partner = birchlog\n", "partner = other\n");
    text = replaced(text, "upstreams = b1", "upstreams = b1, b9, e1");
    text = replaced(text, "cold_outstanding = 2", "cold_outstanding = 20");
    const auto reading = read_bundle_source(text);
    cr_assert(has_mistake(reading, 10, "failure_domain a regoin"));
    cr_assert(has_mistake(reading, 9, "failure_domain a region"));
    cr_assert(has_mistake(reading, 16, "model m max_prompt"));
    cr_assert(has_mistake(reading, 31, "upstream b1 cold_outstanding"));
    cr_assert(has_mistake(reading, 33, "route booking upstreams"));
    cr_assert(has_mistake(reading, 37, "account doorstep partner"));
    cr_assert(parse_bundle_source(text).error().message().find("line 33") != std::string::npos);
}

Test(bundle_source, rejects_inconsistent_limits)
{
    const auto subject = [](const std::string& from, const std::string& to) {
        const auto reading = read_bundle_source(replaced(sample_bundle_text(), from, to));
        return reading.mistakes.size() == 1 ? reading.mistakes[0].subject : std::string("none or many");
    };
    cr_assert(subject("max_prompt = 1m", "max_prompt = 2m") == "model m max_prompt");
    cr_assert(subject("remember_for = 10m", "remember_for = 15s") == "route booking remember_for");
    cr_assert(subject("tokens = 50k/s", "tokens = 0.1/s") == "account doorstep tokens");
    cr_assert(subject("[partner cooperative]", "[partner birchlog]") == "partner birchlog");
    cr_assert(subject("in_service = no", "in_service = no\nin_service = no") ==
              "failure_domain b in_service");
    cr_assert(subject("sidecar = 127.0.0.1:7101", "sidecar = e1:7101") == "upstream e1 sidecar");
    cr_assert(subject("[route booking]", "[route two words]") == "route two words");
}

Test(bundle_source, rejects_malformed_text_without_crashing)
{
    for (const auto* text : {"", "[", "]", "=", "[]", "a=b", "[bundle", "[bundle]\nversion", "\0\n[x y]"}) {
        cr_assert(!read_bundle_source(text).mistakes.empty(), "%s", text);
    }
}
