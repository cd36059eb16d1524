#include "app/admin_targets.h"

namespace dragonflymill::app {

auto for_each_target(const std::vector<std::string>& texts, command_io& io,
                     const std::function<result<void>(const socket_address&)>& act) -> exit_code
{
    std::vector<socket_address> targets;
    targets.reserve(texts.size());
    for (const std::string& text : texts) {
        auto address = parse_socket_address(text);
        if (address.has_error()) {
            static_cast<void>(report(address.error(), io));
            return exit_code::usage;
        }
        targets.push_back(std::move(address).value());
    }
    exit_code code = exit_code::success;
    for (const socket_address& target : targets) {
        const auto done = act(target);
        if (done.has_error()) {
            const exit_code failed = report(done.error(), io);
            code = code == exit_code::success ? failed : code;
        }
    }
    return code;
}

} // namespace dragonflymill::app
