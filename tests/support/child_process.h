#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonflymill::test_support {

/// A child process for tests of signals and sockets. The destructor kills and reaps it, so that no test
/// leaves a process behind.
class child_process
{
public:
    /// Starts `program` with `arguments`. Standard output is captured; standard error is that of the test.
    child_process(const std::string& program, const std::vector<std::string>& arguments);
    child_process(const child_process&) = delete;
    auto operator=(const child_process&) -> child_process& = delete;
    ~child_process();

    /// Whether the process was started.
    [[nodiscard]] auto started() const -> bool { return pid_ > 0 || exit_code_.has_value(); }
    /// Process id; 0 if it was not started or has been reaped.
    [[nodiscard]] auto pid() const -> pid_t { return pid_; }
    /// Returns the next line of output without its newline; nothing at the end of the output or after
    /// `limit`.
    [[nodiscard]] auto read_line(duration limit = 10s) -> std::optional<std::string>;
    /// Returns the port in the next output line `listening ADDRESS:PORT...`; 0 if there is none within
    /// `limit`.
    [[nodiscard]] auto read_port(duration limit = 10s) -> std::uint16_t;
    /// Sends a signal to the process unless it has been reaped.
    void signal(int number) const;
    /// Waits at most `limit` for the exit: the exit code, or 128 + signal number; nothing if it still runs.
    [[nodiscard]] auto wait(duration limit = 10s) -> std::optional<int>;

private:
    auto reap(int flags) -> bool;

    pid_t pid_ = 0;
    int output_ = -1;
    std::string buffer_;
    std::optional<int> exit_code_;
};

} // namespace dragonflymill::test_support
