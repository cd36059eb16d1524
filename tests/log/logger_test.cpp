#include "log/log_line.h"
#include "log/logger.h"

#include "dragonflymill/core/ids.h"

#include <array>
#include <atomic>
#include <boost/json/parse.hpp>
#include <criterion/criterion.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace dragonflymill {

namespace {

auto temporary_file() -> std::string
{
    std::string name = (std::filesystem::temp_directory_path() / "dragonflymill-log-XXXXXX").string();
    const int descriptor = mkstemp(name.data());
    cr_assert(descriptor >= 0);
    close(descriptor);
    return name;
}

auto read_lines(const std::string& file) -> std::vector<std::string>
{
    std::ifstream in(file);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

Test(log_line, text_contains_number_name_fields_and_remedy)
{
    const log_record record{
        event::request_refused,
        wall_instant(duration(1'700'000'000'000'001)),
        {field("request", request_id("r-1")), field("ran", "no"), field("retry_after_us", 5ms)}};
    const std::string line = log_line(record, "gw-1", log_format::text);
    cr_assert(line.starts_with("2023-11-14T22:13:20.000001Z info 1021 request_refused gw-1: "), "%s",
              line.c_str());
    cr_assert(line.find(" request=r-1 ran=no retry_after_us=5000 (see the code;") != std::string::npos, "%s",
              line.c_str());
}

Test(log_line, quotes_untrusted_text)
{
    const log_record record{event::caller_malformed, {}, {field("target", "/a\n2026 error 9999 x=1")}};
    const std::string line = log_line(record, "gw-1", log_format::text);
    cr_assert(line.find('\n') == std::string::npos);
    cr_assert(line.find("target=\"/a\\n2026 error 9999 x=1\"") != std::string::npos, "%s", line.c_str());
}

Test(log_line, json_preserves_value_types)
{
    const log_record record{
        event::request_refused, {}, {field("count", 3), field("hot", true), field("share", 0.5)}};
    const auto line = boost::json::parse(log_line(record, "gw-1", log_format::json)).as_object();
    cr_assert(line.at("event").as_int64() == 1021);
    const auto& fields = line.at("fields").as_object();
    cr_assert(fields.at("count").as_int64() == 3);
    cr_assert(fields.at("hot").as_bool());
    cr_assert(fields.at("share").as_double() == 0.5);
}

Test(logger, writes_events_of_its_level_from_all_threads)
{
    const std::string file = temporary_file();
    {
        auto started = logger::start({"sc-1", log_level::info, log_format::json, file});
        cr_assert(started.has_value());
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([t] {
                for (int i = 0; i < 100; ++i) {
                    log_event(event::call_replayed, field("thread", t), field("lease", i));
                    log_event(event::memory_released);
                }
            });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        cr_assert(started.value().dropped() == 0);
    }
    cr_assert(read_lines(file).size() == 400, "debug events must not be logged at level info");
    log_event(event::call_replayed);
    cr_assert(read_lines(file).size() == 400, "nothing may be logged without a logger");
    std::filesystem::remove(file);
}

Test(logger, full_queue_drops_and_counts_events)
{
    // A pipe without a reader simulates a log file system that hangs.
    const std::string pipe = temporary_file();
    std::filesystem::remove(pipe);
    cr_assert(mkfifo(pipe.c_str(), 0600) == 0);
    const int reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
    auto started = logger::start({"sc-1", log_level::info, log_format::text, pipe});
    cr_assert(started.has_value());
    constexpr int sent = 20'000;
    for (int i = 0; i < sent; ++i) {
        log_event(event::call_replayed, field("lease", i));
    }
    cr_assert(started.value().dropped() > 0, "a blocked writer must not block log_event");
    std::filesystem::remove(pipe);
    std::atomic<bool> written{false};
    std::thread drain([&written, reader] {
        std::vector<char> buffer(65'536);
        while (!written) {
            if (read(reader, buffer.data(), buffer.size()) <= 0) {
                std::this_thread::yield();
            }
        }
    });
    started.value().flush();
    written = true;
    drain.join();
    close(reader);
}

Test(logger, rejects_a_second_logger_and_names_an_unusable_file)
{
    const auto bad = logger::start({"p", log_level::info, log_format::text, "/nonexistent/x.log"});
    cr_assert(bad.has_error());
    cr_assert(bad.error().message().find("/nonexistent/x.log") != std::string::npos);
    const std::string file = temporary_file();
    const auto first = logger::start({"p", log_level::info, log_format::text, file});
    cr_assert(first.has_value());
    cr_assert(logger::start({"p", log_level::info, log_format::text, file}).error().kind() ==
              error_kind::conflict);
    std::filesystem::remove(file);
}

// Failure: a process whose standard output is a full pipe without a reader never exits. The log writer blocks
// on the pipe, and process exit waited for the writer.
Test(logger, blocked_output_pipe_does_not_prevent_exit, .timeout = 60)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::array<int, 2> pipe_ends{};
    cr_assert(pipe(pipe_ends.data()) == 0);
    cr_assert(fcntl(pipe_ends[1], F_SETFL, O_NONBLOCK) == 0);
    const std::array<char, 4096> filler{};
    while (write(pipe_ends[1], filler.data(), filler.size()) > 0) {
    }
    cr_assert(fcntl(pipe_ends[1], F_SETFL, 0) == 0);
    cr_assert(dup2(pipe_ends[1], STDOUT_FILENO) == STDOUT_FILENO);
    {
        auto log = logger::start({"p", log_level::info, log_format::json, standard_output_file});
        cr_assert(log.has_value());
        for (int i = 0; i < 100; ++i) {
            log_event(event::gateway_started, field("gateway", "g"));
        }
    }
    // Exits like the daemons: the writer thread may still be blocked and must not access destroyed static
    // objects.
    std::quick_exit(EXIT_SUCCESS);
}

} // namespace dragonflymill
