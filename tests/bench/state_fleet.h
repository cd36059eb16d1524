#pragma once

#include "state_child.h"

#include "control/peer_client.h"
#include "runtime/clock.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace dragonflymill::bench {

/// Latest state reported by a measured process.
struct child_view
{
    std::string gossip_address;     ///< Gossip address.
    std::string peer_address;       ///< Address from which peers fetch.
    std::uint64_t version = 0;      ///< Bundle version in force.
    std::uint64_t lowest_after = 0; ///< Lowest version in force since the start; 0 if none yet.
    std::int64_t version_time = 0;  ///< When the version came into force, in monotonic microseconds.
    std::size_t alive = 0;          ///< Number of other processes considered alive.
    std::size_t dead = 0;           ///< Number of other processes considered dead.
    std::int64_t dead_time = 0;     ///< When the number of dead processes last rose.
    std::size_t drained = 0;        ///< Number of drained failure domains.
    std::int64_t drained_time = 0;  ///< When the number of drained domains last changed.
    std::array<std::uint64_t, 6>
        stats{}; ///< Bytes sent, received and fetched; service reads; CPU time (us); peak memory (KiB).
    std::uint64_t stats_count = 0; ///< Number of responses to `stats` so far.
};

/// One measured process and the pipes connected to it.
class fleet_process
{
public:
    /// Starts this program as a child that runs as a measured process.
    fleet_process(const std::string& program, const std::vector<std::string>& arguments)
    {
        std::array<int, 2> to{};
        std::array<int, 2> from{};
        if (pipe2(to.data(), O_CLOEXEC) != 0 || pipe2(from.data(), O_CLOEXEC) != 0) {
            std::perror("pipe");
            std::exit(1);
        }
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, to[0], STDIN_FILENO);
        posix_spawn_file_actions_adddup2(&actions, from[1], STDOUT_FILENO);
        std::vector<std::string> words{program, "--child"};
        words.insert(words.end(), arguments.begin(), arguments.end());
        std::vector<char*> pointers;
        pointers.reserve(words.size() + 1);
        for (auto& word : words) {
            pointers.push_back(word.data());
        }
        pointers.push_back(nullptr);
        if (posix_spawn(&pid_, program.c_str(), &actions, nullptr, pointers.data(), environ) != 0) {
            std::perror("posix_spawn");
            std::exit(1);
        }
        posix_spawn_file_actions_destroy(&actions);
        close(to[0]);
        close(from[1]);
        input_ = to[1];
        reader_ = std::thread([this, pipe = from[0]] { read(pipe); });
    }
    fleet_process(const fleet_process&) = delete;
    auto operator=(const fleet_process&) -> fleet_process& = delete;
    ~fleet_process() { end(SIGTERM); }

    /// Sends a signal that ends the process, and waits for its exit.
    void end(int signal)
    {
        if (pid_ > 0) {
            kill(pid_, signal);
            waitpid(pid_, nullptr, 0);
            pid_ = 0;
            close(input_);
            reader_.join();
        }
    }
    /// Whether the process has not been ended.
    [[nodiscard]] auto running() const -> bool { return pid_ > 0; }
    /// Requests statistics from the process.
    void ask_stats()
    {
        if (write(input_, "stats\n", 6) < 0) {
            std::perror("write");
        }
    }
    /// Latest reported state.
    [[nodiscard]] auto view() const -> child_view
    {
        const std::lock_guard lock(mutex_);
        return view_;
    }

private:
    void read(int pipe)
    {
        auto* file = fdopen(pipe, "r");
        char* line = nullptr;
        std::size_t size = 0;
        while (getline(&line, &size, file) > 0) {
            take(line);
        }
        std::free(line); // NOLINT(cppcoreguidelines-no-malloc): getline allocated it
        std::fclose(file);
    }

    void take(const std::string& line)
    {
        std::istringstream words(line);
        std::string kind;
        words >> kind;
        const std::lock_guard lock(mutex_);
        if (kind == "address") {
            words >> view_.gossip_address >> view_.peer_address;
        }
        else if (kind == "seen") {
            take_seen(words);
        }
        else if (kind == "stats") {
            for (auto& value : view_.stats) {
                words >> value;
            }
            ++view_.stats_count;
        }
    }

    void take_seen(std::istringstream& words)
    {
        std::int64_t time = 0;
        std::uint64_t version = 0;
        std::size_t dead = 0;
        std::size_t drained = 0;
        words >> time >> version >> view_.alive >> dead >> drained;
        view_.version_time = version != view_.version ? time : view_.version_time;
        view_.lowest_after = view_.lowest_after == 0 ? version : std::min(view_.lowest_after, version);
        view_.version = version;
        view_.dead_time = dead > view_.dead ? time : view_.dead_time;
        view_.dead = dead;
        view_.drained_time = drained != view_.drained ? time : view_.drained_time;
        view_.drained = drained;
    }

    pid_t pid_ = 0;
    int input_ = -1;
    std::thread reader_;
    mutable std::mutex mutex_;
    child_view view_;
};

/// The measured processes, on 127.0.0.1.
class fleet
{
public:
    /// Starts `size` processes; the first two are the seeds.
    fleet(std::string program, std::size_t size, double drop, std::uint16_t service_port)
        : program_(std::move(program))
        , drop_(drop)
        , service_port_(service_port)
    {
        for (std::size_t number = 0; number < size; ++number) {
            processes.push_back(start(number, 1'000));
            if (number < 2) {
                static_cast<void>(
                    wait([&] { return !processes.back()->view().gossip_address.empty(); }, 10s));
                seeds_.push_back(processes.back()->view().gossip_address);
            }
        }
    }

    /// Kills a process and starts it again without any state.
    void restart(std::size_t number, std::uint64_t start_number)
    {
        processes[number]->end(SIGKILL);
        processes[number] = start(number, start_number);
    }

    /// Waits until `condition()` holds; false if it does not within `longest`.
    template <typename Condition>
    [[nodiscard]] static auto wait(Condition condition, duration longest) -> bool
    {
        const auto end = runtime::now() + longest;
        while (!condition()) {
            if (runtime::now() >= end) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    }

    /// Whether `condition(view)` holds for every running process.
    [[nodiscard]] auto all(const std::function<bool(const child_view&)>& condition) const -> bool
    {
        return std::all_of(processes.begin(), processes.end(), [&](const auto& process) {
            return !process->running() || condition(process->view());
        });
    }

    /// Requests and returns the statistics of every running process.
    [[nodiscard]] auto stats() -> std::vector<std::array<std::uint64_t, 6>>
    {
        std::vector<std::array<std::uint64_t, 6>> all_stats;
        for (const auto& process : processes) {
            if (!process->running()) {
                continue;
            }
            const auto before = process->view().stats_count;
            process->ask_stats();
            static_cast<void>(wait([&] { return process->view().stats_count > before; }, 10s));
            all_stats.push_back(process->view().stats);
        }
        return all_stats;
    }

    std::vector<std::unique_ptr<fleet_process>> processes;

private:
    auto start(std::size_t number, std::uint64_t start_number) -> std::unique_ptr<fleet_process>
    {
        std::vector<std::string> arguments{std::to_string(number), std::to_string(start_number),
                                           std::to_string(drop_), std::to_string(service_port_)};
        arguments.insert(arguments.end(), seeds_.begin(), seeds_.end());
        return std::make_unique<fleet_process>(program_, arguments);
    }

    std::string program_;
    double drop_;
    std::uint16_t service_port_;
    std::vector<std::string> seeds_;
};

} // namespace dragonflymill::bench
