#include "dragonflymill/response/second_response_finder.h"

#include <algorithm>

namespace dragonflymill::response {

namespace {

constexpr std::string_view status_line_begin = "HTTP/1.";

} // namespace

auto second_response_finder::find_in(std::string_view bytes) -> bool
{
    if (found_ || id_field_.empty()) {
        return found_;
    }
    window_.append(bytes);
    std::size_t begin = window_.find(status_line_begin);
    while (begin != std::string::npos) {
        const auto verdict = is_head(std::string_view(window_).substr(begin, max_head_bytes));
        if (verdict == true) {
            found_ = true;
            window_.erase(0, begin);
            return true;
        }
        if (!verdict && window_.size() - begin < max_head_bytes) {
            break;
        }
        begin = window_.find(status_line_begin, begin + 1);
    }
    const std::size_t partial_begin = window_.size() - std::min(window_.size(), status_line_begin.size());
    window_.erase(0, std::min(begin, partial_begin));
    return false;
}

auto second_response_finder::is_head(std::string_view text) const -> std::optional<bool>
{
    for (std::size_t line_end = text.find('\n'); line_end != std::string_view::npos;
         line_end = text.find('\n')) {
        text.remove_prefix(line_end + 1);
        const std::string_view line = text.substr(0, text.find('\n'));
        const std::size_t colon = line.find(':');
        if (colon != std::string_view::npos && to_lower(line.substr(0, colon)) == id_field_) {
            return true;
        }
        const bool is_complete_line = line.size() < text.size();
        if (is_complete_line && colon == std::string_view::npos) {
            return false;
        }
    }
    return std::nullopt;
}

} // namespace dragonflymill::response
