#include "http/sse_parser.h"

#include <utility>

namespace dragonflymill::http {

auto sse_parser::feed(std::string_view bytes) -> result<std::vector<std::string>>
{
    std::vector<std::string> complete;
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        line_.append(bytes.substr(0, end));
        if (line_.size() + data_.size() > max_event_bytes_) {
            return error(error_kind::limit_reached, "a server-sent event is over its size limit",
                         "send shorter events or raise the limit");
        }
        if (end == std::string_view::npos) {
            break;
        }
        if (!line_.empty() && line_.back() == '\r') {
            line_.pop_back();
        }
        take_line(line_, complete);
        line_.clear();
        bytes.remove_prefix(end + 1);
    }
    return complete;
}

void sse_parser::take_line(std::string_view line, std::vector<std::string>& complete)
{
    constexpr std::string_view data_field = "data:";
    if (line.empty()) {
        if (has_data_) {
            complete.push_back(std::move(data_));
        }
        data_.clear();
        has_data_ = false;
        return;
    }
    if (line.substr(0, data_field.size()) != data_field) {
        return;
    }
    line.remove_prefix(data_field.size());
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    if (has_data_) {
        data_ += '\n';
    }
    data_ += line;
    has_data_ = true;
}

} // namespace dragonflymill::http
