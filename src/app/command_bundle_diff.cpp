#include "app/command_bundle_diff.h"

#include "app/option_set.h"
#include "control/bundle_package.h"
#include "dragonflymill/bundle/bundle_diff.h"

namespace dragonflymill::app {

auto run_bundle_diff(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> files;
    option_set options("dragonflymill bundle diff OLD NEW",
                       "Shows every difference between two bundles, source texts or signed.");
    options.positional("one of the two bundles", files, 2, 2);
    options.example("dragonflymill bundle diff in-force.signed bundle.ini",
                    "what signing bundle.ini would change");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    const auto before = load_package(files[0]);
    const auto after = load_package(files[1]);
    if (before.has_error() || after.has_error()) {
        return report(before.has_error() ? before.error() : after.error(), io);
    }
    io.out << to_text(diff_bundles(before.value().content, after.value().content));
    return exit_code::success;
}

} // namespace dragonflymill::app
