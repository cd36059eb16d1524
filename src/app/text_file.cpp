#include "app/text_file.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace dragonflymill::app {

namespace {

constexpr int shared_mode = 0666;
constexpr int owner_mode = 0600;

auto write_error(const std::string& path) -> error
{
    const int error_number = errno;
    return {error_kind::unavailable, "can't write " + path + ": " + std::strerror(error_number),
            error_number == EEXIST ? "choose another name; a key is never overwritten"
                                   : "check the folder and the right to write there"};
}

auto write_all(int descriptor, std::string_view text) -> bool
{
    while (!text.empty()) {
        const ssize_t written = write(descriptor, text.data(), text.size());
        if (written < 0) {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace

auto write_file(const std::string& path, std::string_view text, file_access access) -> result<void>
{
    const bool secret = access == file_access::owner_only;
    // O_EXCL: overwriting a private key would lose it, and its partner could sign no further bundles.
    const int flags = O_WRONLY | O_CREAT | O_CLOEXEC | (secret ? O_EXCL : O_TRUNC);
    const int descriptor = open(path.c_str(), flags, secret ? owner_mode : shared_mode);
    if (descriptor < 0) {
        return write_error(path);
    }
    const bool written = write_all(descriptor, text);
    if (!written || close(descriptor) != 0) {
        return write_error(path);
    }
    return success();
}

} // namespace dragonflymill::app
