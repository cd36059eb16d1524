#include "app/command_cordon.h"

#include "control/plane_fixture.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace dragonflymill::app {

namespace {

using test::eventually;
using test::plane_fixture;

/// Exit code and error output of one run of the command.
struct cordon_run
{
    exit_code code;
    std::string err;
};

auto run(const arguments& words) -> cordon_run
{
    std::ostringstream out;
    std::ostringstream err;
    command_io io{out, err};
    const exit_code code = run_cordon(words, io);
    return {code, err.str()};
}

/// A temporary key file.
class key_file
{
public:
    explicit key_file(const std::string& key)
    {
        path_ = (std::filesystem::temp_directory_path() / "dragonflymill-key-XXXXXX").string();
        const int descriptor = mkstemp(path_.data());
        cr_assert(descriptor >= 0);
        close(descriptor);
        std::ofstream(path_) << key << '\n';
    }
    ~key_file() { unlink(path_.c_str()); }
    key_file(const key_file&) = delete;
    auto operator=(const key_file&) -> key_file& = delete;

    [[nodiscard]] auto path() const -> const std::string& { return path_; }

private:
    std::string path_;
};

/// Whether failure domain `a` is the only drained domain in the process's snapshot.
auto has_cordoned(const plane_fixture& process) -> bool
{
    const auto seen = process.snapshot();
    return seen != nullptr && seen->drained_domains == std::vector{failure_domain_id("a")};
}

} // namespace

Test(command_cordon, takes_a_failure_domain_out_of_service_and_back)
{
    const plane_fixture process(1);
    const key_file key(plane_fixture::key);
    arguments words{"--failure-domain", "a",       "--to", process.plane->self().peer_address,
                    "--key-file",       key.path()};
    const auto out = run(words);
    cr_assert(out.code == exit_code::success, "%s", out.err.c_str());
    cr_assert(eventually([&] { return has_cordoned(process); }));
    words.emplace_back("--back");
    cr_assert(run(words).code == exit_code::success);
    cr_assert(eventually([&] { return !has_cordoned(process); }));
}

Test(command_cordon, is_refused_with_another_key_than_the_fleet_s)
{
    const plane_fixture process(1);
    const key_file other_key("another key of this length");
    const auto refused = run({"--failure-domain", "a", "--to", process.plane->self().peer_address,
                              "--key-file", other_key.path()});
    cr_assert(refused.code == exit_code::refused);
    cr_assert(refused.err.starts_with(process.plane->self().peer_address), "%s", refused.err.c_str());
    cr_assert(!has_cordoned(process));
}

Test(command_cordon, requires_one_subject_a_key_and_a_target)
{
    cr_assert(run({"--failure-domain", "a"}).code == exit_code::usage);
    cr_assert(run({"--failure-domain", "a", "--host", "h", "--key-file", "k", "--to", "127.0.0.1:1"}).code ==
              exit_code::usage);
    cr_assert(run({"--host", "h", "--key-file", "/nonexistent", "--to", "127.0.0.1:1"}).code ==
              exit_code::unreachable);
}

} // namespace dragonflymill::app
