#pragma once

#include "control/control_plane.h"
#include "dragonflymill/bundle/signed_bundle.h"
#include "runtime/clock.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <sys/resource.h>

namespace dragonflymill::bench {

/// Datagram key shared by the measured processes.
inline constexpr const char* fleet_key = "key of the measured fleet";

/// Private key of a partner, the same in every run.
inline auto partner_key(char letter) -> ed25519_private_key
{
    return ed25519_private_key::from_seed(std::string(32, letter)).value();
}

/// Public keys of the two partners.
inline auto partners() -> std::vector<partner_entry>
{
    return {{"birchlog", partner_key('b').public_key()}, {"cooperative", partner_key('c').public_key()}};
}

/// Command line arguments of a measured process.
struct child_arguments
{
    std::size_t number = 0;           ///< Index in the fleet.
    std::uint64_t start = 0;          ///< Incarnation number of the process.
    double drop = 0;                  ///< Fraction of datagrams dropped on receipt.
    std::uint16_t service_port = 0;   ///< Port of the configuration service; 0 for none.
    std::vector<std::string> seeds{}; ///< Gossip addresses of the seeds to join.
};

/// One measured process: a control plane that writes events to standard output, one line each with the host's
/// monotonic time, and reads commands from standard input.
class state_child
{
public:
    explicit state_child(const child_arguments& arguments)
    {
        control::control_plane_options options;
        auto& membership = options.core.membership;
        membership.self.id = process_id("process-" + std::to_string(arguments.number));
        membership.self.role = arguments.number % 2 == 0 ? process_role::gateway : process_role::sidecar;
        membership.self.region = region_id("north");
        membership.self.domain = failure_domain_id("domain-" + std::to_string(arguments.number % 3));
        membership.self.host = host_id("host-" + std::to_string(arguments.number));
        membership.start = incarnation(arguments.start);
        membership.seeds = arguments.seeds;
        options.core.bundle.trusted = partners();
        options.core.seal_keys = {fleet_key};
        options.drop_received = arguments.drop;
        if (arguments.service_port != 0) {
            options.configuration_service = {boost::asio::ip::make_address("127.0.0.1"),
                                             arguments.service_port};
        }
        control::control_plane_handlers handlers;
        handlers.on_snapshot = [this](const std::shared_ptr<const control::control_snapshot>& snapshot) {
            report(*snapshot);
        };
        auto opened = control::control_plane::open(std::move(options), std::move(handlers));
        if (opened.has_error()) {
            say("failed " + opened.error().text());
            return;
        }
        plane_ = std::move(opened).value();
    }

    /// Runs until standard input ends.
    auto run() -> int
    {
        if (plane_ == nullptr) {
            return 1;
        }
        say("address " + plane_->self().gossip_address + " " + plane_->self().peer_address);
        plane_->start();
        std::string word;
        while (std::getline(std::cin, word)) {
            if (word == "stats") {
                report_stats();
            }
        }
        return 0;
    }

private:
    static void say(const std::string& line)
    {
        static std::mutex mutex;
        const std::lock_guard lock(mutex);
        std::printf("%s\n", line.c_str());
        std::fflush(stdout);
    }

    static auto now_text() -> std::string
    {
        return std::to_string(runtime::now().time_since_epoch().count());
    }

    void report(const control::control_snapshot& snapshot)
    {
        const auto count = [&](member_state state) {
            return std::count_if(snapshot.members.begin(), snapshot.members.end(),
                                 [state](const auto& member) { return member.state == state; });
        };
        const auto alive = count(member_state::alive) + count(member_state::suspect);
        const auto version = snapshot.word ? snapshot.word->version.value() : 0;
        say("seen " + now_text() + " " + std::to_string(version) + " " + std::to_string(alive) + " " +
            std::to_string(count(member_state::dead)) + " " +
            std::to_string(snapshot.drained_domains.size()));
    }

    void report_stats()
    {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        const auto microseconds = [](const timeval& time) {
            return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000 +
                   static_cast<std::uint64_t>(time.tv_usec);
        };
        const auto traffic = plane_->traffic();
        say("stats " + std::to_string(traffic.bytes_sent) + " " + std::to_string(traffic.bytes_received) +
            " " + std::to_string(traffic.fetched_bytes) + " " + std::to_string(traffic.service_reads) + " " +
            std::to_string(microseconds(usage.ru_utime) + microseconds(usage.ru_stime)) + " " +
            std::to_string(usage.ru_maxrss));
    }

    std::unique_ptr<control::control_plane> plane_;
};

} // namespace dragonflymill::bench
