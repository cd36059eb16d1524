// Measures state replication without a central store, with real processes on loopback: time until a bundle is
// in force at the last process, with the configuration service up, down and stale, and with datagrams dropped
// by the receiver; time until every process knows of a drain; time to detect a dead process; bytes and
// processor time. Usage: state_spread_bench [processes...]; 8 32 96 if none are given.

#include "state_run.h"

#include <cmath>
#include <functional>

namespace dragonflymill::bench {

namespace {

constexpr double planned_processes = 1'010;

/// Extrapolates the line through (x(processes), y) to the planned fleet size.
auto extrapolate_to_plan(const std::vector<row>& rows, const std::function<double(double)>& x,
                         const std::function<double(const row&)>& y) -> double
{
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    const auto n = static_cast<double>(rows.size());
    for (const auto& each : rows) {
        const auto at = x(static_cast<double>(each.processes));
        sum_x += at;
        sum_y += y(each);
        sum_xx += at * at;
        sum_xy += at * y(each);
    }
    const auto slope = rows.size() < 2 ? 0 : (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
    return (sum_y - slope * sum_x) / n + slope * x(planned_processes);
}

void print(const std::vector<row>& rows)
{
    std::printf("%-46s", "processes");
    for (const auto& each : rows) {
        std::printf("%10zu", each.processes);
    }
    std::printf("%12s\n", "1010 *");
    const auto line = [&](const char* name, const std::function<double(const row&)>& y, bool by_doubling) {
        std::printf("%-46s", name);
        for (const auto& each : rows) {
            std::printf("%10.2f", y(each));
        }
        const auto x = [by_doubling](double size) { return by_doubling ? std::log2(size) : size; };
        std::printf("%12.2f  by %s\n", extrapolate_to_plan(rows, x, y), by_doubling ? "doubling" : "process");
    };
    line(
        "join, all know all, s", [](const row& r) { return r.join_s; }, false);
    line(
        "bundle in force, service down, p50, ms", [](const row& r) { return r.down_ms.p50; }, true);
    line(
        "bundle in force, service down, max, ms", [](const row& r) { return r.down_ms.max; }, true);
    line(
        "bundle in force, service up, p50, ms", [](const row& r) { return r.up_ms.p50; }, true);
    line(
        "bundle in force, service up, max, ms", [](const row& r) { return r.up_ms.max; }, true);
    line(
        "third restarts, service stale, all in force, s", [](const row& r) { return r.stale_s; }, true);
    line(
        "drain known, p50, ms", [](const row& r) { return r.drain_ms.p50; }, true);
    line(
        "drain known, max, ms", [](const row& r) { return r.drain_ms.max; }, true);
    line(
        "killed process believed dead, p50, ms", [](const row& r) { return r.dead_ms.p50; }, true);
    line(
        "killed process believed dead, max, ms", [](const row& r) { return r.dead_ms.max; }, true);
    line(
        "idle, bytes sent a second", [](const row& r) { return r.sent_per_s; }, true);
    line(
        "idle, bytes received a second", [](const row& r) { return r.received_per_s; }, true);
    line(
        "idle, percent of a core", [](const row& r) { return r.cpu_percent; }, false);
    line(
        "fetched for a change, bytes", [](const row& r) { return r.change_bytes; }, true);
    line(
        "peak memory, MB", [](const row& r) { return r.memory_mb; }, false);
    for (const auto& each : rows) {
        std::printf("%zu processes: %zu false deaths, %s, %s\n", each.processes, each.false_deaths,
                    each.reverted ? "an older bundle came into force" : "no older bundle came into force",
                    each.complete ? "complete" : "INCOMPLETE");
    }
    std::printf("* worked out from a straight line, not measured; %.0f %% of datagrams dropped on receipt\n",
                100 * dropped);
}

auto run_child(int count, char** words) -> int
{
    child_arguments arguments;
    arguments.number = std::stoul(words[2]);
    arguments.start = std::stoull(words[3]);
    arguments.drop = std::stod(words[4]);
    arguments.service_port = static_cast<std::uint16_t>(std::stoul(words[5]));
    for (int at = 6; at < count; ++at) {
        arguments.seeds.emplace_back(words[at]);
    }
    return state_child(arguments).run();
}

} // namespace

} // namespace dragonflymill::bench

auto main(int count, char** words) -> int
{
    using namespace dragonflymill::bench;
    if (count > 5 && std::string(words[1]) == "--child") {
        return run_child(count, words);
    }
    std::vector<std::size_t> sizes;
    for (int at = 1; at < count; ++at) {
        sizes.push_back(std::stoul(words[at]));
    }
    if (sizes.empty()) {
        sizes = {8, 32, 96};
    }
    std::vector<row> rows;
    for (const auto size : sizes) {
        std::printf("measuring %zu processes\n", size);
        std::fflush(stdout);
        rows.push_back(state_run("/proc/self/exe", size).run());
    }
    print(rows);
    return 0;
}
