#include "runtime/text_file.h"

#include <fstream>
#include <iterator>

namespace dragonflymill::runtime {

namespace {

constexpr std::size_t max_key_bytes = 4'096;

} // namespace

auto read_text_file(const std::string& path, std::size_t max_bytes) -> result<std::string>
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error(error_kind::not_found, "can't read " + path, "check the path and that it may be read");
    }
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (text.size() > max_bytes) {
        return error(error_kind::invalid_input,
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
