#pragma once

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/types.h>

namespace dragonflymill::crowd {

/// A figure of a process in bytes, by its name in /proc/PID/status; 0 if the process doesn't run.
[[nodiscard]] inline auto status_bytes(pid_t pid, const std::string& name) -> std::size_t
{
    constexpr std::size_t bytes_per_kib = 1024;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (status >> word) {
        if (word == name + ":") {
            std::size_t kib = 0;
            status >> kib;
            return kib * bytes_per_kib;
        }
    }
    return 0;
}

/// Largest resident memory that a process has had, in bytes.
[[nodiscard]] inline auto peak_memory(pid_t pid) -> std::size_t
{
    return status_bytes(pid, "VmHWM");
}

/// Resident memory of a process, in bytes.
[[nodiscard]] inline auto resident_memory(pid_t pid) -> std::size_t
{
    return status_bytes(pid, "VmRSS");
}

/// Number of a process's open descriptors.
[[nodiscard]] inline auto open_descriptors(pid_t pid) -> std::size_t
{
    std::error_code ended;
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", ended);
    std::size_t count = 0;
    for (; !ended && entries != std::filesystem::directory_iterator(); entries.increment(ended)) {
        ++count;
    }
    return count;
}

} // namespace dragonflymill::crowd
