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

// Included last: Criterion's macro Test collides with a name in the headers of Boost.Beast.
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

/// An admin server on a free port that counts drain requests, records the pushed bundle's version and returns
/// a fixed result for both.
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

/// Exit code and output of one command.
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

/// A temporary file with a package of bundle version 7, signed by both partners by default.
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

Test(process_status, survives_a_json_round_trip)
{
    const auto read = parse_process_status(to_json(sample_status()));
    cr_assert(read.has_value());
    cr_assert(read.value() == sample_status());
    for (const char* invalid : {"", "{}", "[]", R"({"process":1})"}) {
        cr_assert(parse_process_status(invalid).error().kind() == error_kind::corrupt);
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

Test(admin, push_continues_after_an_unreachable_process)
{
    // Guards against a push that stops at the first unreachable process. The second of three processes has
    // closed its port; the others must receive the bundle, and the error must name the unreachable one.
    const admin_process first{success()};
    const admin_process last{success()};
    std::string closed_address;
    {
        const admin_process stopped{success()};
        closed_address = stopped.address();
    }
    const bundle_file file;
    const auto pushed = run(run_bundle_push, {file.path(), "--to", first.address(), "--to", closed_address,
                                              "--to", last.address()});
    cr_assert(pushed.code == exit_code::unreachable);
    cr_assert(first.bundle() == 7 && last.bundle() == 7);
    cr_assert(pushed.err.find(closed_address + " can't be reached") != std::string::npos, "%s",
              pushed.err.c_str());
}

Test(admin, push_reports_the_process_s_error_message)
{
    const admin_process process{unauthorized_error()};
    const bundle_file file;
    const auto pushed = run(run_bundle_push, {file.path(), "--to", process.address()});
    cr_assert(pushed.code == exit_code::refused);
    cr_assert(pushed.err.find("signature of birchlog is missing or wrong; sign it") != std::string::npos,
              "%s", pushed.err.c_str());
}

Test(admin, push_sends_no_bundle_without_both_signatures)
{
    const admin_process process{success()};
    const bundle_file file(std::vector<partner_signature>{});
    const auto pushed = run(run_bundle_push, {file.path(), "--to", process.address()});
    cr_assert(pushed.code == exit_code::refused);
    cr_assert(pushed.err.find("has 0 of 2 signatures") != std::string::npos, "%s", pushed.err.c_str());
    cr_assert(process.bundle() == 0);
}

Test(admin, drain_sends_one_request)
{
    const admin_process process{success()};
    cr_assert(run(run_drain, {process.address()}).out == process.address() + ": draining\n");
    cr_assert(process.drains() == 1);
    cr_assert(run(run_drain, {"localhost:1"}).code == exit_code::usage);
}

Test(admin, endpoint_rejects_invalid_requests_and_reports_handler_errors)
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
