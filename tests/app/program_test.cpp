#include "app/program.h"

#include "settings/gateway_settings.h"
#include "timeline/timeline_event.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>

namespace dragonflymill::app {

namespace {

/// Exit code and output of one run of the program.
struct program_run
{
    exit_code code;
    std::string out;
    std::string err;
};

auto run(const arguments& words) -> program_run
{
    std::ostringstream out;
    std::ostringstream err;
    command_io io{out, err};
    const exit_code code = run_program(words, io);
    return {code, out.str(), err.str()};
}

/// A temporary folder, removed by the destructor.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "dragonflymill-app-XXXXXX").string();
        cr_assert(mkdtemp(name.data()) != nullptr);
        path_ = name;
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    auto operator=(const temporary_folder&) -> temporary_folder& = delete;

    [[nodiscard]] auto file(const std::string& name) const -> std::string { return path_ + '/' + name; }

private:
    std::string path_;
};

void write(const std::string& path, const std::string& text)
{
    std::ofstream(path) << text;
}

auto read(const std::string& path) -> std::string
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// Returns `text` with `line` inserted after the first line that ends with `after`.
auto with_line(std::string text, const std::string& after, const std::string& line) -> std::string
{
    const std::size_t at = text.find(after + '\n');
    cr_assert(at != std::string::npos);
    return text.insert(at + after.size() + 1, line + '\n');
}

/// A folder with the source text of a bundle and key files of both partners, whose public keys it names.
struct signing
{
    temporary_folder folder;
    std::string cooperative_key;
    std::string birchlog_key;

    signing()
    {
        cooperative_key = new_key("c.pem");
        birchlog_key = new_key("b.pem");
        std::string source = run({"bundle", "new"}).out;
        source = with_line(source, "[partner cooperative]", "public_key = " + cooperative_key);
        source = with_line(source, "[partner birchlog]", "public_key = " + birchlog_key);
        write(folder.file("bundle.ini"), source);
    }

    [[nodiscard]] auto new_key(const std::string& name) const -> std::string
    {
        const auto made = run({"bundle", "key", folder.file(name), "--new"});
        cr_assert(made.code == exit_code::success, "%s", made.err.c_str());
        return made.out.substr(0, made.out.size() - 1);
    }

    [[nodiscard]] auto sign(const std::string& from, const std::string& to, const std::string& partner,
                            const std::string& key) const -> program_run
    {
        return run({"bundle", "sign", folder.file(from), "--out", folder.file(to), "--partner", partner,
                    "--key", folder.file(key)});
    }

    [[nodiscard]] auto verify(const std::string& name) const -> program_run
    {
        return run({"bundle", "verify", folder.file(name), "--trust", "cooperative:" + cooperative_key,
                    "--trust", "birchlog:" + birchlog_key});
    }
};

} // namespace

Test(program, prints_help_with_an_example_for_every_command)
{
    std::vector<arguments> all{{"bundle", "new"},  {"bundle", "check"}, {"bundle", "diff"},
                               {"bundle", "sign"}, {"bundle", "key"},   {"bundle", "verify"},
                               {"bundle", "push"}};
    for (const command& c : program_commands()) {
        all.push_back({c.name});
    }
    for (arguments words : all) {
        words.emplace_back("--help");
        const auto help = run(words);
        cr_assert(help.code == exit_code::success, "%s", words.front().c_str());
        cr_assert(help.out.starts_with("Usage: dragonflymill " + words.front()), "%s", help.out.c_str());
        cr_assert(help.out.find("\nExample") != std::string::npos, "%s", help.out.c_str());
    }
}

Test(program, has_every_command_and_exit_code_in_the_docs)
{
    const std::string docs = read(DRAGONFLYMILL_SOURCE_DIR "/docs/cli.md");
    for (const command& c : program_commands()) {
        cr_assert(docs.find("dragonflymill " + std::string(c.name)) != std::string::npos, "%s", c.name);
    }
    for (int code = 0; code <= static_cast<int>(exit_code::refused); ++code) {
        cr_assert(docs.find("\n| " + std::to_string(code) + " | ") != std::string::npos, "exit code %d",
                  code);
    }
}

Test(program, rejects_invalid_command_lines_without_output)
{
    for (const arguments& words : {arguments{},
                                   {"nonsense"},
                                   {"version", "--x"},
                                   {"timeline"},
                                   {"bundle", "nonsense"},
                                   {"bundle", "diff", "one"},
                                   {"settings", "engine"}}) {
        const auto result = run(words);
        cr_assert(result.code == exit_code::usage);
        cr_assert(result.out.empty());
        cr_assert(!result.err.empty());
    }
    cr_assert(run({"--version"}).out == run({"version"}).out);
}

