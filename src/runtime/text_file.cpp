#include "runtime/text_file.h"

#include <fstream>

namespace dragonflymill::runtime {

namespace {

constexpr std::size_t max_key_bytes = 4'096;

} // namespace

auto read_text_file(const std::string& path, std::size_t max_bytes) -> result<std::string>
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error(error_kind::not_found, "can't open " + path, "check the path and the right to read it");
    }
    std::string text(max_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_bytes) {
        return error(error_kind::limit_reached,
                     path + " is larger than " + std::to_string(max_bytes) + " bytes", "name the right file");
    }
    return text;
}

auto read_key_file(const std::string& path) -> result<std::string>
{
    if (path.empty()) {
        return error(error_kind::invalid_input, "no key file is set", "set [once] key_file");
    }
    auto text = read_text_file(path, max_key_bytes);
    if (!text) {
        return text;
    }
    constexpr const char* white_space = " \t\r\n";
    const auto first = text.value().find_first_not_of(white_space);
    if (first == std::string::npos) {
        return error(error_kind::invalid_input, path + " holds no key", "write the key into it");
    }
    const auto last = text.value().find_last_not_of(white_space);
    return text.value().substr(first, last - first + 1);
}

} // namespace dragonflymill::runtime
