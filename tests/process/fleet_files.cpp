#include "process/fleet_files.h"

#include "dragonflymill/bundle/digest.h"
#include "process/waiting.h"
#include "support/child_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <criterion/criterion.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace dragonflymill::test {

namespace {

auto is_free(std::uint16_t port) -> bool
{
    boost::asio::io_context io;
    boost::system::error_code failure;
    boost::asio::ip::tcp::acceptor tcp(io, boost::asio::ip::tcp::v4());
    boost::asio::ip::udp::socket udp(io, boost::asio::ip::udp::v4());
    (void)tcp.bind({boost::asio::ip::address_v4::loopback(), port}, failure);
    if (!failure) {
        (void)udp.bind({boost::asio::ip::address_v4::loopback(), port}, failure);
    }
    return !failure;
}

auto domain_of(const std::string& name) -> std::string
{
    return name.back() == '1' ? "a" : "b";
}

} // namespace

fleet_files::fleet_files()
{
    auto pattern = (std::filesystem::temp_directory_path() / "dragonflymill-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    take_ports();
    for (const std::string name : {"engine-1", "engine-2", "booking-1"}) {
        sidecars_[name] = listener(name, 0);
    }
    write("control.key", std::string(64, 'a'));
    write("tickets.key", std::string(64, 'b'));
    for (const std::string partner : {"cooperative", "birchlog"}) {
        keys_[partner] = new_key(partner);
    }
}

fleet_files::~fleet_files()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

auto fleet_files::path(const std::string& name) const -> std::string
{
    return folder_ + "/" + name;
}

void fleet_files::write(const std::string& name, const std::string& text) const
{
    std::ofstream(path(name)) << text;
}

// The ports are free for TCP and UDP and lie below the kernel's ephemeral port range: a connection of another
// test could take an ephemeral port before the process binds it.
void fleet_files::take_ports()
{
    constexpr int first_port = 10'000;
    constexpr int ports_a_test = 20;
    constexpr int tests_apart = 1'000;
    int candidate = first_port + (getpid() % tests_apart) * ports_a_test;
    for (const std::string name : {"engine-1", "engine-2", "booking-1", "gateway-1", "gateway-2"}) {
        for (auto& port : ports_[name]) {
            while (!is_free(static_cast<std::uint16_t>(candidate))) {
                ++candidate;
            }
            port = static_cast<std::uint16_t>(candidate++);
        }
    }
}

auto fleet_files::listener(const std::string& name, std::size_t number) const -> std::string
{
    return "127.0.0.1:" + std::to_string(ports_.at(name).at(number));
}

void fleet_files::set_sidecar_address(const std::string& name, const std::string& address)
{
    sidecars_[name] = address;
}

void fleet_files::set_config_service(const std::string& address)
{
    config_service_ = address;
}

void fleet_files::ask_peers_at_start()
{
    standalone_ = false;
}

auto fleet_files::command(const std::vector<std::string>& words) -> std::string
{
    test_support::child_process child(std::string(DRAGONFLYMILL_BINARY_DIR) + "/dragonflymill", words);
    std::string out;
    while (const auto line = child.read_line(generous)) {
        out += *line + "\n";
    }
    cr_assert(child.wait(generous) == 0, "%s: %s", words[1].c_str(), out.c_str());
    return out;
}

auto fleet_files::new_key(const std::string& partner) const -> std::string
{
    constexpr std::size_t key_digits = 64;
    const auto text = command({"bundle", "key", path(partner + ".pem"), "--new"});
    for (std::size_t at = 0; at + key_digits <= text.size(); ++at) {
        if (text.substr(at, key_digits).find_first_not_of("0123456789abcdef") == std::string::npos) {
            return text.substr(at, key_digits);
        }
    }
    return {};
}

auto fleet_files::engine_section(const std::string& name) const -> std::string
{
    std::string out = "[upstream ";
    out += name + "]\nkind = engine\nfailure_domain = " + domain_of(name) + "\nhost = host-" + name +
           "\nsidecar = " + sidecars_.at(name) +
           "\nmodels = assistant-1\nmemory = 450k\nmax_outstanding = 440k\ncold_outstanding = 50k\n";
    return out;
}

auto fleet_files::bundle_text(int version) const -> std::string
{
    std::string out = "[bundle]\nversion = ";
    out += std::to_string(version) + "\nterm_end = 2030-12-31T00:00:00Z\n";
    for (const auto& [partner, key] : keys_) {
        out.append("[partner ").append(partner).append("]\npublic_key = ").append(key).append("\n");
    }
    for (const std::string domain : {"a", "b"}) {
        out += "[failure_domain ";
        out += domain;
        out += "]\nregion = north\n";
    }
    out += "[model assistant-1]\nmax_prompt = 400k\n";
    out += engine_section("engine-1") + engine_section("engine-2");
    out += "[upstream booking-1]\nkind = service\nfailure_domain = a\nhost = host-booking-1\nsidecar = " +
           sidecars_.at("booking-1") + "\nmax_outstanding = 64\ncold_outstanding = 8\n" +
           "[route booking]\nupstreams = booking-1\nidempotent = no\ntime_limit = 20s\n" +
           "[account doorstep]\npartner = birchlog\n" + "key_sha256 = " + sha256("key-of-doorstep").hex() +
           "\nrequests = 1000/s\ntokens = 100m/s\nmax_in_flight = 1000\npriority = doorstep\n";
    return out;
}

auto fleet_files::sign_bundle(int version) -> std::string
{
    auto signed_path = path("bundle-" + std::to_string(version) + ".signed");
    write("bundle.ini", bundle_text(version));
    (void)command({"bundle", "sign", path("bundle.ini"), "--partner", "cooperative", "--key",
                   path("cooperative.pem"), "--out", path("half.signed")});
    (void)command({"bundle", "sign", path("half.signed"), "--partner", "birchlog", "--key",
                   path("birchlog.pem"), "--out", signed_path});
    return signed_path;
}

auto fleet_files::common(const std::string& process, const std::string& name) const -> std::string
{
    const auto service =
        config_service_.empty() ? std::string() : "\nconfiguration_service = " + config_service_;
    return "[process]\nname = " + process + "\nhost = host-" + name +
           "\nfailure_domain = " + domain_of(name) +
           "\nregion = north\n[bundle]\nfile = " + path("bundle-1.signed") +
           "\npartners = cooperative:" + keys_.at("cooperative") + ", birchlog:" + keys_.at("birchlog") +
           "\n[control]\nudp_listen = " + listener(name, 2) + "\npeer_listen = " + listener(name, 3) +
           "\nseeds = " + listener("engine-1", 2) + ", " + listener("engine-2", 2) +
           "\nkey_file = " + path("control.key") + service +
           "\nstandalone = " + (standalone_ ? "yes" : "no") + "\n[log]\nfile = " + path(process + ".log") +
           "\n[stop]\ndrain_lag = 500ms\n[once]\nkey_file = " + path("tickets.key") + "\n";
}

auto fleet_files::sidecar_settings(const std::string& name, const std::string& upstream) const -> std::string
{
    const auto file = "sidecar-" + name + ".ini";
    write(file, common("sidecar-" + name, name) + "[upstream]\nid = " + name + "\naddress = " + upstream +
                    "\nfirst_token = 500ms\nprefill_rate = 20k/s\n" +
                    "[listen]\ngrpc = " + listener(name, 0) + "\nadmin = " + listener(name, 1) + "\n");
    return path(file);
}

auto fleet_files::gateway_settings(const std::string& name) const -> std::string
{
    write(name + ".ini", common(name, name) + "[listen]\nhttp = " + listener(name, 0) +
                             "\nadmin = " + listener(name, 1) + "\n" + gateway_lines_);
    return path(name + ".ini");
}

} // namespace dragonflymill::test