Test(program, signs_a_new_bundle_with_both_partners)
{
    const signing s;
    cr_assert(run({"bundle", "check", s.folder.file("bundle.ini")})
                  .out.starts_with("version 1: 1 failure domains"));
    cr_assert(s.sign("bundle.ini", "half.signed", "cooperative", "c.pem").code == exit_code::success);
    cr_assert(s.verify("half.signed").code == exit_code::refused,
              "a bundle with one of two signatures was accepted");
    cr_assert(
        s.sign("half.signed", "bundle.signed", "birchlog", "b.pem").out.ends_with("2 of 2 signatures\n"));
    const auto verified = s.verify("bundle.signed");
    cr_assert(verified.code == exit_code::success, "%s", verified.err.c_str());
    cr_assert(run({"bundle", "check", s.folder.file("bundle.signed")}).code == exit_code::success);
}

Test(program, detects_a_changed_or_truncated_signed_bundle)
{
    const signing s;
    cr_assert(s.sign("bundle.ini", "half.signed", "cooperative", "c.pem").code == exit_code::success);
    cr_assert(s.sign("half.signed", "bundle.signed", "birchlog", "b.pem").code == exit_code::success);
    const std::string whole = read(s.folder.file("bundle.signed"));
    for (std::size_t at = 0; at < whole.size(); at += 7) {
        std::string changed = whole;
        changed[at] = changed[at] == '1' ? '2' : '1';
        write(s.folder.file("changed.signed"), changed);
        cr_assert(s.verify("changed.signed").code != exit_code::success, "byte %zu", at);
    }
    write(s.folder.file("cut.signed"), whole.substr(0, whole.size() - 1));
    cr_assert(s.verify("cut.signed").code == exit_code::invalid);
}

Test(program, rejects_a_signature_with_the_other_partner_s_key)
{
    const signing s;
    const auto wrong = s.sign("bundle.ini", "half.signed", "birchlog", "c.pem");
    cr_assert(wrong.code == exit_code::refused);
    cr_assert(!std::filesystem::exists(s.folder.file("half.signed")));
}

Test(program, keeps_key_files_private_and_never_overwrites_them)
{
    const signing s;
    struct stat status
    {
    };
    cr_assert(stat(s.folder.file("c.pem").c_str(), &status) == 0);
    cr_assert((status.st_mode & 0777U) == 0600U);
    cr_assert(run({"bundle", "key", s.folder.file("c.pem"), "--new"}).code == exit_code::unreachable);
    cr_assert(run({"bundle", "key", s.folder.file("c.pem")}).out == s.cooperative_key + '\n');
}

Test(program, prints_the_differences_between_two_bundles)
{
    const signing s;
    const std::string source = read(s.folder.file("bundle.ini"));
    std::string changed = source;
    changed.replace(changed.find("requests = 50/s"), 15, "requests = 80/s");
    write(s.folder.file("changed.ini"), changed);
    const auto difference =
        run({"bundle", "diff", s.folder.file("bundle.ini"), s.folder.file("changed.ini")});
    cr_assert(difference.code == exit_code::success);
    cr_assert(difference.out == "~ account doorstep: requests 50/s -> 80/s\n", "%s", difference.out.c_str());
    cr_assert(run({"bundle", "diff", s.folder.file("bundle.ini"), s.folder.file("bundle.ini")}).out.empty());
}

Test(program, reports_every_mistake_in_a_bundle)
{
    const signing s;
    write(s.folder.file("wrong.ini"),
          read(s.folder.file("bundle.ini")) + "nonsense\n[model x]\nmax_prompt = 1x\n");
    const auto checked = run({"bundle", "check", s.folder.file("wrong.ini")});
    cr_assert(checked.code == exit_code::invalid);
    cr_assert(std::count(checked.err.begin(), checked.err.end(), '\n') == 2, "%s", checked.err.c_str());
    cr_assert(run({"bundle", "check", "/nonexistent"}).code == exit_code::unreachable);
}

Test(program, writes_the_trace_and_the_page_of_a_timeline)
{
    const temporary_folder folder;
    const timeline_event event{
        process_id("gw"), instant(1ms), wall_instant(1ms), request_id("r"), "accepted", "", "",
        message_end::none};
    write(folder.file("gw.jsonl"), to_json_line(event) + "\n{cut off");
    const auto merged = run({"timeline", folder.file("gw.jsonl"), "--out", folder.file("trace.json"),
                             "--picture", folder.file("timeline.html")});
    cr_assert(merged.code == exit_code::success, "%s", merged.err.c_str());
    cr_assert(merged.out.starts_with("1 events, 1 requests"));
    cr_assert(merged.out.find("1 lines are no events") != std::string::npos);
    cr_assert(read(folder.file("trace.json")).find("traceEvents") != std::string::npos);
    cr_assert(read(folder.file("timeline.html")).find("<svg") != std::string::npos);
    cr_assert(run({"timeline", folder.file("trace.json")}).code == exit_code::invalid);
}

} // namespace dragonflymill::app
