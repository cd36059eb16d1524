#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonflymill::test_support {

/// A real process for a test of signals and sockets. It is killed and reaped when this object goes, so that
/// no test leaves one behind.
class child_process
{
public:
    /// Starts `program` with `arguments`; its standard output can be read here, its standard error is the
    /// test's.
    child_process(const std::string& program, const std::vector<std::string>& arguments);
    child_process(const child_process&) = delete;
    auto operator=(const child_process&) -> child_process& = delete;
    ~child_process();

    /// Whether it could be started.
    [[nodiscard]] auto started() const -> bool { return pid_ > 0 || exit_code_.has_value(); }
    /// Its process id; 0 once it was reaped.
    [[nodiscard]] auto pid() const -> pid_t { return pid_; }
    /// Next line of its output, without the line's end; nothing at the end of output or after `limit`.
    [[nodiscard]] auto read_line(duration limit = 10s) -> std::optional<std::string>;
    /// Port of the next line `listening ADDRESS:PORT...`; 0 if none comes within `limit`.
    [[nodiscard]] auto read_port(duration limit = 10s) -> std::uint16_t;
    /// Sends a signal to it.
    void signal(int number) const;
    /// Waits for its end, at most `limit`: the exit code, or 128 + signal; nothing if it still runs.
    [[nodiscard]] auto wait(duration limit = 10s) -> std::optional<int>;

private:
    auto reap(int flags) -> bool;

    pid_t pid_ = 0;
    int output_ = -1;
    std::string buffer_;
    std::optional<int> exit_code_;
};

} // namespace dragonflymill::test_support
