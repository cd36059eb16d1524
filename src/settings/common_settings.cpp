#include "settings/common_settings.h"

namespace dragonflymill {

namespace {

constexpr std::uint64_t max_version = 999'999'999'999'999'999;
constexpr std::size_t max_seeds = 16;
constexpr std::size_t max_partners = 2;

} // namespace

void bind(settings_schema& schema, process_settings& target, log_settings& log)
{
    schema.name_into({"process", "name", "name of this process, unique in the fleet"}, presence::required,
                     [&target, &log](std::string text) {
                         log.process = text;
                         target.name = process_id(std::move(text));
                     });
    schema.name({"process", "host", "the host it runs on"}, target.host, presence::required);
    schema.name({"process", "failure_domain", "the failure domain of that host"}, target.failure_domain,
                presence::required);
    schema.name({"process", "region", "the region of that failure domain"}, target.region,
                presence::required);
}

void bind(settings_schema& schema, bundle_settings& target)
{
    schema.path({"bundle", "file", "bundle to start from, if no peer has a newer one"}, target.file);
    schema.count({"bundle", "min_version", "no bundle with a lower version is ever adopted"},
                 target.min_version, {0, max_version});
    schema.partner_list({"bundle", "partners", "who must sign a bundle, with their public keys"},
                        target.partners, max_partners);
}

void bind(settings_schema& schema, heartbeat_settings& target)
{
    schema.time({"heartbeat", "interval", "quiet on a connection with work after which a heartbeat is sent"},
                target.interval, {10ms, 30s});
    schema.count({"heartbeat", "misses", "intervals of quiet after which a connection with work is replaced"},
                 target.misses, {2, 20});
    schema.time({"heartbeat", "renewal",
                 "longest time without a word to a sidecar that holds work; less than half "
                 "of the sidecars' lease.permit"},
                target.renewal, {100ms, 30s});
}

void bind(settings_schema& schema, control_settings& target)
{
    schema.address({"control", "udp_listen", "address of the membership's datagrams"}, target.udp_listen);
    schema.address({"control", "peer_listen", "address at which peers read bundle sections"},
                   target.peer_listen);
    schema.address_list({"control", "seeds", "UDP addresses of processes to join the fleet through"},
                        target.seeds, max_seeds);
    schema.address({"control", "configuration_service", "the platform's configuration service"},
                   target.configuration_service);
    schema.address({"control", "host_list", "the platform's list of live and leaving hosts"},
                   target.host_list);
    schema.path(
        {"control", "key_file", "file with the key that authenticates datagrams; the same everywhere"},
        target.key_file);
    schema.flag({"control", "standalone", "whether it may start without having heard any peer"},
                target.standalone);
}

void bind(settings_schema& schema, log_settings& target)
{
    static constexpr setting_choice<log_level> levels[] = {{"debug", log_level::debug},
                                                           {"info", log_level::info},
                                                           {"warning", log_level::warning},
                                                           {"error", log_level::error}};
    static constexpr setting_choice<log_format> formats[] = {{"text", log_format::text},
                                                             {"json", log_format::json}};
    schema.choice({"log", "level", "events below it are not logged"}, target.level, levels);
    schema.choice({"log", "format", "format of the log lines"}, target.format, formats);
    schema.path({"log", "file", "file to append to; standard error if empty"}, target.file);
}

void bind(settings_schema& schema, timeline_settings& target)
{
    schema.path({"timeline", "file", "file for the time line of this process; none if empty"}, target.file);
    schema.count({"timeline", "ring", "events that wait for the writer at most; further ones are dropped"},
                 target.ring, {64, 1'048'576});
}

} // namespace dragonflymill
