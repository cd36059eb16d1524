#include <cerrno>
#include <criterion/criterion.h>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr const char* sanitizer_flags = "-DCMAKE_CXX_FLAGS=-fsanitize=address,undefined";
#elif defined(__SANITIZE_THREAD__)
constexpr const char* sanitizer_flags = "-DCMAKE_CXX_FLAGS=-fsanitize=thread";
#else
constexpr const char* sanitizer_flags = "-DCMAKE_CXX_FLAGS=";
#endif

auto read(const std::string& path) -> std::string
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// Runs a program with its output written to `log`. Returns its exit code, or -1 if a signal killed it.
auto run(std::vector<std::string> words, const std::string& log) -> int
{
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string& word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    cr_assert(posix_spawn_file_actions_init(&actions) == 0);
    cr_assert(posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                               O_WRONLY | O_CREAT | O_TRUNC, 0600) == 0);
    cr_assert(posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO) == 0);
    pid_t child = 0;
    cr_assert(posix_spawnp(&child, pointers.front(), &actions, nullptr, pointers.data(), environ) == 0, "%s",
              words.front().c_str());
    posix_spawn_file_actions_destroy(&actions);
    int status = 0;
    while (waitpid(child, &status, 0) < 0 && errno == EINTR) {
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void expect_success(const std::vector<std::string>& words, const std::string& log)
{
    const int code = run(words, log);
    cr_assert(code == 0, "%s exited with %d: %s", words[1].c_str(), code, read(log).c_str());
}

} // namespace

// Guards against a library installation that lacks headers or CMake files: the example is built and run
// against the installed tree.
Test(installed_tree, builds_and_runs_the_example)
{
    std::string folder = (std::filesystem::temp_directory_path() / "dragonflymill-install-XXXXXX").string();
    cr_assert(mkdtemp(folder.data()) != nullptr);
    const std::string log = folder + "/log";
    const std::string source = DRAGONFLYMILL_SOURCE_DIR "/examples/hello_world";
    expect_success({"cmake", "--install", DRAGONFLYMILL_BINARY_DIR, "--prefix", folder + "/tree",
                    "--component", "library"},
                   log);
    expect_success({"cmake", "-G", "Ninja", "-S", source, "-B", folder + "/build",
                    "-DCMAKE_PREFIX_PATH=" + folder + "/tree", sanitizer_flags},
                   log);
    expect_success({"cmake", "--build", folder + "/build"}, log);
    expect_success({folder + "/build/hello_world", "ignored"}, log);
    const std::string out = read(log);
    cr_assert(out.find("first try: run it\nsecond try: already run") != std::string::npos, "%s", out.c_str());
    cr_assert(out.find("ask 4: refused, upstream_cold, ran no") != std::string::npos, "%s", out.c_str());
    cr_assert(out.find("answer: Birch burns well.\n") != std::string::npos, "%s", out.c_str());
    std::filesystem::remove_all(folder);
}
