#include "app/command_bundle_check.h"

#include "app/option_set.h"
#include "control/bundle_package.h"
#include "dragonflymill/bundle/bundle_source.h"
#include "runtime/text_file.h"

namespace dragonflymill::app {

namespace {

void write_summary(const bundle& value, std::ostream& out)
{
    out << "version " << value.version.value() << ": " << value.domains.size() << " failure domains, "
        << value.upstreams.size() << " upstreams, " << value.models.size() << " models, "
        << value.service_routes.size() << " routes, " << value.accounts.size() << " accounts\n";
}

auto check_source(const std::string& path, const std::string& text, command_io& io) -> exit_code
{
    const bundle_reading parsed = read_bundle_source(text);
    for (const source_mistake& mistake : parsed.mistakes) {
        io.err << path << ": " << mistake.text() << '\n';
    }
    if (!parsed.mistakes.empty()) {
        return exit_code::invalid;
    }
    write_summary(parsed.value, io.out);
    return exit_code::success;
}

} // namespace

auto run_bundle_check(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> files;
    option_set options("dragonflymill bundle check FILE",
                       "Reads a bundle's source text, or a signed bundle, and names every mistake with its "
                       "line.");
    options.positional("the bundle", files, 1, 1);
    options.example("dragonflymill bundle check bundle.ini", "says what the bundle holds, or what is wrong");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    const auto text = runtime::read_text_file(files.front(), max_package_bytes);
    if (text.has_error()) {
        return report(text.error(), io);
    }
    if (!is_package(text.value())) {
        return check_source(files.front(), text.value(), io);
    }
    const auto package = decode_package(text.value());
    if (package.has_error()) {
        return report(package.error(), io);
    }
    write_summary(package.value().content, io.out);
    return exit_code::success;
}

} // namespace dragonflymill::app
