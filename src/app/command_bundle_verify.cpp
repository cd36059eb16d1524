#include "app/command_bundle_verify.h"

#include "app/option_set.h"
#include "control/bundle_package.h"

namespace dragonflymill::app {

namespace {

auto parse_partners(const std::vector<std::string>& texts) -> result<std::vector<partner_entry>>
{
    std::vector<partner_entry> partners;
    for (const std::string& text : texts) {
        const std::size_t colon = text.find(':');
        if (colon == std::string::npos) {
            return error(error_kind::invalid_input, "'" + text + "' is not a partner with a public key",
                         "write NAME:KEY as `dragonflymill bundle key` prints the key");
        }
        partners.push_back({text.substr(0, colon), text.substr(colon + 1)});
    }
    return partners;
}

} // namespace

auto run_bundle_verify(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> files;
    std::vector<std::string> trusted_words;
    option_set options("dragonflymill bundle verify FILE --trust NAME:KEY --trust NAME:KEY",
                       "Checks that a signed bundle is whole and signed by both trusted partners, as every "
                       "process does before it takes one over.");
    options.texts("trust", "a partner and its public key; give both", trusted_words);
    options.positional("the signed bundle", files, 1, 1);
    options.example("dragonflymill bundle verify bundle.signed --trust cooperative:$C --trust birchlog:$B",
                    "exits with 0 only if both signed");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    const auto trusted = parse_partners(trusted_words);
    if (trusted.has_error() || trusted.value().size() != 2) {
        io.err << "give --trust NAME:KEY for both partners; see --help\n";
        return exit_code::usage;
    }
    const auto package = load_package(files.front());
    if (package.has_error()) {
        return report(package.error(), io);
    }
    const auto verified = verify_manifest(package.value().manifest, trusted.value());
    if (verified.has_error()) {
        return report(verified.error(), io);
    }
    io.out << "version " << package.value().content.version.value() << " is signed by both partners, digest "
           << word_of(package.value().manifest.manifest).digest.hex() << '\n';
    return exit_code::success;
}

} // namespace dragonflymill::app
