#include "support/child_process.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ; // NOLINT(readability-identifier-naming): name given by the C library

namespace dragonflymill::test_support {

namespace {

constexpr int signal_base = 128;
constexpr auto wait_step = std::chrono::milliseconds(2);

// A failed check ends the test process without running destructors, which would leave children behind that
// keep its output open. Each child is therefore started through util-linux's setpriv, which makes the kernel
// kill it when the test process ends.
constexpr const char* launcher = "/usr/bin/setpriv";
constexpr const char* end_with_parent = "--pdeathsig=KILL";

auto argument_list(const std::string& program, const std::vector<std::string>& arguments)
    -> std::vector<char*>
{
    std::vector<char*> out{const_cast<char*>(launcher), const_cast<char*>(end_with_parent),
                           const_cast<char*>(program.c_str())};
    for (const auto& argument : arguments) {
        out.push_back(const_cast<char*>(argument.c_str()));
    }
    out.push_back(nullptr);
    return out;
}

auto remaining_ms(std::chrono::steady_clock::time_point end) -> int
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments)
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        return;
    }
    output_ = ends[0];
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    const auto list = argument_list(program, arguments);
    if (posix_spawn(&pid_, launcher, &actions, nullptr, list.data(), environ) != 0) {
        pid_ = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
}

child_process::~child_process()
{
    if (pid_ > 0) {
        kill(pid_, SIGCONT);
        kill(pid_, SIGKILL);
        reap(0);
    }
    if (output_ >= 0) {
        close(output_);
    }
}

auto child_process::read_line(duration limit) -> std::optional<std::string>
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (true) {
        if (const auto length = buffer_.find('\n'); length != std::string::npos) {
            const auto line = buffer_.substr(0, length);
            buffer_.erase(0, length + 1);
            return line;
        }
        pollfd ready{output_, POLLIN, 0};
        if (poll(&ready, 1, remaining_ms(end)) <= 0) {
            return std::nullopt;
        }
        std::array<char, 4096> piece{};
        const auto size = read(output_, piece.data(), piece.size());
        if (size <= 0) {
            return std::nullopt;
        }
        buffer_.append(piece.data(), static_cast<std::size_t>(size));
    }
}

auto child_process::read_port(duration limit) -> std::uint16_t
{
    const std::string opening = "listening ";
    const auto end = std::chrono::steady_clock::now() + limit;
    while (const auto line = read_line(std::chrono::milliseconds(remaining_ms(end)))) {
        const auto colon = line->find(':', opening.size());
        if (line->compare(0, opening.size(), opening) == 0 && colon != std::string::npos) {
            return static_cast<std::uint16_t>(std::strtoul(line->c_str() + colon + 1, nullptr, 10));
        }
    }
    return 0;
}

void child_process::signal(int number) const
{
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

auto child_process::wait(duration limit) -> std::optional<int>
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (pid_ > 0 && !reap(WNOHANG)) {
        if (std::chrono::steady_clock::now() >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(wait_step);
    }
    return exit_code_;
}

auto child_process::reap(int flags) -> bool
{
    int status = 0;
    const auto reaped = waitpid(pid_, &status, flags);
    if (reaped == 0 || (reaped < 0 && errno == EINTR)) {
        return false;
    }
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
    pid_ = 0;
    return true;
}

} // namespace dragonflymill::test_support
