#include "app/bundle_package.h"
#include "app/command_bundle_push.h"
#include "app/command_drain.h"
#include "app/command_status.h"
#include "app/status_client.h"
#include "http/http_server.h"
#include "http/http_text.h"
#include "runtime/io_thread.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

// Last: Criterion's macro Test would change the meaning of a name in the headers of Boost.Beast.
#include "bundle/signing.h"
#include "control/plane_fixture.h"

namespace dragonflymill::app {

namespace {

using test::eventually;
using test::plane_fixture;

auto sample_status() -> process_status
{
    process_status status;
    status.process = process_id("gw-1");
    status.role = "gateway";
    status.version = "0.1.0";
    status.reason = "no bundle is in force";
    status.last_rejection = "the signature of birchlog is missing or wrong";
    status.in_flight = 3;
    status.upstreams = {{upstream_id("engine-1"), "cold", 10, 100}};
    return status;
}

/// An admin address on a free port.
class admin_process
{
public:
    admin_process()
    {
        cr_assert(server_.listen("127.0.0.1:0").has_value());
        thread_.start();
    }
    ~admin_process() { thread_.stop(); }
    admin_process(const admin_process&) = delete;
    auto operator=(const admin_process&) -> admin_process& = delete;

    [[nodiscard]] auto address() const -> std::string { return server_.local_address(); }

private:
    static auto answer(const http::http_request& request) -> http::http_response
    {
        if (request.path() != status_path) {
            return http::error_response(404, "not_found", "use " + std::string(status_path));
        }
        return {200, "application/json", {}, to_json(sample_status())};
    }

    runtime::io_thread thread_;
    http::http_server server_{
        thread_.context(),
        {},
        {[](const std::shared_ptr<http::http_session>& session, const http::http_request& request) {
             session->respond(session->exchange(), answer(request));
         },
         [](std::uint64_t) {}}};
};

/// What one command did.
struct command_run
{
    exit_code code;
    std::string out;
    std::string err;
};

auto run(auto(*command)(const arguments&, command_io&)->exit_code, const arguments& words) -> command_run
{
    std::ostringstream out;
    std::ostringstream err;
    command_io io{out, err};
    const exit_code code = command(words, io);
    return {code, out.str(), err.str()};
}

/// A file that is gone when the test ends.
class temporary_file
{
public:
    explicit temporary_file(const std::string& text)
    {
        path_ = (std::filesystem::temp_directory_path() / "dragonflymill-operator-XXXXXX").string();
        const int descriptor = mkstemp(path_.data());
        cr_assert(descriptor >= 0);
        close(descriptor);
        std::ofstream(path_) << text;
    }
    ~temporary_file() { unlink(path_.c_str()); }
    temporary_file(const temporary_file&) = delete;
    auto operator=(const temporary_file&) -> temporary_file& = delete;

    [[nodiscard]] auto path() const -> const std::string& { return path_; }

private:
    std::string path_;
};

auto package_text(std::uint64_t version) -> std::string
{
    bundle_package package = package_of(test_bundle(version));
    package.manifest = test_signed(test_bundle(version));
    return encode_package(package);
}

auto peer_address(const plane_fixture& process) -> std::string
{
    return process.plane->self().peer_address;
}

/// Whether the process has failure domain `a` out of service.
auto has_drained(const plane_fixture& process) -> bool
{
    const auto seen = process.snapshot();
    return seen != nullptr && seen->drained_domains == std::vector{failure_domain_id("a")};
}

} // namespace

Test(process_status, json_keeps_everything)
{
    const auto read = parse_process_status(to_json(sample_status()));
    cr_assert(read.has_value());
    cr_assert(read.value() == sample_status());
    for (const char* wrong : {"", "{}", "[]", R"({"process":1})"}) {
        cr_assert(parse_process_status(wrong).error().kind() == error_kind::corrupt);
    }
}

Test(operator_commands, status_shows_why_a_process_is_not_ready)
{
    const admin_process process;
    const auto shown = run(run_status, {process.address()});
    cr_assert(shown.code == exit_code::success, "%s", shown.err.c_str());
    cr_assert(shown.out.starts_with("gw-1 (gateway, 0.1.0): not ready: no bundle is in force"), "%s",
              shown.out.c_str());
    cr_assert(shown.out.find("last rejected bundle: the signature") != std::string::npos);
    cr_assert(shown.out.find("engine-1: cold, 10 of 100") != std::string::npos);
    const auto json = run(run_status, {"--json", process.address()});
    cr_assert(parse_process_status(json.out).value() == sample_status());
}

Test(operator_commands, status_goes_on_after_a_process_that_is_gone)
{
    std::string gone;
    {
        const admin_process dead;
        gone = dead.address();
    }
    const admin_process alive;
    const auto shown = run(run_status, {gone, alive.address()});
    cr_assert(shown.code == exit_code::unreachable);
    cr_assert(shown.err.find(gone + " can't be reached") != std::string::npos, "%s", shown.err.c_str());
    cr_assert(shown.out.starts_with("gw-1"));
    cr_assert(run(run_status, {"localhost:1"}).code == exit_code::usage);
}

Test(operator_commands, a_pushed_bundle_comes_into_force)
{
    // A process that starts takes no bundle before it has heard from others, so three start together.
    const plane_fixture process(1);
    const std::vector<std::string> seeds{process.plane->self().gossip_address};
    const plane_fixture second(2, seeds);
    const plane_fixture third(3, seeds);
    const temporary_file file(package_text(7));
    cr_assert(eventually([&] {
        return run(run_bundle_push, {file.path(), "--to", peer_address(process)}).code == exit_code::success;
    }));
    cr_assert(eventually([&] { return process.version() == 7 && third.version() == 7; }));
    const temporary_file older(package_text(6));
    const auto refused = run(run_bundle_push, {older.path(), "--to", peer_address(process)});
    cr_assert(refused.code != exit_code::success);
    cr_assert(refused.err.starts_with(peer_address(process)), "%s", refused.err.c_str());
    cr_assert(process.version() == 7);
}

Test(operator_commands, a_bundle_that_is_not_signed_by_both_is_not_sent)
{
    const temporary_file file(encode_package(package_of(test_bundle(7))));
    const auto pushed = run(run_bundle_push, {file.path(), "--to", "127.0.0.1:1"});
    cr_assert(pushed.code == exit_code::refused);
    cr_assert(pushed.err.find("has 0 of 2 signatures") != std::string::npos, "%s", pushed.err.c_str());
}

Test(operator_commands, a_failure_domain_goes_out_and_comes_back)
{
    const plane_fixture process(1);
    const temporary_file key(std::string(plane_fixture::key) + "\n");
    const temporary_file wrong_key("another key of this length");
    arguments words{"--failure-domain", "a", "--to", peer_address(process), "--key-file", wrong_key.path()};
    cr_assert(run(run_drain, words).code == exit_code::refused,
              "only who has the fleet's key is listened to");
    words.back() = key.path();
    const auto out = run(run_drain, words);
    cr_assert(out.code == exit_code::success, "%s", out.err.c_str());
    cr_assert(eventually([&] { return has_drained(process); }));
    words.emplace_back("--back");
    cr_assert(run(run_drain, words).code == exit_code::success);
    cr_assert(eventually([&] { return !has_drained(process); }));
    cr_assert(run(run_drain, {"--failure-domain", "a"}).code == exit_code::usage);
}

} // namespace dragonflymill::app
