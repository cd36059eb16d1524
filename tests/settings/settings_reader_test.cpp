#include "settings/settings_reader.h"

#include "dragonflymill/core/units.h"
#include "settings/gateway_settings.h"
#include "settings/sidecar_settings.h"

#include <criterion/criterion.h>

namespace dragonflymill {

namespace {

constexpr const char* minimal_gateway = "[once]\n"
                                        "key_file = tickets.key\n"
                                        "[process]\n"
                                        "name = gw-1\n"
                                        "host = h1\n"
                                        "failure_domain = a\n"
                                        "region = north\n"
                                        "[listen]\n"
                                        "http = 127.0.0.1:8080\n";

auto mistakes_for(const std::string& extra_text) -> std::vector<settings_mistake>
{
    gateway_settings settings;
    return read_settings(minimal_gateway + extra_text, "gw.ini", gateway_schema(settings));
}

void expect_single_mistake(const std::string& extra_text, const std::string& expected)
{
    const auto mistakes = mistakes_for(extra_text);
    cr_assert(mistakes.size() == 1, "%s", to_text(mistakes).c_str());
    cr_assert(to_text(mistakes[0]) == expected, "%s", to_text(mistakes[0]).c_str());
}

} // namespace

Test(settings_reader, stores_values_with_units_in_their_fields)
{
    gateway_settings settings;
    const std::string text =
        std::string(minimal_gateway) +
        "[timeouts]\nrequest = 30s\nheader = 500ms\n[limits]\nmax_body = 64MiB\n"
        "[control]\nseeds = 127.0.0.1:7000, [::1]:7001\nstandalone = yes\n[log]\nlevel = debug\n";
    const auto mistakes = read_settings(text, "gw.ini", gateway_schema(settings));
    cr_assert(mistakes.empty(), "%s", to_text(mistakes).c_str());
    cr_assert(settings.process.name == process_id("gw-1"));
    cr_assert(settings.log.process == "gw-1", "the process name is not stored in the log settings");
    cr_assert(to_text(settings.http_listen) == "127.0.0.1:8080");
    cr_assert(settings.timeouts.request == 30s);
    cr_assert(settings.timeouts.header == 500ms);
    cr_assert(settings.limits.max_body == std::uint64_t{64} << 20U);
    cr_assert(settings.control.seeds.size() == 2);
    cr_assert(to_text(settings.control.seeds[1]) == "[::1]:7001");
    cr_assert(settings.control.standalone);
    cr_assert(settings.log.level == log_level::debug);
    cr_assert(settings.heartbeat == heartbeat_settings{}, "keys that are not set keep their defaults");
}

Test(settings_reader, reports_all_mistakes_in_line_order)
{
    gateway_settings settings;
    const std::string text =
        "[process]\nname = gw 1\nhost = h1\nregion = north\n[listen]\nhttp = localhost:80\n"
        "[timeouts]\nheadr = 1s\nbody = 30\n[limit]\nx = 1\nnonsense\n";
    const auto mistakes = read_settings(text, "gw.ini", gateway_schema(settings));
    // Line 0 is for the missing [once] key_file, since the text has no [once] section.
    const std::vector<int> lines{0, 1, 2, 6, 8, 9, 11, 12};
    cr_assert(mistakes.size() == lines.size(), "%s", to_text(mistakes).c_str());
    for (std::size_t i = 0; i < lines.size(); ++i) {
        cr_assert(mistakes[i].line == lines[i], "%s", to_text(mistakes[i]).c_str());
    }
}

Test(settings_reader, reports_the_allowed_range_for_a_missing_unit)
{
    const std::string remedy = parse_duration("30").error().remedy();
    expect_single_mistake("[timeouts]\nbody = 30\n",
                          "gw.ini:11: [timeouts] body: '30' is not a time; allowed: from 100ms to 10m; " +
                              remedy);
}

Test(settings_reader, reports_the_range_for_a_value_out_of_range)
{
    expect_single_mistake("[heartbeat]\nmisses = 1\n",
                          "gw.ini:11: [heartbeat] misses: '1' is out of range; allowed: from 2 "
                          "to 20; write a value from 2 to 20");
}

Test(settings_reader, lists_the_known_keys_and_suggests_the_nearest_for_an_unknown_key)
{
    expect_single_mistake("[heartbeat]\nmises = 3\n",
                          "gw.ini:11: [heartbeat] mises: the key is not known; allowed: interval, "
                          "misses, renewal; did you mean [heartbeat] misses?");
}

Test(settings_reader, reports_missing_keys_at_their_section)
{
    gateway_settings settings;
    const auto mistakes =
        read_settings("[process]\nname = g\nhost = h\nregion = r\n", "g", gateway_schema(settings));
    cr_assert(mistakes.size() == 3, "%s", to_text(mistakes).c_str());
    cr_assert(mistakes[0].key == "http");
    cr_assert(mistakes[0].line == 0, "the text has no [listen] section");
    cr_assert(mistakes[1].key == "key_file");
    cr_assert(mistakes[2].key == "failure_domain");
    cr_assert(mistakes[2].line == 1);
}

Test(settings_reader, reports_both_lines_of_a_repeated_key)
{
    expect_single_mistake("[log]\nlevel = info\nlevel = debug\n",
                          "gw.ini:12: [log] level: the key was already set in line 11; leave one of the two");
}

Test(settings_reader, reports_a_violated_constraint_between_keys)
{
    expect_single_mistake(
        "[timeouts]\nrequest = 1s\nheader = 2s\n",
        "gw.ini:12: [timeouts] header: the header's time is longer than the request's; make it at most "
        "timeouts.request");
}

Test(settings_reader, reads_partners_with_their_public_keys)
{
    const std::string key(64, 'a');
    gateway_settings settings;
    const std::string text =
        minimal_gateway + ("[bundle]\npartners = formosa:" + key + ", birchlog:" + key + "\n");
    cr_assert(read_settings(text, "gw.ini", gateway_schema(settings)).empty());
    cr_assert(settings.bundle.partners.size() == 2);
    cr_assert(settings.bundle.partners[1].name == "birchlog");
    cr_assert(settings.bundle.partners[1].public_key == key);
    const std::vector<std::string> invalid_lists{"formosa", "formosa:", "formosa:12", ":" + key,
                                                 "a:" + key + ",b:" + key + ",c:" + key};
    for (const std::string& invalid : invalid_lists) {
        cr_assert(mistakes_for("[bundle]\npartners = " + invalid + "\n").size() == 1, "%s", invalid.c_str());
    }
}

Test(settings_reader, reports_a_missing_file)
{
    gateway_settings settings;
    const auto mistakes = read_settings_file("/nonexistent/gw.ini", gateway_schema(settings));
    cr_assert(mistakes.size() == 1);
    cr_assert(mistakes[0].message == "the file can't be opened");
}

Test(settings_reader, reads_the_keys_of_a_sidecar)
{
    sidecar_settings settings;
    const auto mistakes =
        read_settings("[process]\nname = sc\nhost = h\nfailure_domain = a\nregion = r\n"
                      "[upstream]\nid = engine-1\naddress = 127.0.0.1:9000\n"
                      "[listen]\ngrpc = 127.0.0.1:0\n[once]\nmax_bytes = 2MiB\nkey_file = k\n",
                      "sc.ini", sidecar_schema(settings));
    cr_assert(mistakes.empty(), "%s", to_text(mistakes).c_str());
    cr_assert(settings.upstream.id == upstream_id("engine-1"));
    cr_assert(settings.grpc_listen.port == 0);
    cr_assert(settings.once.max_bytes == std::uint64_t{2} << 20U);
    cr_assert(settings.once.key_file == "k");
}

Test(socket_address, parses_only_ip_addresses_with_ports)
{
    for (const char* invalid : {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:70000", "::1:80",
                                "[127.0.0.1]:80", "1.2.3:80"}) {
        cr_assert(parse_socket_address(invalid).has_error(), "%s", invalid);
    }
    for (const char* valid : {"127.0.0.1:0", "[::1]:8080", "0.0.0.0:65535"}) {
        const auto read = parse_socket_address(valid);
        cr_assert(read.has_value(), "%s", valid);
        cr_assert(to_text(read.value()) == valid);
    }
}

} // namespace dragonflymill
