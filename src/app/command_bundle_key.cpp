#include "app/command_bundle_key.h"

#include "app/key_file.h"
#include "app/option_set.h"
#include "app/text_file.h"

namespace dragonflymill::app {

namespace {

auto generate_key(const std::string& path, command_io& io) -> exit_code
{
    const auto key = ed25519_private_key::generate();
    if (key.has_error()) {
        return report(key.error(), io);
    }
    const auto pem = key.value().pem();
    if (pem.has_error()) {
        return report(pem.error(), io);
    }
    const auto written = write_file(path, pem.value(), file_access::owner_only);
    if (written.has_error()) {
        return report(written.error(), io);
    }
    io.out << key.value().public_key() << '\n';
    return exit_code::success;
}

} // namespace

auto run_bundle_key(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> files;
    bool create_key = false;
    option_set options(
        "dragonflymill bundle key FILE [--new]",
        "Prints the public half of a partner's private key, for [partner NAME] public_key in the "
        "bundle and [bundle] partners in the settings.");
    options.flag("new", "make a new key and write it to FILE first", create_key);
    options.positional("the key file", files, 1, 1);
    options.example("dragonflymill bundle key cooperative.pem --new", "makes a key pair");
    options.example("dragonflymill bundle key cooperative.pem", "prints its public half again");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    if (create_key) {
        return generate_key(files.front(), io);
    }
    const auto key = load_private_key(files.front());
    if (key.has_error()) {
        return report(key.error(), io);
    }
    io.out << key.value().public_key() << '\n';
    return exit_code::success;
}

} // namespace dragonflymill::app
