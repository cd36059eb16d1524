#include "app/command_bundle_push.h"
#include "app/command_drain.h"
#include "app/command_status.h"
#include "control/admin_endpoint.h"
#include "http/http_server.h"
#include "runtime/io_thread.h"

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

// Last: Criterion's macro Test would change the meaning of a name in the headers of Boost.Beast.
#include "bundle/signing.h"

namespace dragonflymill::app {

namespace {

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

/// A process's admin address on a free port, which counts what it is asked.
class admin_process
{
public:
    explicit admin_process(result<void> answer)
        : answer_(std::move(answer))
    {
        cr_assert(server_.listen("127.0.0.1:0").has_value());
        thread_.start();
    }
    ~admin_process() { thread_.stop(); }
    admin_process(const admin_process&) = delete;
    auto operator=(const admin_process&) -> admin_process& = delete;

    [[nodiscard]] auto address() const -> std::string { return server_.local_address(); }
    [[nodiscard]] auto drains() const -> int { return drains_; }
    [[nodiscard]] auto bundle() const -> std::uint64_t { return bundle_; }

private:
    auto handlers() -> admin_handlers
    {
        return {sample_status,
                [this] {
                    ++drains_;
                    return answer_;
                },
                [this](const bundle_package& package) {
                    bundle_ = package.content.version.value();
                    return answer_;
                }};
    }

    result<void> answer_;
    std::atomic<int> drains_{0};
    std::atomic<std::uint64_t> bundle_{0};
    runtime::io_thread thread_;
    http::http_server server_{
        thread_.context(),
        {},
        {[this](const std::shared_ptr<http::http_session>& session, const http::http_request& request) {
             session->respond(session->exchange(), answer_admin(request, handlers()));
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

auto unauthorized_error() -> result<void>
{
    return error(error_kind::unauthorized, "the signature of birchlog is missing or wrong", "sign it");
}

/// A bundle, version 7, in a file that is gone when the test ends.
class bundle_file
{
public:
    explicit bundle_file(
        const std::vector<partner_signature>& signatures = test_signed(test_bundle(7)).signatures)
    {
        std::string name = (std::filesystem::temp_directory_path() / "dragonflymill-push-XXXXXX").string();
        const int descriptor = mkstemp(name.data());
        cr_assert(descriptor >= 0);
        close(descriptor);
        path_ = name;
        bundle_package package = package_of(test_bundle(7));
        package.manifest.signatures = signatures;
        std::ofstream(path_) << encode_package(package);
    }
    ~bundle_file() { unlink(path_.c_str()); }
    bundle_file(const bundle_file&) = delete;
    auto operator=(const bundle_file&) -> bundle_file& = delete;

    [[nodiscard]] auto path() const -> const std::string& { return path_; }

private:
    std::string path_;
};

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

Test(admin, status_shows_why_a_process_is_not_ready)
{
    const admin_process process{success()};
    const auto shown = run(run_status, {process.address()});
    cr_assert(shown.code == exit_code::success, "%s", shown.err.c_str());
    cr_assert(shown.out.find("gw-1 (gateway, 0.1.0): not ready: no bundle is in force") == 0, "%s",
              shown.out.c_str());
    cr_assert(shown.out.find("last rejected bundle: the signature") != std::string::npos);
    cr_assert(shown.out.find("engine-1: cold, 10 of 100") != std::string::npos);
    const auto json = run(run_status, {"--json", process.address()});
    cr_assert(parse_process_status(json.out).value() == sample_status());
}

Test(admin, a_push_reaches_every_process_though_one_is_gone)
{
    // One of three processes has died: its port is closed. The others must still get the bundle, and the
    // operator must see which one did not.
    const admin_process first{success()};
    const admin_process last{success()};
    std::string gone;
    {
        const admin_process dead{success()};
        gone = dead.address();
    }
    const bundle_file file;
    const auto pushed =
        run(run_bundle_push, {file.path(), "--to", first.address(), "--to", gone, "--to", last.address()});
    cr_assert(pushed.code == exit_code::unreachable);
    cr_assert(first.bundle() == 7 && last.bundle() == 7);
    cr_assert(pushed.err.find(gone + " can't be reached") != std::string::npos, "%s", pushed.err.c_str());
}

Test(admin, a_refusal_comes_with_the_process_s_own_words)
{
    const admin_process process{unauthorized_error()};
    const bundle_file file;
    const auto pushed = run(run_bundle_push, {file.path(), "--to", process.address()});
    cr_assert(pushed.code == exit_code::refused);
    cr_assert(pushed.err.find("signature of birchlog is missing or wrong; sign it") != std::string::npos,
              "%s", pushed.err.c_str());
}

Test(admin, a_bundle_that_is_not_signed_by_both_is_not_sent)
{
    const admin_process process{success()};
    const bundle_file file(std::vector<partner_signature>{});
    const auto pushed = run(run_bundle_push, {file.path(), "--to", process.address()});
    cr_assert(pushed.code == exit_code::refused);
    cr_assert(pushed.err.find("has 0 of 2 signatures") != std::string::npos, "%s", pushed.err.c_str());
    cr_assert(process.bundle() == 0);
}

Test(admin, drain_is_asked_for_once)
{
    const admin_process process{success()};
    cr_assert(run(run_drain, {process.address()}).out == process.address() + ": draining\n");
    cr_assert(process.drains() == 1);
    cr_assert(run(run_drain, {"localhost:1"}).code == exit_code::usage);
}

Test(admin, what_is_not_offered_is_refused)
{
    const admin_handlers handlers{sample_status, [] { return unauthorized_error(); },
                                  [](const bundle_package&) { return unauthorized_error(); }};
    cr_assert(answer_admin({"GET", "/admin/nothing", {}, ""}, handlers).status == 404);
    cr_assert(answer_admin({"GET", "/admin/drain", {}, ""}, handlers).status == 405);
    cr_assert(answer_admin({"POST", "/admin/status", {}, ""}, handlers).status == 405);
    cr_assert(answer_admin({"POST", "/admin/bundle", {}, "nonsense"}, handlers).status == 400);
    cr_assert(answer_admin({"POST", "/admin/drain", {}, ""}, handlers).status == 409);
}

} // namespace dragonflymill::app
