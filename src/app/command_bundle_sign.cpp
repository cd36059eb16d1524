#include "app/command_bundle_sign.h"

#include "app/key_file.h"
#include "app/option_set.h"
#include "app/text_file.h"
#include "control/bundle_package.h"

namespace dragonflymill::app {

namespace {

/// Values of the command line.
struct sign_request
{
    std::string file;
    std::string partner;
    std::string key;
    std::string out;
};

auto sign(const sign_request& request) -> result<bundle_package>
{
    auto package = load_package(request.file);
    if (package.has_error()) {
        return package.error();
    }
    const auto key = load_private_key(request.key);
    if (key.has_error()) {
        return key.error();
    }
    auto signed_value = sign_manifest(package.value().manifest, request.partner, key.value());
    if (signed_value.has_error()) {
        return signed_value.error();
    }
    package.value().manifest = std::move(signed_value).value();
    const auto written = write_file(request.out, encode_package(package.value()));
    if (written.has_error()) {
        return written.error();
    }
    return package;
}

} // namespace

auto run_bundle_sign(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> files;
    sign_request request;
    option_set options("dragonflymill bundle sign FILE --partner NAME --key PEM --out FILE",
                       "Signs a bundle's source text, or adds the second signature to a signed bundle.");
    options.text("partner", "who signs, as named in the bundle", request.partner);
    options.text("key", "file with that partner's private key", request.key);
    options.text("out", "signed bundle to write", request.out);
    options.positional("the bundle", files, 1, 1);
    options.example(
        "dragonflymill bundle sign bundle.ini --partner cooperative --key c.pem --out half.signed",
        "the first partner signs the source text");
    options.example(
        "dragonflymill bundle sign half.signed --partner birchlog --key b.pem --out bundle.signed",
        "the second partner signs the same content");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    if (request.partner.empty() || request.key.empty() || request.out.empty()) {
        io.err << "--partner, --key and --out are needed; see --help\n";
        return exit_code::usage;
    }
    request.file = files.front();
    const auto package = sign(request);
    if (package.has_error()) {
        return report(package.error(), io);
    }
    io.out << request.out << ": version " << package.value().content.version.value() << ", "
           << package.value().manifest.signatures.size() << " of 2 signatures\n";
    return exit_code::success;
}

} // namespace dragonflymill::app
