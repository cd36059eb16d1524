#pragma once

#include "state_child.h"
#include "state_fleet.h"

#include "control/drain_request.h"
#include "control/platform_reader.h"
#include "dragonflymill/bundle/bundle_codec.h"
#include "standins/config_standin.h"
#include "standins/http_client.h"

#include <algorithm>
#include <string>
#include <vector>

namespace dragonflymill::bench {

inline constexpr std::size_t accounts = 1'500;
inline constexpr std::size_t upstreams = 600;
inline constexpr std::size_t models = 39;
inline constexpr double dropped = 0.1;
inline constexpr int changes = 5;
inline constexpr duration idle_time = 15s;

/// A bundle of the planned fleet size; `note` changes one account.
inline auto planned_bundle(std::uint64_t version, std::uint32_t note) -> bundle
{
    bundle value;
    value.version = bundle_version(version);
    value.term_end = wall_instant(24h * 365 * 100);
    value.partners = partners();
    for (int number = 0; number < 3; ++number) {
        value.domains.push_back(
            {failure_domain_id("domain-" + std::to_string(number)), region_id("north"), true});
    }
    for (std::size_t number = 0; number < models; ++number) {
        value.models.push_back({model_id("model-" + std::to_string(number)), {}, 1'000'000});
    }
    for (std::size_t number = 0; number < upstreams; ++number) {
        const auto text = std::to_string(number);
        value.upstreams.push_back({upstream_id("engine-" + text),
                                   upstream_kind::engine,
                                   failure_domain_id("domain-" + std::to_string(number % 3)),
                                   host_id("host-" + text),
                                   "10.0.0.1:7101",
                                   {model_id("model-" + std::to_string(number % models))},
                                   500'000,
                                   64'000,
                                   8'000});
    }
    for (std::size_t number = 0; number < accounts; ++number) {
        account_entry account;
        account.id = client_account_id("account-" + std::to_string(number));
        account.partner = number % 2 == 0 ? "birchlog" : "cooperative";
        account.key_sha256 = sha256(account.id.text()).hex();
        account.requests_per_second = 100;
        account.tokens_per_second = 50'000;
        account.max_in_flight = number == 7 ? 100 + note : 100;
        value.accounts.push_back(account);
    }
    return value;
}

inline auto package(const bundle& value) -> control::pushed_bundle
{
    signed_manifest manifest{manifest_of(value), {}};
    manifest = sign_manifest(std::move(manifest), "birchlog", partner_key('b')).value();
    manifest = sign_manifest(std::move(manifest), "cooperative", partner_key('c')).value();
    control::pushed_bundle made{encode_signed_manifest(manifest), {}};
    for (auto& section : split_bundle(value)) {
        made.sections.push_back(std::move(section.text));
    }
    return made;
}

/// Median and maximum of some durations.
struct spread
{
    double p50 = 0;
    double max = 0;
};

inline auto spread_of(std::vector<double> values) -> spread
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    return {values[values.size() / 2], values.back()};
}

inline auto milliseconds_since(std::int64_t from, std::int64_t to) -> double
{
    return static_cast<double>(to - from) / 1e3;
}

inline auto now_count() -> std::int64_t
{
    return runtime::now().time_since_epoch().count();
}

/// Results for one fleet size.
struct row
{
    std::size_t processes = 0;
    double join_s = 0;
    spread down_ms; ///< Service down: time from a push to one process until in force, over all changes and
                    ///< processes.
    spread up_ms;   ///< Service up: time from publication until in force.
    double stale_s = 0; ///< Service stale: time from the restart of a third of the fleet until the bundle is
                        ///< in force everywhere.
    bool reverted = false; ///< Whether an older bundle came into force at any process.
    spread drain_ms;       ///< Time from an operator's drain command until known.
    spread dead_ms;        ///< Time from a kill until the process is considered dead.
    std::size_t false_deaths = 0;
    double sent_per_s = 0; ///< Bytes per second and process without changes.
    double received_per_s = 0;
    double cpu_percent = 0;
    double change_bytes = 0; ///< Bytes fetched per process for one change.
    double memory_mb = 0;
    bool complete = true;
};

/// Measures one fleet size.
class state_run
{
public:
    state_run(const std::string& program, std::size_t size)
        : service_({})
        , fleet_(program, size, dropped, service_.port())
    {
        result_.processes = size;
    }

    auto run() -> row
    {
        service_down(true);
        join();
        first_bundle();
        push_changes();
        idle();
        drain();
        publish_changes();
        restart_third();
        kill_one();
        return result_;
    }

private:
    void check(bool done, const char* what)
    {
        if (!done) {
            std::printf("  incomplete with %zu processes: %s\n", result_.processes, what);
            result_.complete = false;
        }
    }

    void post(const std::string& path, const std::string& body) const
    {
        const auto address = "127.0.0.1:" + std::to_string(service_.port());
        static_cast<void>(standins::call_and_wait({address, "POST", path, {}, body}));
    }
    void service_down(bool down) const { post("/_fault", down ? R"({"down":true})" : R"({"down":false})"); }

    void join()
    {
        const auto begin = now_count();
        check(fleet::wait(
                  [&] {
                      return fleet_.all(
                          [&](const auto& view) { return view.alive + 1 >= result_.processes; });
                  },
                  90s),
              "join");
        result_.join_s = milliseconds_since(begin, now_count()) / 1e3;
    }

    [[nodiscard]] auto push(std::size_t to, const bundle& value) const -> bool
    {
        const auto address = fleet_.processes[to]->view().peer_address;
        return control::peer_client(5s).push(address, package(value)).has_value();
    }

    [[nodiscard]] auto all_have(std::uint64_t version) const -> bool
    {
        return fleet_.all([version](const auto& view) { return view.version == version; });
    }

    void first_bundle()
    {
        check(fleet::wait([&] { return push(0, planned_bundle(++version_, 0)); }, 60s), "first push");
        check(fleet::wait([&] { return all_have(version_); }, 60s), "first bundle");
    }

    void note_versions(std::int64_t begin, std::vector<double>& times) const
    {
        for (const auto& process : fleet_.processes) {
            times.push_back(milliseconds_since(begin, process->view().version_time));
        }
    }

    void push_changes()
    {
        std::vector<double> times;
        const auto before = fleet_.stats();
        for (int change = 0; change < changes; ++change) {
            const auto value = planned_bundle(++version_, static_cast<std::uint32_t>(change + 1));
            const auto begin = now_count();
            const auto to = static_cast<std::size_t>(change) % fleet_.processes.size();
            check(push(to, value), "push");
            check(fleet::wait([&] { return all_have(version_); }, 30s), "spread");
            note_versions(begin, times);
        }
        result_.down_ms = spread_of(times);
        const auto after = fleet_.stats();
        result_.change_bytes = (average(after, 2) - average(before, 2)) / changes;
    }

    [[nodiscard]] static auto average(const std::vector<std::array<std::uint64_t, 6>>& stats,
                                      std::size_t index) -> double
    {
        double sum = 0;
        for (const auto& each : stats) {
            sum += static_cast<double>(each.at(index));
        }
        return stats.empty() ? 0 : sum / static_cast<double>(stats.size());
    }

    void idle()
    {
        std::this_thread::sleep_for(std::chrono::seconds(3));
        const auto begin = now_count();
        const auto before = fleet_.stats();
        std::this_thread::sleep_for(idle_time);
        const auto after = fleet_.stats();
        const auto seconds = milliseconds_since(begin, now_count()) / 1e3;
        result_.sent_per_s = (average(after, 0) - average(before, 0)) / seconds;
        result_.received_per_s = (average(after, 1) - average(before, 1)) / seconds;
        result_.cpu_percent = (average(after, 4) - average(before, 4)) / seconds / 1e4;
        result_.memory_mb = average(after, 5) / 1024;
        for (const auto& process : fleet_.processes) {
            result_.false_deaths += process->view().dead;
        }
    }

    void drain()
    {
        const auto seal = datagram_seal::create({fleet_key}).value();
        const auto word =
            control::seal_drain(seal, failure_domain_id("domain-1"), false, runtime::wall_now());
        const auto begin = now_count();
        check(control::peer_client(5s).drain(fleet_.processes[0]->view().peer_address, word).has_value(),
              "drain");
        check(
            fleet::wait([&] { return fleet_.all([](const auto& view) { return view.drained == 1; }); }, 30s),
            "drain known");
        std::vector<double> times;
        for (const auto& process : fleet_.processes) {
            times.push_back(milliseconds_since(begin, process->view().drained_time));
        }
        result_.drain_ms = spread_of(times);
    }

    void publish(const bundle& value) const
    {
        const auto made = package(value);
        for (const auto& section : made.sections) {
            post("/_operator/" + control::section_key(sha256(section)), section);
        }
        post(std::string("/_operator/") + control::manifest_key, made.manifest);
    }

    void publish_changes()
    {
        service_down(false);
        std::this_thread::sleep_for(std::chrono::seconds(7));
        std::vector<double> times;
        for (int change = 0; change < changes; ++change) {
            const auto value = planned_bundle(++version_, static_cast<std::uint32_t>(change + 100));
            const auto begin = now_count();
            publish(value);
            check(fleet::wait([&] { return all_have(version_); }, 30s), "spread from the service");
            note_versions(begin, times);
        }
        result_.up_ms = spread_of(times);
    }

    // Restarts a whole failure domain while the configuration service serves an older bundle.
    void restart_third()
    {
        post("/_fault", R"({"stale":true})");
        check(push(0, planned_bundle(++version_, 1'000)), "push");
        check(fleet::wait([&] { return all_have(version_); }, 30s), "spread");
        for (std::size_t number = 2; number < fleet_.processes.size(); number += 3) {
            fleet_.restart(number, 2'000);
        }
        const auto begin = now_count();
        check(fleet::wait([&] { return all_have(version_); }, 60s), "restart");
        result_.stale_s = milliseconds_since(begin, now_count()) / 1e3;
        for (std::size_t number = 2; number < fleet_.processes.size(); number += 3) {
            const auto lowest = fleet_.processes[number]->view().lowest_after;
            result_.reverted = result_.reverted || (lowest != 0 && lowest != version_);
        }
    }

    void kill_one()
    {
        std::this_thread::sleep_for(std::chrono::seconds(15));
        const auto dead_before = fleet_.processes[0]->view().dead;
        fleet_.processes[1]->end(SIGKILL);
        const auto begin = now_count();
        check(fleet::wait(
                  [&] { return fleet_.all([&](const auto& view) { return view.dead > dead_before; }); }, 60s),
              "detection");
        std::vector<double> times;
        for (const auto& process : fleet_.processes) {
            if (process->running()) {
                times.push_back(milliseconds_since(begin, process->view().dead_time));
            }
        }
        result_.dead_ms = spread_of(times);
    }

    standins::config_standin service_;
    fleet fleet_;
    row result_;
    std::uint64_t version_ = 0;
};

} // namespace dragonflymill::bench
