#include "control/bundle_file.h"

#include "dragonflymill/bundle/bundle_source.h"

#include <fstream>
#include <iterator>

namespace dragonflymill {

auto read_file(const std::string& path, std::size_t limit) -> result<std::string>
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error(error_kind::not_found, "can't open " + path, "check the path and the right to read it");
    }
    std::string text(limit + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > limit) {
        return error(error_kind::limit_reached, path + " is larger than " + std::to_string(limit) + " bytes",
                     "name the right file");
    }
    return text;
}

auto load_bundle_file(const std::string& path) -> result<bundle>
{
    auto text = read_file(path, max_bundle_text);
    if (text.has_error()) {
        return text.error();
    }
    auto value = parse_bundle_source(text.value());
    if (value.has_error()) {
        return error(value.error().kind(), path + ": " + value.error().message(), value.error().remedy());
    }
    return value;
}

} // namespace dragonflymill
