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

Test(settings_reader, values_with_units_reach_their_fields)
{
    gateway_settings settings;
    const std::string text =
        std::string(minimal_gateway) +
        "[timeouts]\nrequest = 30s\nheader = 500ms\n[limits]\nmax_body = 64MiB\n"
        "[control]\nseeds = 127.0.0.1:7000, [::1]:7001\nstandalone = yes\n[log]\nlevel = debug\n";
    const auto mistakes = read_settings(text, "gw.ini", gateway_schema(settings));
    cr_assert(mistakes.empty(), "%s", to_text(mistakes).c_str());
    cr_assert(settings.process.name == process_id("gw-1"));
    cr_assert(settings.log.process == "gw-1", "every line of the log names the process");
    cr_assert(to_text(settings.http_listen) == "127.0.0.1:8080");
    cr_assert(settings.timeouts.request == 30s);
    cr_assert(settings.timeouts.header == 500ms);
    cr_assert(settings.limits.max_body == std::uint64_t{64} << 20U);
    cr_assert(settings.control.seeds.size() == 2);
    cr_assert(to_text(settings.control.seeds[1]) == "[::1]:7001");
    cr_assert(settings.control.standalone);
    cr_assert(settings.log.level == log_level::debug);
    cr_assert(settings.heartbeat == heartbeat_settings{}, "what is not named keeps its default");
}

Test(settings_reader, all_mistakes_are_named_at_once)
{
    gateway_settings settings;
    const std::string text =
        "[process]\nname = gw 1\nhost = h1\nregion = north\n[listen]\nhttp = localhost:80\n"
        "[timeouts]\nheadr = 1s\nbody = 30\n[limit]\nx = 1\nnonsense\n";
    const auto mistakes = read_settings(text, "gw.ini", gateway_schema(settings));
    // Line 0: [once] key_file is missing, and there is no [once] to point at.
    const std::vector<int> lines{0, 1, 2, 6, 8, 9, 11, 12};
    cr_assert(mistakes.size() == lines.size(), "%s", to_text(mistakes).c_str());
    for (std::size_t i = 0; i < lines.size(); ++i) {
        cr_assert(mistakes[i].line == lines[i], "%s", to_text(mistakes[i]).c_str());
    }
}

Test(settings_reader, a_wrong_unit_says_what_is_allowed)
{
    const std::string remedy = parse_duration("30").error().remedy();
    expect_single_mistake("[timeouts]\nbody = 30\n",
                          "gw.ini:11: [timeouts] body: '30' is not a time; allowed: from 100ms to 10m; " +
                              remedy);
}

Test(settings_reader, a_value_out_of_range_says_the_range)
{
    expect_single_mistake("[heartbeat]\nmisses = 1\n",
                          "gw.ini:11: [heartbeat] misses: '1' is out of range; allowed: from 2 "
                          "to 20; write a value from 2 to 20");
}

Test(settings_reader, an_unknown_key_names_the_known_ones_and_the_nearest)
{
    expect_single_mistake("[heartbeat]\nmises = 3\n",
                          "gw.ini:11: [heartbeat] mises: the key is not known; allowed: interval, "
                          "misses, renewal; did you mean [heartbeat] misses?");
}

Test(settings_reader, a_missing_key_is_named_with_its_section)
{
    gateway_settings settings;
    const auto mistakes =
        read_settings("[process]\nname = g\nhost = h\nregion = r\n", "g", gateway_schema(settings));
    cr_assert(mistakes.size() == 3, "%s", to_text(mistakes).c_str());
    cr_assert(mistakes[0].key == "http");
    cr_assert(mistakes[0].line == 0, "there is no [listen] to point at");
    cr_assert(mistakes[1].key == "key_file");
    cr_assert(mistakes[2].key == "failure_domain");
    cr_assert(mistakes[2].line == 1);
}

Test(settings_reader, a_repeated_key_names_both_lines)
{
    expect_single_mistake("[log]\nlevel = info\nlevel = debug\n",
                          "gw.ini:12: [log] level: the key was already set in line 11; leave one of the two");
}

Test(settings_reader, rules_over_several_keys_hold)
{
    expect_single_mistake(
        "[timeouts]\nrequest = 1s\nheader = 2s\n",
        "gw.ini:12: [timeouts] header: the header's time is longer than the request's; make it at most "
        "timeouts.request");
}

Test(settings_reader, partners_come_with_their_public_keys)
{
    const std::string key(64, 'a');
    gateway_settings settings;
    const std::string text =
        minimal_gateway + ("[bundle]\npartners = formosa:" + key + ", birchlog:" + key + "\n");
    cr_assert(read_settings(text, "gw.ini", gateway_schema(settings)).empty());
    cr_assert(settings.bundle.partners.size() == 2);
    cr_assert(settings.bundle.partners[1].name == "birchlog");
    cr_assert(settings.bundle.partners[1].public_key == key);
    const std::vector<std::string> wrong_ones{"formosa", "formosa:", "formosa:12", ":" + key,
                                              "a:" + key + ",b:" + key + ",c:" + key};
    for (const std::string& wrong : wrong_ones) {
        cr_assert(mistakes_for("[bundle]\npartners = " + wrong + "\n").size() == 1, "%s", wrong.c_str());
    }
}

Test(settings_reader, a_missing_file_is_named)
{
    gateway_settings settings;
    const auto mistakes = read_settings_file("/nonexistent/gw.ini", gateway_schema(settings));
    cr_assert(mistakes.size() == 1);
    cr_assert(mistakes[0].message == "the file can't be opened");
}

Test(settings_reader, a_sidecar_reads_its_own_keys)
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

Test(socket_address, only_ip_numbers_with_ports_are_read)
{
    for (const char* wrong : {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:70000", "::1:80",
                              "[127.0.0.1]:80", "1.2.3:80"}) {
        cr_assert(parse_socket_address(wrong).has_error(), "%s", wrong);
    }
    for (const char* right : {"127.0.0.1:0", "[::1]:8080", "0.0.0.0:65535"}) {
        const auto read = parse_socket_address(right);
        cr_assert(read.has_value(), "%s", right);
        cr_assert(to_text(read.value()) == right);
    }
}

} // namespace dragonflymill
