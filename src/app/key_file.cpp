#include "app/key_file.h"

#include "runtime/text_file.h"

namespace dragonflymill::app {

namespace {

constexpr std::size_t max_key_bytes = 16'384;

} // namespace

auto load_private_key(const std::string& path) -> result<ed25519_private_key>
{
    const auto text = runtime::read_text_file(path, max_key_bytes);
    if (text.has_error()) {
        return text.error();
    }
    auto key = ed25519_private_key::from_pem(text.value());
    if (key.has_error()) {
        return error(key.error().kind(), path + ": " + key.error().message(), key.error().remedy());
    }
    return key;
}

} // namespace dragonflymill::app
