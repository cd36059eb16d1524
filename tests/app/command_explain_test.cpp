#include "app/program.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace dragonflymill::app;

namespace {

/// A temporary log file.
class log_file
{
public:
    explicit log_file(const std::string& text)
        : path_(std::filesystem::temp_directory_path() /
                ("explain-" + std::to_string(getpid()) + "-" + std::to_string(++file_count)))
    {
        std::ofstream(path_) << text;
    }
    ~log_file() { std::filesystem::remove(path_); }
    log_file(const log_file&) = delete;
    auto operator=(const log_file&) -> log_file& = delete;

    [[nodiscard]] auto name() const -> std::string { return path_.string(); }

private:
    static inline int file_count = 0;
    std::filesystem::path path_;
};

auto log_line(const std::string& time, const std::string& process, const std::string& name,
              const std::string& request) -> std::string
{
    return R"({"time":")" + time + R"(","process":")" + process + R"(","name":")" + name +
           R"(","fields":{"request":")" + request + R"(","attempt":1}})" + "\n";
}

} // namespace

// The lines of one request are spread over the logs of two gateways, among other requests' lines, behind a
// log collector's prefix and next to lines that aren't JSON. A longer id with the same prefix (r70) must not
// match.
Test(command_explain, prints_a_request_s_lines_of_all_logs_ordered_by_time)
{
    const log_file one("collector: " + log_line("T2", "g1", "call_refused", "r7") +
                       log_line("T1", "g1", "other", "r70") + "not json r7\n{broken r7\n");
    const log_file two(log_line("T1", "g2", "call_dispatched", "r7"));
    std::ostringstream out;
    std::ostringstream err;
    command_io io{out, err};
    cr_assert(run_program({"explain", "r7", one.name(), two.name()}, io) == exit_code::success);
    cr_assert(out.str() == "T1 g2 call_dispatched: attempt=1\nT2 g1 call_refused: attempt=1\n", "%s",
              out.str().c_str());
}

Test(command_explain, fails_if_no_line_matches_or_a_log_is_unreadable)
{
    const log_file empty("");
    std::ostringstream out;
    std::ostringstream err;
    command_io io{out, err};
    cr_assert(run_program({"explain", "r7", empty.name()}, io) == exit_code::failure);
    cr_assert(run_program({"explain", "r7", "/nowhere/log"}, io) == exit_code::unreachable);
    cr_assert(run_program({"explain", "r7"}, io) == exit_code::usage);
}
